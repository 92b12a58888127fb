package org.monsoonvalve.gateway.connection;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts events of the last span of time, and remembers no others. Not thread-safe.
 *
 * @author monsoonvalve maintainers
 */
public final class SlidingWindow {

	private final long spanMillis;

	private final Deque<Long> times = new ArrayDeque<>();

	private SlidingWindow(long spanMillis) {
		this.spanMillis = spanMillis;
	}

	/**
	 * Creates a window without events.
	 * @param spanMillis how long an event counts, in milliseconds
	 * @return the window
	 */
	public static SlidingWindow of(long spanMillis) {
		return new SlidingWindow(spanMillis);
	}

	/**
	 * Adds an event.
	 * @param nowMillis the present time, in milliseconds
	 */
	public void add(long nowMillis) {
		expire(nowMillis);
		this.times.addLast(nowMillis);
	}

	/**
	 * Counts the events that are younger than the span.
	 * @param nowMillis the present time, in milliseconds
	 * @return the events
	 */
	public int count(long nowMillis) {
		expire(nowMillis);
		return this.times.size();
	}

	int remembered() {
		return this.times.size();
	}

	private void expire(long nowMillis) {
		while (!this.times.isEmpty() && nowMillis - this.times.peekFirst() >= this.spanMillis) {
			this.times.removeFirst();
		}
	}

}
