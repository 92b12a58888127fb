package org.monsoonvalve.core.version;

/**
 * A document with the revision that the platform gave its last write.
 *
 * @author monsoonvalve maintainers
 * @param key the document's name
 * @param revision the platform's revision, which grows with every write
 * @param bytes the encoded {@link Envelope}
 */
public record VersionedDocument(DocumentKey key, long revision, byte[] bytes) {

	/**
	 * Decodes the content.
	 * @return the envelope
	 */
	public Envelope envelope() {
		return Envelope.decode(this.bytes);
	}

}
