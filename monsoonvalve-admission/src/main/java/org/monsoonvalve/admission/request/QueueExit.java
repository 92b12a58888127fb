package org.monsoonvalve.admission.request;

/**
 * Why a request leaves the queue. The reasons that follow from its limits and its
 * position are in the order in which they are examined.
 *
 * @author monsoonvalve maintainers
 */
public enum QueueExit {

	/** An endpoint has a place for it. */
	PLACED(false, "an endpoint has a place"),

	/** Its caller has gone. */
	CALLER_GONE(false, "the caller has gone"),

	/** No endpoint serves its service and model any longer. */
	NO_ENDPOINT(true, "no endpoint serves the requested service or model any longer"),

	/** The process stops. */
	PROCESS_STOPS(true, "this process is shutting down"),

	/** It was ended for a reason that doesn't concern the queue. */
	ENDED(true, "the request was ended"),

	/** Its first event can't arrive before its deadline. */
	DEADLINE(true, "the first event can't arrive before the deadline") {

		@Override
		boolean applies(QueuedRequest request, Outlook outlook, long nowMillis) {
			return nowMillis > request.limits().servableUntilMillis();
		}

	},

	/** Waiting would only make it late, and a place is forecast later or not at all. */
	NO_PLACE_IN_TIME(true, "no place at an endpoint is expected in time") {

		@Override
		boolean applies(QueuedRequest request, Outlook outlook, long nowMillis) {
			double remainingMillis = request.waitUntilMillis() - nowMillis;
			if (request.late(nowMillis)) {
				return outlook.expectedMillis().orElse(Double.POSITIVE_INFINITY) > remainingMillis;
			}
			return outlook.earliestMillis() > remainingMillis;
		}

	},

	/** The queue is full of requests that come before it. */
	QUEUE_FULL(true, "the queue of waiting requests is full") {

		@Override
		boolean applies(QueuedRequest request, Outlook outlook, long nowMillis) {
			return outlook.ahead() >= MAX_LENGTH || outlook.bytesAhead() + request.heldBytes() > MAX_HELD_BYTES;
		}

	};

	/**
	 * Requests that may wait for a service and model. The largest process of the yard
	 * receives some requests per second of one model, ten times as many in a burst, and a
	 * request waits for 2 s at most.
	 */
	static final int MAX_LENGTH = 128;

	/**
	 * Memory that their contents may occupy, in bytes: a twentieth of a process with 330
	 * MB.
	 */
	static final long MAX_HELD_BYTES = 16L * 1024 * 1024;

	private final boolean refusal;

	private final String explanation;

	QueueExit(boolean refusal, String explanation) {
		this.refusal = refusal;
		this.explanation = explanation;
	}

	/**
	 * Tells whether the request must leave the queue for this reason.
	 * @param request the request
	 * @param outlook what it can expect
	 * @param nowMillis the time in milliseconds
	 * @return {@code true} if it must leave; {@code false} for reasons that don't follow
	 * from its limits and position
	 */
	boolean applies(QueuedRequest request, Outlook outlook, long nowMillis) {
		return false;
	}

	/**
	 * Tells whether the caller gets a refusal.
	 * @return {@code false} if the request was sent or its caller has gone
	 */
	public boolean refusal() {
		return this.refusal;
	}

	/**
	 * Returns the reason in words, for the caller.
	 * @return the reason
	 */
	public String explanation() {
		return this.explanation;
	}

}
