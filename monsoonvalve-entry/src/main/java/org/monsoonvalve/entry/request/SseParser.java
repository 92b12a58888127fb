package org.monsoonvalve.entry.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

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

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private boolean lineEmpty = true;

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
		List<SseEvent> events = new ArrayList<>();
		for (byte next : chunk) {
			if (next == '\r') {
				continue;
			}
			this.pending.write(next);
			boolean blankLine = next == '\n' && this.lineEmpty;
			this.lineEmpty = next == '\n';
			if (blankLine) {
				takeEvent(events);
			}
		}
		if (this.pending.size() > MAX_EVENT_BYTES) {
			throw new ServingException(FailureCode.ANSWER_TOO_LARGE,
					"an event is larger than " + MAX_EVENT_BYTES + " bytes");
		}
		return events;
	}

	private void takeEvent(List<SseEvent> events) {
		List<String> lines = this.pending.toString(StandardCharsets.UTF_8).lines().toList();
		this.pending.reset();
		long id = lines.stream()
			.filter((line) -> line.startsWith("id:"))
			.map((line) -> line.substring("id:".length()).trim())
			.filter((text) -> text.matches("[0-9]{1,18}"))
			.mapToLong(Long::parseLong)
			.reduce(-1, (first, second) -> second);
		List<String> data = lines.stream().filter((line) -> line.startsWith("data:")).toList();
		if (!data.isEmpty()) {
			events.add(new SseEvent(id, data.stream().map(SseParser::content).collect(Collectors.joining("\n"))));
		}
	}

	private static String content(String line) {
		String value = line.substring("data:".length());
		return value.startsWith(" ") ? value.substring(1) : value;
	}

}
