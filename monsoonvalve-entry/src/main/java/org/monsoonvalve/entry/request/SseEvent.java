package org.monsoonvalve.entry.request;

/**
 * One server-sent event.
 *
 * @author monsoonvalve maintainers
 * @param id the number in its {@code id} field, -1 without one
 * @param data the content of its {@code data} fields
 */
public record SseEvent(long id, String data) {

	/** The content of the event that ends a stream of the chat API. */
	public static final String DONE = "[DONE]";

	/**
	 * Tells whether this event ends the stream.
	 * @return {@code true} for the last event
	 */
	public boolean last() {
		return DONE.equals(this.data);
	}

}
