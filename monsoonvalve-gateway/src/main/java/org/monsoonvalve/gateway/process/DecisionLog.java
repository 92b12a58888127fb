package org.monsoonvalve.gateway.process;

import java.time.Clock;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.Excerpt;

/**
 * Logs each decision as one JSON object per line. Lines over an event's rate limit, and
 * lines that find the output queue full because the output is too slow, are dropped and
 * counted. The next line of a rate-limited event has the number of lines over the limit
 * in the field {@code skipped}.
 *
 * @author monsoonvalve maintainers
 */
public final class DecisionLog {

	/** Limit for each kind of event; ten kinds at once stay under 100 KB/s. */
	private static final int MAX_LINES_PER_SECOND = 50;

	/**
	 * Lines that wait for the writer; about one second of all kinds of events together.
	 */
	private static final int QUEUE_CAPACITY = 1024;

	private static final long MILLIS_PER_SECOND = 1000;

	private final Clock clock;

	private final String processName;

	private final long startMillis;

	private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private final Map<LogEvent, RateLimit> rateLimits = new EnumMap<>(LogEvent.class);

	private final AtomicLong dropped = new AtomicLong();

	private DecisionLog(Clock clock, String processName) {
		this.clock = clock;
		this.processName = processName;
		this.startMillis = clock.millis();
		for (LogEvent event : LogEvent.values()) {
			this.rateLimits.put(event, new RateLimit());
		}
	}

	/**
	 * Starts a log.
	 * @param clock the wall clock that lines are stamped with
	 * @param processName the name of this process
	 * @param output receives batches of complete lines, on a separate thread
	 * @return the log
	 */
	public static DecisionLog start(Clock clock, String processName, Consumer<String> output) {
		DecisionLog log = new DecisionLog(clock, processName);
		Thread writer = new Thread(() -> log.writeLines(output), "log-writer");
		writer.setDaemon(true);
		writer.start();
		return log;
	}

	/**
	 * Records an event with the inputs of the decision.
	 * @param event the event
	 * @param fields alternating field names and values; numbers and booleans are written
	 * as such, all other values as strings, of which long ones are shortened
	 */
	public void record(LogEvent event, Object... fields) {
		long now = this.clock.millis();
		long skipped = this.rateLimits.get(event).acquire(now);
		if (skipped < 0) {
			this.dropped.incrementAndGet();
			return;
		}
		if (!this.queue.offer(formatLine(now, event, skipped, fields))) {
			this.dropped.incrementAndGet();
		}
	}

	/**
	 * Returns the number of dropped lines.
	 * @return the lines dropped since the start
	 */
	public long dropped() {
		return this.dropped.get();
	}

	private String formatLine(long now, LogEvent event, long skipped, Object... fields) {
		StringBuilder line = new StringBuilder(160).append("{\"wall_ms\":")
			.append(now)
			.append(",\"up_ms\":")
			.append(now - this.startMillis)
			.append(",\"process\":\"")
			.append(this.processName)
			.append("\",\"event\":")
			.append(event.number())
			.append(",\"name\":\"")
			.append(event.name())
			.append('"');
		for (int i = 0; i + 1 < fields.length; i += 2) {
			line.append(",\"").append(fields[i]).append("\":");
			appendValue(line, fields[i + 1]);
		}
		if (skipped > 0) {
			line.append(",\"skipped\":").append(skipped);
		}
		return line.append('}').toString();
	}

	private static void appendValue(StringBuilder line, Object value) {
		if (value instanceof Number || value instanceof Boolean) {
			line.append(value);
			return;
		}
		line.append('"');
		JsonStringEncoder.getInstance().quoteAsString(Excerpt.of(String.valueOf(value)), line);
		line.append('"');
	}

	private void writeLines(Consumer<String> output) {
		try {
			StringBuilder batch = new StringBuilder();
			while (true) {
				batch.setLength(0);
				batch.append(this.queue.take()).append('\n');
				for (String next = this.queue.poll(); next != null; next = this.queue.poll()) {
					batch.append(next).append('\n');
				}
				output.accept(batch.toString());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Limits the lines per second of one kind of event.
	 */
	private static final class RateLimit {

		private long currentSecond;

		private int linesThisSecond;

		private long skipped;

		/**
		 * Requests permission to write a line.
		 * @param nowMillis the current time, in milliseconds
		 * @return the lines skipped since the last one that was written, or -1 if this
		 * one must be skipped
		 */
		private synchronized long acquire(long nowMillis) {
			if (nowMillis / MILLIS_PER_SECOND != this.currentSecond) {
				this.currentSecond = nowMillis / MILLIS_PER_SECOND;
				this.linesThisSecond = 0;
			}
			if (this.linesThisSecond >= MAX_LINES_PER_SECOND) {
				this.skipped++;
				return -1;
			}
			this.linesThisSecond++;
			long skippedBefore = this.skipped;
			this.skipped = 0;
			return skippedBefore;
		}

	}

}
