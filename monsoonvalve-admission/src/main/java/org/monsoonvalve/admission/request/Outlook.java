package org.monsoonvalve.admission.request;

import java.util.OptionalDouble;

/**
 * What a waiting request can expect at its position in the queue.
 *
 * @author monsoonvalve maintainers
 * @param ahead the number of requests in front of it
 * @param bytesAhead the memory that their contents occupy, in bytes
 * @param expectedMillis the expected time until it gets a place, in milliseconds, empty
 * if no place has become free recently
 */
record Outlook(int ahead, long bytesAhead, OptionalDouble expectedMillis) {

	/**
	 * Returns the time after which it may get a place if places become free sooner than
	 * expected, by the standard deviation of as many independent ones. The first request
	 * may get a place at any time, and its wait shows the rate of places.
	 * @return the time in milliseconds, 0 without an expectation
	 */
	double earliestMillis() {
		return this.expectedMillis.orElse(0) * (1 - 1 / Math.sqrt(this.ahead + 1.0));
	}

}
