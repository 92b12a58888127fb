package org.monsoonvalve.core.version;

/**
 * A document and the revision that the platform assigned to its last write.
 *
 * @author monsoonvalve maintainers
 * @param key the document's key
 * @param revision the platform's revision, which increases with every write
 * @param bytes the encoded {@link Envelope}
 */
public record VersionedDocument(DocumentKey key, long revision, byte[] bytes) {

	/**
	 * Decodes the stored bytes.
	 * @return the envelope
	 * @throws org.monsoonvalve.core.request.ServingException with
	 * {@link org.monsoonvalve.core.request.FailureCode#MALFORMED_CONTENT} if the bytes
	 * are not the JSON of an envelope
	 */
	public Envelope envelope() {
		return Envelope.decode(this.bytes);
	}

}
