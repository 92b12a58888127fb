package org.monsoonvalve.core.version;

import java.util.ArrayList;
import java.util.List;

import org.monsoonvalve.core.process.Codec;

/**
 * The stored form of a document: its text, the change that wrote the text and earlier
 * changes.
 *
 * @author monsoonvalve maintainers
 * @param change the change that wrote this text
 * @param text the document as the operator wrote it
 * @param history earlier changes, most recent first
 */
public record Envelope(Change change, String text, List<Change> history) {

	private static final int MAX_HISTORY_LENGTH = 20;

	/**
	 * Copies the history; a missing history becomes empty.
	 * @param change the change that wrote this text
	 * @param text the document as the operator wrote it
	 * @param history earlier changes, most recent first
	 */
	public Envelope {
		history = (history != null) ? List.copyOf(history) : List.of();
	}

	/**
	 * Creates the envelope of a new document.
	 * @param change the change that creates the document
	 * @param text the document's text
	 * @return the envelope
	 */
	public static Envelope of(Change change, String text) {
		return new Envelope(change, text, List.of());
	}

	/**
	 * Decodes an envelope from its stored JSON.
	 * @param bytes the stored value
	 * @return the envelope
	 * @throws org.monsoonvalve.core.request.ServingException with
	 * {@link org.monsoonvalve.core.request.FailureCode#MALFORMED_CONTENT} if the bytes
	 * are not the JSON of an envelope
	 */
	public static Envelope decode(byte[] bytes) {
		return Codec.JSON.decode(bytes, Envelope.class);
	}

	/**
	 * Creates the envelope that replaces this one after a change. The oldest changes are
	 * dropped from a full history.
	 * @param next the change
	 * @param nextText the document's text after the change
	 * @return the new envelope
	 */
	public Envelope followedBy(Change next, String nextText) {
		List<Change> changes = new ArrayList<>();
		changes.add(this.change);
		changes.addAll(this.history);
		return new Envelope(next, nextText, changes.stream().limit(MAX_HISTORY_LENGTH).toList());
	}

	/**
	 * Returns whether a change wrote this text or is in the history.
	 * @param changeId the change's identifier
	 * @return {@code true} if the change was applied and is not so old that it was
	 * dropped from the history
	 */
	public boolean includes(String changeId) {
		return this.change.id().equals(changeId)
				|| this.history.stream().anyMatch((earlier) -> earlier.id().equals(changeId));
	}

	/**
	 * Encodes the envelope as JSON.
	 * @return the value to store
	 */
	public byte[] encode() {
		return Codec.JSON.encode(this);
	}

	/**
	 * One change of a document.
	 *
	 * @param id the identifier chosen by the author, by which a retry is recognised
	 * @param author the person or program that made the change
	 * @param timeMillis the time of the change, in milliseconds since the epoch
	 * @param baseRevision the revision that the change was based on, 0 for a new document
	 */
	public record Change(String id, String author, long timeMillis, long baseRevision) {

	}

}
