package org.monsoonvalve.admission.process;

import java.util.OptionalDouble;

/**
 * What a process knows of the engines of an availability zone that serve a demand.
 *
 * @author monsoonvalve maintainers
 * @param zone the zone's name
 * @param heads the number of heads that serve the demand and are not suspected of having
 * failed
 * @param openHeads the number of those to which this process may send a request now
 * @param slots the slots of all heads
 * @param reportedSlots the slots of the heads that have reported their load recently
 * @param running the requests at all heads, from all processes, as far as reports tell
 * @param ownRequests the requests of this process among them
 * @param readers the number of processes that may send requests to the zone from other
 * zones
 * @param reportAgeMillis the mean age of the recent reports, in milliseconds
 * @param forecastMillis the forecast time to the first event at the best head, in
 * milliseconds, without the delay between zones, empty if it isn't known
 * @param delayMillis the one-way delay from the own zone, in milliseconds
 */
public record ZoneState(String zone, int heads, int openHeads, int slots, int reportedSlots, double running,
		double ownRequests, int readers, long reportAgeMillis, OptionalDouble forecastMillis, double delayMillis) {

	/** Age after which a report says nothing; it is longer than most requests run. */
	public static final long MAX_REPORT_AGE_MILLIS = 3000;

	/**
	 * Rate at which the load may grow after a report. Demand that varies by 55% over 13 s
	 * grows by at most 0.55 x 2 x pi / 13 s.
	 */
	private static final double MAX_GROWTH_PER_SECOND = 0.27;

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Tells whether the load of the zone is known.
	 * @return {@code false} if all reports are old
	 */
	boolean known() {
		return this.reportedSlots > 0 && this.reportAgeMillis < MAX_REPORT_AGE_MILLIS;
	}

	/**
	 * Returns the requests that the zone can hold while its own callers' requests meet
	 * their target.
	 * @param inTimeUtilisation the highest utilisation at which the target is met
	 * @return the number of requests
	 */
	double inTimeRequests(double inTimeUtilisation) {
		return this.slots * inTimeUtilisation;
	}

	/**
	 * Returns the requests up to which the zone accepts those of other zones. The
	 * difference is one standard deviation of a random number of requests that fills the
	 * zone, which its own callers may send at any time.
	 * @param inTimeUtilisation the highest utilisation at which the target is met
	 * @return the number of requests
	 */
	double lendableRequests(double inTimeUtilisation) {
		double inTime = inTimeRequests(inTimeUtilisation);
		return Math.max(0, inTime - Math.sqrt(inTime));
	}

	/**
	 * Returns the requests that may be in the zone now, as more may have come since the
	 * reports.
	 * @return the number of requests
	 */
	double grownRequests() {
		return this.running * (1 + MAX_GROWTH_PER_SECOND * this.reportAgeMillis / MILLIS_PER_SECOND);
	}

	/**
	 * Returns the requests that the zone can take from other zones in addition to those
	 * in it. Only the room at heads with recent reports counts.
	 * @param inTimeUtilisation the highest utilisation at which the target is met
	 * @return the number of requests, negative if the zone needs capacity back
	 */
	double room(double inTimeUtilisation) {
		double room = lendableRequests(inTimeUtilisation) - grownRequests();
		return (room > 0) ? room * this.reportedSlots / Math.max(1, this.slots) : room;
	}

	/**
	 * Returns the requests that this process may have in the zone. Each reader of a
	 * report takes an equal part of the room that it shows, so that all together don't
	 * exceed it; the next report shows what is left. Without room, the process takes its
	 * requests back in proportion to what the zone's own callers need.
	 * @param inTimeUtilisation the highest utilisation at which the target is met
	 * @return the number of requests
	 */
	double allowedRequests(double inTimeUtilisation) {
		double room = room(inTimeUtilisation);
		if (room >= 0) {
			return this.ownRequests + room / Math.max(1, this.readers);
		}
		double reserve = inTimeRequests(inTimeUtilisation) - lendableRequests(inTimeUtilisation);
		return this.ownRequests * Math.max(0, 1 + room / Math.max(1, reserve));
	}

}
