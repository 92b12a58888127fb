package org.monsoonvalve.entry.request;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Splits the bytes of an event stream into whole events. Bytes of an event that was not
 * finished are kept until the rest arrives, and are lost with the parser, so a broken
 * stream never yields part of an event.
 *
 * @author monsoonvalve maintainers
 */
public final class SseParser {

	private static final int MAX_EVENT_BYTES = 1024 * 1024;

	private static final byte[] NOTHING = new byte[0];

	private byte[] pending = NOTHING;

	private int scanned;

	private int lineStart;

	private SseParser() {
	}

	/**
	 * Creates a parser at the start of a stream.
	 * @return the parser
	 */
	public static SseParser create() {
		return new SseParser();
	}

	/**
	 * Takes in bytes.
	 * @param chunk the bytes
	 * @return the events that became whole
	 * @throws ServingException with {@link FailureCode#ANSWER_TOO_LARGE} for an event
	 * over the limit
	 */
	public List<SseEvent> feed(byte[] chunk) {
		byte[] bytes = join(this.pending, chunk);
		List<SseEvent> events = new ArrayList<>();
		int eventStart = 0;
		for (int i = this.scanned; i < bytes.length; i++) {
			if (bytes[i] == '\n') {
				if (blank(bytes, this.lineStart, i)) {
					add(events, Arrays.copyOfRange(bytes, eventStart, i + 1));
					eventStart = i + 1;
				}
				this.lineStart = i + 1;
			}
		}
		this.pending = Arrays.copyOfRange(bytes, eventStart, bytes.length);
		this.scanned = this.pending.length;
		this.lineStart -= eventStart;
		if (this.pending.length > MAX_EVENT_BYTES) {
			throw new ServingException(FailureCode.ANSWER_TOO_LARGE,
					"an event is larger than " + MAX_EVENT_BYTES + " bytes");
		}
		return events;
	}

	private static byte[] join(byte[] first, byte[] second) {
		if (first.length == 0) {
			return second;
		}
		byte[] both = Arrays.copyOf(first, first.length + second.length);
		System.arraycopy(second, 0, both, first.length, second.length);
		return both;
	}

	private static boolean blank(byte[] bytes, int from, int to) {
		return from == to || (from + 1 == to && bytes[from] == '\r');
	}

	private static void add(List<SseEvent> events, byte[] raw) {
		SseEvent event = SseEvent.of(raw);
		if (event.hasData()) {
			events.add(event);
		}
	}

}
