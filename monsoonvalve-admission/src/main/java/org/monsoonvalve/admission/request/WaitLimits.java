package org.monsoonvalve.admission.request;

/**
 * The times up to which a request may wait for a place at an endpoint. All times are
 * milliseconds of the caller's clock.
 *
 * @author monsoonvalve maintainers
 * @param startMillis the time at which the request arrived
 * @param targetMillis the target for the time from the arrival to the first event, in
 * milliseconds, 0 for none
 * @param timeoutMillis the timeout of the request's route, in milliseconds
 * @param deadlineMillis the time at which its caller gives up
 * @param firstEventMillis the time that an engine needs for the first event, in
 * milliseconds
 */
public record WaitLimits(long startMillis, long targetMillis, long timeoutMillis, long deadlineMillis,
		double firstEventMillis) {

	/** The fraction of the timeout that a request may wait. */
	private static final long TIMEOUTS_PER_WAIT = 4;

	/**
	 * Part of the target that a wait may use up together with the first event. Under
	 * lasting load requests are sent at the end of their wait, and those that use up all
	 * of it are late by the time of the connection and by any error of the estimate.
	 */
	private static final double USABLE_TARGET = 0.9;

	/**
	 * Returns the last time at which the request can be sent so that its first event
	 * meets the target, with a margin of a tenth of it.
	 * @return the time in milliseconds
	 */
	public double inTimeUntilMillis() {
		double target = (this.targetMillis > 0) ? USABLE_TARGET * this.targetMillis
				: (double) this.timeoutMillis / TIMEOUTS_PER_WAIT;
		return Math.min(this.startMillis + target - this.firstEventMillis, servableUntilMillis());
	}

	/**
	 * Returns the last time at which the request can be sent so that its first event
	 * arrives before the deadline.
	 * @return the time in milliseconds
	 */
	public double servableUntilMillis() {
		return this.deadlineMillis - this.firstEventMillis;
	}

	/**
	 * Returns the last time up to which the request may wait if its first event will be
	 * late: a quarter of the timeout after its arrival.
	 * @return the time in milliseconds, not before {@link #inTimeUntilMillis()}
	 */
	public double lateUntilMillis() {
		return Math.max(inTimeUntilMillis(),
				Math.min(this.startMillis + (double) this.timeoutMillis / TIMEOUTS_PER_WAIT, servableUntilMillis()));
	}

}
