package org.monsoonvalve.gateway.connection;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts the events of the most recent time span and discards older ones. Not
 * thread-safe.
 *
 * @author monsoonvalve maintainers
 */
public final class SlidingWindow {

	private final long spanMillis;

	private final Deque<Long> eventTimes = new ArrayDeque<>();

	private SlidingWindow(long spanMillis) {
		this.spanMillis = spanMillis;
	}

	/**
	 * Creates an empty window.
	 * @param spanMillis the length of the window, in milliseconds
	 * @return the window
	 */
	public static SlidingWindow of(long spanMillis) {
		return new SlidingWindow(spanMillis);
	}

	/**
	 * Adds an event at the current time.
	 * @param nowMillis the current time, in milliseconds
	 */
	public void add(long nowMillis) {
		removeExpired(nowMillis);
		this.eventTimes.addLast(nowMillis);
	}

	/**
	 * Counts the events within the window.
	 * @param nowMillis the current time, in milliseconds
	 * @return the number of events
	 */
	public int count(long nowMillis) {
		removeExpired(nowMillis);
		return this.eventTimes.size();
	}

	// Returns the number of events in memory, including those that have expired.
	int retained() {
		return this.eventTimes.size();
	}

	private void removeExpired(long nowMillis) {
		while (!this.eventTimes.isEmpty() && nowMillis - this.eventTimes.peekFirst() >= this.spanMillis) {
			this.eventTimes.removeFirst();
		}
	}

}
