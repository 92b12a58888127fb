package org.monsoonvalve.gateway.request;

import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import org.monsoonvalve.gateway.connection.SlidingWindow;

/**
 * Limits the retries of one service's requests to a ratio of its recent requests plus a
 * fixed slack. All processes together stay within the limit, as each one counts its own
 * requests and takes its share of the slack.
 *
 * @author monsoonvalve maintainers
 */
final class RetryBudget {

	/**
	 * Fraction of the limit that is used; the rest is left to processes that the process
	 * count doesn't include.
	 */
	private static final double USED_FRACTION = 0.6;

	private final double ratio;

	private final double slack;

	private final IntSupplier processCount;

	private final LongSupplier clock;

	private final SlidingWindow requests;

	private final SlidingWindow retries;

	RetryBudget(double ratio, double slack, long windowMillis, IntSupplier processCount, LongSupplier clock) {
		this.ratio = ratio;
		this.slack = slack;
		this.requests = SlidingWindow.of(windowMillis);
		this.retries = SlidingWindow.of(windowMillis);
		this.processCount = processCount;
		this.clock = clock;
	}

	void recordRequest() {
		this.requests.add(this.clock.getAsLong());
	}

	boolean tryAcquire() {
		long now = this.clock.getAsLong();
		double limit = this.ratio * this.requests.count(now) + this.slack / Math.max(1, this.processCount.getAsInt());
		if (this.retries.count(now) + 1 > limit * USED_FRACTION) {
			return false;
		}
		this.retries.add(now);
		return true;
	}

}
