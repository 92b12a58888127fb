package org.monsoonvalve.core.version;

import java.util.ArrayList;
import java.util.List;

import org.monsoonvalve.core.process.Codec;

/**
 * What is stored for a document: its text, the change that wrote it and the changes
 * before it.
 *
 * @author monsoonvalve maintainers
 * @param change the change that wrote this text
 * @param text the document as the operator wrote it
 * @param history earlier changes, latest first
 */
public record Envelope(Change change, String text, List<Change> history) {

	private static final int HISTORY_LENGTH = 20;

	/**
	 * Copies the history.
	 * @param change the change that wrote this text
	 * @param text the document as the operator wrote it
	 * @param history earlier changes, latest first
	 */
	public Envelope {
		history = (history != null) ? List.copyOf(history) : List.of();
	}

	/**
	 * Creates the first envelope of a document.
	 * @param change the change
	 * @param text the document's text
	 * @return the envelope
	 */
	public static Envelope of(Change change, String text) {
		return new Envelope(change, text, List.of());
	}

	/**
	 * Decodes an envelope.
	 * @param bytes the stored value
	 * @return the envelope
	 */
	public static Envelope decode(byte[] bytes) {
		return Codec.JSON.decode(bytes, Envelope.class);
	}

	/**
	 * Creates the envelope that follows this one.
	 * @param next the change
	 * @param nextText the document's text after the change
	 * @return the envelope
	 */
	public Envelope followedBy(Change next, String nextText) {
		List<Change> changes = new ArrayList<>();
		changes.add(this.change);
		changes.addAll(this.history);
		return new Envelope(next, nextText, changes.stream().limit(HISTORY_LENGTH).toList());
	}

	/**
	 * Tells whether a change is the one that wrote this text or an earlier one.
	 * @param changeId the change's identifier
	 * @return {@code true} if the change took effect
	 */
	public boolean includes(String changeId) {
		return this.change.id().equals(changeId)
				|| this.history.stream().anyMatch((earlier) -> earlier.id().equals(changeId));
	}

	/**
	 * Encodes the envelope.
	 * @return the value to store
	 */
	public byte[] encode() {
		return Codec.JSON.encode(this);
	}

	/**
	 * One change of a document.
	 *
	 * @param id the identifier chosen by whoever made the change, so that a retry is
	 * recognised
	 * @param author who made the change
	 * @param timeMillis when it was made, in milliseconds since the epoch
	 * @param baseRevision the revision that the change was based on, 0 for a new document
	 */
	public record Change(String id, String author, long timeMillis, long baseRevision) {

	}

}
