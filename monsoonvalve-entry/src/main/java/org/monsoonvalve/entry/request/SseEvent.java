package org.monsoonvalve.entry.request;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;

/**
 * One whole server-sent event as it arrived.
 *
 * @author monsoonvalve maintainers
 */
public final class SseEvent {

	/** The content of the event that ends a stream of the chat API. */
	public static final String DONE = "[DONE]";

	/** The number of an event without an {@code id} field. */
	public static final long NO_ID = -1;

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private static final int LONGEST_DONE_BYTES = 32;

	private static final int MAX_DIGITS = 18;

	private static final int DECIMAL = 10;

	private final byte[] raw;

	private SseEvent(byte[] raw) {
		this.raw = raw;
	}

	/**
	 * Creates an event.
	 * @param raw its bytes, with the blank line that ends it
	 * @return the event
	 */
	public static SseEvent of(byte[] raw) {
		return new SseEvent(raw);
	}

	/**
	 * Returns the event's bytes.
	 * @return the bytes, with the blank line that ends it
	 */
	public byte[] raw() {
		return this.raw;
	}

	/**
	 * Returns the number in the event's {@code id} field.
	 * @return the number, {@link #NO_ID} without one
	 */
	public long id() {
		int at = 0;
		while (at < this.raw.length) {
			if (startsWithId(at)) {
				return number(at + ID_FIELD.length);
			}
			at = nextLine(at);
		}
		return NO_ID;
	}

	/**
	 * Returns the content of the event's {@code data} fields.
	 * @return the lines, joined by line feeds; empty without such a field
	 */
	public String data() {
		List<String> lines = new String(this.raw, StandardCharsets.UTF_8).lines()
			.filter((line) -> line.startsWith("data:"))
			.toList();
		return lines.stream().map(SseEvent::content).collect(Collectors.joining("\n"));
	}

	/**
	 * Tells whether the event carries anything.
	 * @return {@code false} for a comment
	 */
	public boolean hasData() {
		int at = 0;
		while (at < this.raw.length) {
			if (this.raw[at] == 'd') {
				return true;
			}
			at = nextLine(at);
		}
		return false;
	}

	/**
	 * Tells whether this event ends the stream.
	 * @return {@code true} for the last event
	 */
	public boolean last() {
		return this.raw.length <= LONGEST_DONE_BYTES && DONE.equals(data());
	}

	@Override
	public String toString() {
		return id() + ":" + data();
	}

	private boolean startsWithId(int at) {
		return at + ID_FIELD.length <= this.raw.length && this.raw[at] == 'i' && this.raw[at + 1] == 'd'
				&& this.raw[at + 2] == ':';
	}

	private int nextLine(int from) {
		int at = from;
		while (at < this.raw.length && this.raw[at] != '\n') {
			at++;
		}
		return at + 1;
	}

	private long number(int from) {
		int at = from;
		while (at < this.raw.length && this.raw[at] == ' ') {
			at++;
		}
		long value = NO_ID;
		for (int digits = 0; digits < MAX_DIGITS && at < this.raw.length && isDigit(this.raw[at]); digits++) {
			value = Math.max(0, value) * DECIMAL + this.raw[at] - '0';
			at++;
		}
		boolean ended = at >= this.raw.length || this.raw[at] == '\n' || this.raw[at] == '\r';
		return ended ? value : NO_ID;
	}

	private static boolean isDigit(byte character) {
		return character >= '0' && character <= '9';
	}

	private static String content(String line) {
		String value = line.substring("data:".length());
		return value.startsWith(" ") ? value.substring(1) : value;
	}

}
