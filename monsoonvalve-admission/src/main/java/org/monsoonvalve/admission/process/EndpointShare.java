package org.monsoonvalve.admission.process;

import java.util.PriorityQueue;
import java.util.stream.IntStream;

import org.monsoonvalve.admission.request.Reason;
import org.monsoonvalve.admission.request.Verdict;

/**
 * This process's share of one endpoint, and how much of it is used. Not thread-safe.
 *
 * @author monsoonvalve maintainers
 */
public final class EndpointShare {

	/**
	 * Span in which requests count: one second including both of its ends, and 24 ms in
	 * which the latencies of two requests may differ, three round trips between zones.
	 */
	static final long WINDOW_MILLIS = 1025;

	/** Time from the question for a loan until what was lent can no longer be used. */
	static final long LOAN_MILLIS = 200;

	private final SharedEndpoint endpoint;

	private final ShareMembers members;

	// The times at which requests no longer count.
	private final PriorityQueue<Long> expiryMillis = new PriorityQueue<>();

	// The times at which requests that other processes lent can no longer be sent.
	private final PriorityQueue<Long> borrowedUntilMillis = new PriorityQueue<>();

	private int requestsPerSecond;

	private long computedVersion = -1;

	private double computedBoundPerSecond;

	EndpointShare(SharedEndpoint endpoint, ShareMembers members) {
		this.endpoint = endpoint;
		this.members = members;
	}

	/**
	 * Tells whether this process may send the endpoint one more request.
	 * @param boundPerSecond the requests that the endpoint may receive in any second
	 * @param nowMillis the current time, in milliseconds
	 * @return the verdict
	 */
	public Verdict verdict(double boundPerSecond, long nowMillis) {
		if (borrowed(nowMillis) > 0) {
			return Verdict.admitted();
		}
		int share = share(boundPerSecond, nowMillis);
		if (share == 0) {
			return Verdict.refused(Reason.COLD_RATE);
		}
		return (used(nowMillis) < share) ? Verdict.admitted()
				: Verdict.refused(Reason.COLD_RATE, this.expiryMillis.peek());
	}

	/**
	 * Records that this process sends a request to the endpoint. What was borrowed lapses
	 * soon, so it is used first; it counts at the lender.
	 * @param nowMillis the current time, in milliseconds
	 */
	public void sent(long nowMillis) {
		if (borrowed(nowMillis) > 0) {
			this.borrowedUntilMillis.poll();
			return;
		}
		removeExpired(this.expiryMillis, nowMillis);
		this.expiryMillis.add(nowMillis + WINDOW_MILLIS);
	}

	/**
	 * Records that a request is lent to another process. It counts as if it were sent at
	 * the last moment at which it may be.
	 * @param nowMillis the current time, in milliseconds
	 */
	void lent(long nowMillis) {
		this.expiryMillis.add(nowMillis + LOAN_MILLIS + WINDOW_MILLIS);
	}

	/**
	 * Records requests that another process has lent.
	 * @param requests the number of requests
	 * @param untilMillis the time at which they lapse, in milliseconds
	 */
	void granted(int requests, long untilMillis) {
		IntStream.range(0, requests).forEach((i) -> this.borrowedUntilMillis.add(untilMillis));
	}

	/**
	 * Returns the endpoint.
	 * @return the endpoint
	 */
	SharedEndpoint endpoint() {
		return this.endpoint;
	}

	/**
	 * Returns the requests that this process may send now.
	 * @param boundPerSecond the requests that the endpoint may receive in any second
	 * @param nowMillis the current time, in milliseconds
	 * @return the number of requests, including those that are borrowed
	 */
	int free(double boundPerSecond, long nowMillis) {
		return borrowed(nowMillis) + own(boundPerSecond, nowMillis);
	}

	/**
	 * Returns the requests of its own share that this process may send or lend now.
	 * @param boundPerSecond the requests that the endpoint may receive in any second
	 * @param nowMillis the current time, in milliseconds
	 * @return the number of requests
	 */
	int own(double boundPerSecond, long nowMillis) {
		return Math.max(0, share(boundPerSecond, nowMillis) - used(nowMillis));
	}

	private int borrowed(long nowMillis) {
		removeExpired(this.borrowedUntilMillis, nowMillis);
		return this.borrowedUntilMillis.size();
	}

	/**
	 * Returns the number of requests that count.
	 * @param nowMillis the current time, in milliseconds
	 * @return the number of requests
	 */
	int used(long nowMillis) {
		removeExpired(this.expiryMillis, nowMillis);
		return this.expiryMillis.size();
	}

	/**
	 * Returns this process's share.
	 * @param boundPerSecond the requests that the endpoint may receive in any second
	 * @param nowMillis the current time, in milliseconds
	 * @return the requests that it may send in any second
	 */
	int share(double boundPerSecond, long nowMillis) {
		long version = this.members.refresh(nowMillis);
		if (version != this.computedVersion || boundPerSecond != this.computedBoundPerSecond) {
			SharingProcess holder = this.members.holder();
			this.requestsPerSecond = (holder != null)
					? ShareDivision.of(boundPerSecond).shareOf(holder, this.members.counted(), this.endpoint) : 0;
			this.computedVersion = version;
			this.computedBoundPerSecond = boundPerSecond;
		}
		return this.requestsPerSecond;
	}

	private static void removeExpired(PriorityQueue<Long> times, long nowMillis) {
		while (!times.isEmpty() && times.peek() <= nowMillis) {
			times.poll();
		}
	}

}
