package org.monsoonvalve.admission.request;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Chooses when refused callers shall return: each one when a place is forecast behind the
 * waiting requests that are at least as urgent, and behind the callers of such requests
 * that were told to return earlier.
 *
 * @author monsoonvalve maintainers
 */
final class ReturnTimes {

	/** The fraction of the remaining time up to which callers wait before they return. */
	private static final double LEFT_PER_RETURN = 3;

	/**
	 * Range of the delay without a forecast, in milliseconds, as for services without a
	 * queue.
	 */
	private static final double MIN_UNKNOWN_MILLIS = 300;

	private static final double MAX_UNKNOWN_MILLIS = 900;

	/** Shortest delay: the interval at which waiting requests look for a place. */
	private static final double MIN_RETURN_MILLIS = 20;

	/**
	 * Part of the longest delay that callers are spread over if a place is forecast only
	 * after it.
	 */
	private static final double SPREAD = 0.5;

	/** The latest time at which a caller was told to return, by urgency. */
	private final Map<Urgency, Double> lastReturns = new HashMap<>();

	/**
	 * Returns the delay after which a caller shall return.
	 * @param urgency the urgency of its request
	 * @param waiting the number of waiting requests that are at least as urgent
	 * @param intervalMillis the mean interval between two places, empty if unknown
	 * @param leftMillis the time that the caller has left, in milliseconds
	 * @param draw a uniform random number from 0 (inclusive) to 1 (exclusive)
	 * @param nowMillis the time in milliseconds
	 * @return the delay in milliseconds, at most a third of the time left
	 */
	double delayMillis(Urgency urgency, int waiting, OptionalDouble intervalMillis, long leftMillis, double draw,
			long nowMillis) {
		double maxMillis = leftMillis / LEFT_PER_RETURN;
		if (intervalMillis.isEmpty()) {
			return Math.min(MIN_UNKNOWN_MILLIS + draw * (MAX_UNKNOWN_MILLIS - MIN_UNKNOWN_MILLIS),
					spread(maxMillis, draw));
		}
		double interval = intervalMillis.getAsDouble();
		double forecastMillis = Math.max(nowMillis + waiting * interval, lastReturnMillis(urgency)) + interval
				- nowMillis;
		if (forecastMillis > maxMillis) {
			return spread(maxMillis, draw);
		}
		this.lastReturns.put(urgency, nowMillis + forecastMillis);
		return Math.min(maxMillis, Math.max(MIN_RETURN_MILLIS, forecastMillis + draw * interval));
	}

	private double lastReturnMillis(Urgency urgency) {
		return this.lastReturns.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().compareTo(urgency) <= 0)
			.mapToDouble(Map.Entry::getValue)
			.max()
			.orElse(Double.NEGATIVE_INFINITY);
	}

	private static double spread(double maxMillis, double draw) {
		return maxMillis * (1 - SPREAD * draw);
	}

}
