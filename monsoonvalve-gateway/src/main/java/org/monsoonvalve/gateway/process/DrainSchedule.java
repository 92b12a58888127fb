package org.monsoonvalve.gateway.process;

/**
 * The times of a planned stop, counted from the stop signal. All of them lie within the
 * grace time, however short it is.
 *
 * @author monsoonvalve maintainers
 * @param acceptMillis the time during which requests are still accepted, in milliseconds
 * @param minMillis the shortest time until the process ends, in milliseconds
 * @param endMillis the time after which the requests in progress are ended, in
 * milliseconds
 */
record DrainSchedule(long acceptMillis, long minMillis, long endMillis) {

	/**
	 * Time in which the load balancer notices that this process is not ready: two
	 * readiness checks a second apart, and one more for checks in progress at the signal.
	 */
	private static final long BALANCER_MILLIS = 3500;

	/**
	 * Time after which the load balancer uses other processes, or has none left.
	 */
	private static final long MAX_ACCEPT_MILLIS = 2800;

	/**
	 * Share of the grace time that is reserved for the exit of the process itself.
	 */
	private static final double EXIT_SHARE = 0.15;

	/**
	 * Share of the time until the end in which requests are accepted at most; the rest is
	 * left to the last of them.
	 */
	private static final double MAX_ACCEPT_SHARE = 0.5;

	/**
	 * Creates the schedule of a stop.
	 * @param graceMillis the time from the stop signal until the process is killed, in
	 * milliseconds
	 * @return the schedule
	 */
	static DrainSchedule of(long graceMillis) {
		long endMillis = Math.round(graceMillis * (1 - EXIT_SHARE));
		return new DrainSchedule(Math.min(MAX_ACCEPT_MILLIS, (long) (endMillis * MAX_ACCEPT_SHARE)),
				Math.min(BALANCER_MILLIS, endMillis), endMillis);
	}

}
