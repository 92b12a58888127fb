package org.monsoonvalve.admission.request;

/**
 * What a queue knows of a request that waits for a place at an endpoint.
 *
 * @author monsoonvalve maintainers
 * @param workspace the name of the caller's workspace, empty without a known key
 * @param size its work at an engine
 * @param urgency its urgency
 * @param limits the times up to which it may wait
 * @param heldBytes the memory that its content occupies, in bytes
 * @param tried whether it was sent to an endpoint before; such a request waits only as
 * long as its first event can be in time, and some endpoints may not get it again
 */
public record QueuedRequest(String workspace, WorkSize size, Urgency urgency, WaitLimits limits, long heldBytes,
		boolean tried) {

	/**
	 * Tells whether the first event can no longer meet the target.
	 * @param nowMillis the time in milliseconds
	 * @return {@code true} if it will be late
	 */
	public boolean late(long nowMillis) {
		return nowMillis > this.limits.inTimeUntilMillis();
	}

	/**
	 * Returns the last time up to which the request may wait.
	 * @return the time in milliseconds
	 */
	public double waitUntilMillis() {
		return this.tried ? this.limits.inTimeUntilMillis() : this.limits.lateUntilMillis();
	}

	/**
	 * Returns the time that the caller has left.
	 * @param nowMillis the time in milliseconds
	 * @return the time in milliseconds, at least 0
	 */
	public long leftMillis(long nowMillis) {
		return Math.max(0, this.limits.deadlineMillis() - nowMillis);
	}

	/**
	 * Tells whether this request has no place while another one has none, so that it
	 * needs no search of its own.
	 * @param other the other request, which finds no place
	 * @param nowMillis the time in milliseconds
	 * @return {@code true} if the other one has the same target, is as urgent and as
	 * small at least, and nothing else restricts it
	 */
	boolean fitsNowhereWithout(QueuedRequest other, long nowMillis) {
		return !other.tried && other.urgency.compareTo(this.urgency) <= 0 && other.late(nowMillis) == late(nowMillis)
				&& other.limits.targetMillis() == this.limits.targetMillis()
				&& other.size.promptTokens() <= this.size.promptTokens()
				&& other.size.memoryTokens() <= this.size.memoryTokens();
	}

}
