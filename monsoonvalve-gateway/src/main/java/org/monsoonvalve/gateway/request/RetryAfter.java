package org.monsoonvalve.gateway.request;

import java.util.Locale;
import java.util.function.DoubleSupplier;

/**
 * Chooses when a refused caller should return. Capacity that is lost comes back within
 * seconds, and callers that return together are refused together, so returns are spread
 * over the part of the remaining time for which callers agree to wait.
 *
 * @author monsoonvalve maintainers
 */
final class RetryAfter {

	/** Callers wait at most this part of the time that they have left. */
	private static final double MAX_SHARE_OF_REMAINING = 1.0 / 3;

	/** Latest return; replacing a lost group takes about this long. */
	private static final double MAX_SECONDS = 2.0;

	/** Earliest return, unless the caller has too little time left. */
	private static final double MIN_SECONDS = 0.3;

	private static final double MILLIS_PER_SECOND = 1000;

	private final DoubleSupplier random;

	/**
	 * Creates a choice.
	 * @param random supplies numbers that are uniformly distributed from 0 to 1
	 */
	RetryAfter(DoubleSupplier random) {
		this.random = random;
	}

	/**
	 * Chooses the time after which a caller should return.
	 * @param remainingMillis the time that the caller has left, in milliseconds
	 * @return the time in seconds
	 */
	double seconds(long remainingMillis) {
		double latest = Math.min(MAX_SECONDS,
				Math.max(0, remainingMillis) / MILLIS_PER_SECOND * MAX_SHARE_OF_REMAINING);
		double earliest = Math.min(MIN_SECONDS, latest / 2);
		return earliest + this.random.getAsDouble() * (latest - earliest);
	}

	/**
	 * Formats the value of the header field.
	 * @param remainingMillis the time that the caller has left, in milliseconds
	 * @return the seconds with two decimals
	 */
	String value(long remainingMillis) {
		return String.format(Locale.ROOT, "%.2f", seconds(remainingMillis));
	}

}
