package org.monsoonvalve.gateway.request;

import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import org.monsoonvalve.gateway.connection.SlidingWindow;

/**
 * Bounds how many requests for one service are sent a second time. All processes together
 * stay within the bound, as each takes its own requests and its part of the slack.
 *
 * @author monsoonvalve maintainers
 */
final class RetryBudget {

	/** Part of the bound that is used; the rest covers processes that are not known. */
	private static final double USED_PART = 0.6;

	private final double ratio;

	private final double slack;

	private final IntSupplier processes;

	private final LongSupplier clock;

	private final SlidingWindow requests;

	private final SlidingWindow repeats;

	RetryBudget(double ratio, double slack, long windowMillis, IntSupplier processes, LongSupplier clock) {
		this.ratio = ratio;
		this.slack = slack;
		this.requests = SlidingWindow.of(windowMillis);
		this.repeats = SlidingWindow.of(windowMillis);
		this.processes = processes;
		this.clock = clock;
	}

	void request() {
		this.requests.add(this.clock.getAsLong());
	}

	boolean tryRepeat() {
		long now = this.clock.getAsLong();
		double bound = this.ratio * this.requests.count(now) + this.slack / Math.max(1, this.processes.getAsInt());
		if (this.repeats.count(now) + 1 > bound * USED_PART) {
			return false;
		}
		this.repeats.add(now);
		return true;
	}

}
