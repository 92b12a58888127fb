package org.monsoonvalve.admission.request;

import java.util.OptionalDouble;

/**
 * The rate at which a queue's requests have got places at endpoints, measured while
 * requests waited. Other processes compete for the same places, so the places that become
 * free are not all for this queue. Older observations count less.
 *
 * @author monsoonvalve maintainers
 */
final class PlaceRate {

	/**
	 * Time constant of the decay. Demand varies with periods of 13 s and more, and a
	 * process of the large fleet gets a place every few hundred milliseconds.
	 */
	private static final double DECAY_MILLIS = 5000;

	/** Sum of the decayed places below which the rate is unknown. */
	private static final double MIN_PLACES = 0.5;

	/** Shortest mean interval, in milliseconds; all places of one check are counted. */
	private static final double MIN_INTERVAL_MILLIS = 1;

	private double places;

	private double waitedMillis;

	private long lastMillis;

	/**
	 * Accounts for the time since the last call.
	 * @param waiting whether requests waited since then
	 * @param nowMillis the time in milliseconds
	 */
	void advance(boolean waiting, long nowMillis) {
		long elapsedMillis = Math.max(0, nowMillis - this.lastMillis);
		double weight = Math.exp(-elapsedMillis / DECAY_MILLIS);
		this.places *= weight;
		this.waitedMillis = this.waitedMillis * weight + (waiting ? elapsedMillis : 0);
		this.lastMillis = nowMillis;
	}

	/**
	 * Counts a place.
	 */
	void placed() {
		this.places++;
	}

	/**
	 * Returns the mean interval between two places.
	 * @return the interval in milliseconds, empty if there was hardly any place recently
	 */
	OptionalDouble intervalMillis() {
		return (this.places < MIN_PLACES) ? OptionalDouble.empty()
				: OptionalDouble.of(Math.max(MIN_INTERVAL_MILLIS, this.waitedMillis / this.places));
	}

}
