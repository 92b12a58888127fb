package org.monsoonvalve.gateway.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events.
 *
 * @author monsoonvalve maintainers
 */
final class EventSplitter {

	private static final String ID_FIELD = "id:";

	private static final String COMMENT = ":";

	/** Size of an event above which its buffer is not used for the next one. */
	private static final int MAX_REUSED_BYTES = 4 * 1024;

	private ByteArrayOutputStream partial = new ByteArrayOutputStream();

	private int lineLength;

	/**
	 * Adds the next bytes of the stream.
	 * @param chunk the bytes
	 * @return the events that these bytes complete
	 */
	List<Event> add(byte[] chunk) {
		List<Event> complete = new ArrayList<>();
		for (byte next : chunk) {
			this.partial.write(next);
			if (next == '\n') {
				if (this.lineLength == 0) {
					complete.add(Event.of(this.partial.toByteArray()));
					if (this.partial.size() > MAX_REUSED_BYTES) {
						this.partial = new ByteArrayOutputStream();
					}
					this.partial.reset();
				}
				this.lineLength = 0;
			}
			else if (next != '\r') {
				this.lineLength++;
			}
		}
		return complete;
	}

	/**
	 * Returns whether an event has begun but not ended.
	 * @return {@code true} if the last bytes belong to a partial event
	 */
	boolean hasPartialEvent() {
		return this.partial.size() > 0;
	}

	/**
	 * Returns the size of the event that has begun but not ended.
	 * @return the number of bytes
	 */
	int partialBytes() {
		return this.partial.size();
	}

	/**
	 * A complete event.
	 *
	 * @param bytes the event, including the blank line that terminates it
	 * @param id its numeric identifier, if it has one
	 * @param hasData whether it has any line that is not a comment
	 */
	record Event(byte[] bytes, Optional<Long> id, boolean hasData) {

		private static Event of(byte[] bytes) {
			List<String> lines = new String(bytes, StandardCharsets.UTF_8).lines().toList();
			return new Event(bytes,
					lines.stream()
						.filter((line) -> line.startsWith(ID_FIELD))
						.map((line) -> line.substring(ID_FIELD.length()).strip())
						.filter((text) -> text.matches("[0-9]{1,18}"))
						.map(Long::valueOf)
						.findFirst(),
					lines.stream().anyMatch((line) -> !line.isEmpty() && !line.startsWith(COMMENT)));
		}

	}

}
