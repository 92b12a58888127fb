package org.monsoonvalve.core.request;

/**
 * Lists the failures that the system reports to callers and operators, each with its HTTP
 * status and whether the request may have run.
 *
 * @author monsoonvalve maintainers
 */
public enum FailureCode {

	/** Content can't be decoded, or a value can't be encoded. */
	MALFORMED_CONTENT(400, RunState.NOT_RUN, false),

	/** A request field is missing or has an invalid value. */
	INVALID_REQUEST(400, RunState.NOT_RUN, false),

	/** The workspace or administration key is missing or unknown. */
	UNAUTHENTICATED(401, RunState.NOT_RUN, false),

	/** The workspace may not use the pool. */
	FORBIDDEN(403, RunState.NOT_RUN, false),

	/** The path, pool or model does not exist. */
	NOT_FOUND(404, RunState.NOT_RUN, false),

	/** The request body exceeds the size limit. */
	BODY_TOO_LARGE(413, RunState.NOT_RUN, false),

	/** The outcome of the first request with this idempotency key is unknown. */
	OUTCOME_UNKNOWN(409, RunState.UNKNOWN, false),

	/** The idempotency key was used with a different request. */
	KEY_REUSED(422, RunState.NOT_RUN, false),

	/** The base revision of a configuration change is not the current one. */
	CONFLICT(412, RunState.NOT_RUN, false),

	/** A document is invalid. */
	INVALID_DOCUMENT(422, RunState.NOT_RUN, false),

	/** The outcome of a configuration change at the platform is unknown. */
	CHANGE_UNKNOWN(504, RunState.UNKNOWN, true),

	/** The workspace exceeds its share and its queue is full. */
	OVER_LIMIT(429, RunState.NOT_RUN, true),

	/** No endpoint or complete replica group can take the request. */
	NO_CAPACITY(503, RunState.NOT_RUN, true),

	/** A part of the prompt crashed endpoints, so the request was not sent. */
	PROMPT_BLOCKED(503, RunState.NOT_RUN, true),

	/** No configuration has been received yet. */
	NOT_READY(503, RunState.NOT_RUN, true),

	/** The request needs the platform, which did not respond. */
	PLATFORM_UNAVAILABLE(503, RunState.NOT_RUN, true),

	/** An endpoint could not be reached before the request was sent. */
	UNREACHABLE(503, RunState.NOT_RUN, true),

	/** The endpoint's connection closed or timed out after the request was sent. */
	ENDPOINT_LOST(502, RunState.UNKNOWN, false),

	/** The endpoint did not complete the response in time. */
	TIMEOUT(504, RunState.UNKNOWN, false),

	/** The response of the endpoint exceeds the size limit. */
	ANSWER_TOO_LARGE(502, RunState.RAN, false),

	/** The endpoint's engine rejected the request. */
	ENDPOINT_REFUSED(422, RunState.UNKNOWN, false),

	/** A setting has an invalid value. */
	INVALID_SETTING(400, RunState.NOT_RUN, false),

	/** An internal error of the system. */
	INTERNAL(500, RunState.UNKNOWN, false);

	private final int status;

	private final RunState run;

	private final boolean retryable;

	FailureCode(int status, RunState run, boolean retryable) {
		this.status = status;
		this.run = run;
		this.retryable = retryable;
	}

	/**
	 * Returns the HTTP status of this failure.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns whether the failed request may have run.
	 * @return the run state
	 */
	public RunState run() {
		return this.run;
	}

	/**
	 * Tells whether the same request may succeed if it is retried soon.
	 * @return {@code true} if the response carries {@code Retry-After}
	 */
	public boolean retryable() {
		return this.retryable;
	}

	/**
	 * Returns the stable code that is sent in responses.
	 * @return the code in lower case with hyphens
	 */
	public String code() {
		return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
	}

}
