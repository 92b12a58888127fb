package org.monsoonvalve.core.request;

/**
 * Lists every failure that the system names to callers and operators, with its HTTP
 * status and what it says about the request having run.
 *
 * @author monsoonvalve maintainers
 */
public enum FailureCode {

	/** Content that can't be decoded. */
	MALFORMED_CONTENT(400, RunState.NOT_RUN, false),

	/** A request field that is missing or has a bad value. */
	INVALID_REQUEST(400, RunState.NOT_RUN, false),

	/** A missing or unknown workspace or administration key. */
	UNAUTHENTICATED(401, RunState.NOT_RUN, false),

	/** A pool that the workspace may not use. */
	FORBIDDEN(403, RunState.NOT_RUN, false),

	/** A path, pool or model that does not exist. */
	NOT_FOUND(404, RunState.NOT_RUN, false),

	/** A body over the size limit. */
	BODY_TOO_LARGE(413, RunState.NOT_RUN, false),

	/** A request with an idempotency key whose first run has no known outcome. */
	OUTCOME_UNKNOWN(409, RunState.UNKNOWN, false),

	/** An idempotency key that was used with another request. */
	KEY_REUSED(422, RunState.NOT_RUN, false),

	/** A configuration change whose base revision is not the current one. */
	CONFLICT(412, RunState.NOT_RUN, false),

	/** A document with faults. */
	INVALID_DOCUMENT(422, RunState.NOT_RUN, false),

	/** A configuration change whose outcome at the platform is not known. */
	CHANGE_UNKNOWN(504, RunState.UNKNOWN, true),

	/** A workspace over its share, with a full queue. */
	OVER_LIMIT(429, RunState.NOT_RUN, true),

	/** No endpoint or complete replica group can take the request. */
	NO_CAPACITY(503, RunState.NOT_RUN, true),

	/** No configuration has been received yet. */
	NOT_READY(503, RunState.NOT_RUN, true),

	/** The platform did not answer, and the request needs it. */
	PLATFORM_UNAVAILABLE(503, RunState.NOT_RUN, true),

	/** An endpoint could not be reached before the request was sent. */
	UNREACHABLE(503, RunState.NOT_RUN, true),

	/** The endpoint's connection ended or went silent after the request was sent. */
	ENDPOINT_LOST(502, RunState.UNKNOWN, false),

	/** The endpoint did not finish in time. */
	TIMEOUT(504, RunState.UNKNOWN, false),

	/** The endpoint sent more than the size limit. */
	ANSWER_TOO_LARGE(502, RunState.RAN, false),

	/** The engine did not accept the request. */
	ENDPOINT_REFUSED(422, RunState.UNKNOWN, false),

	/** A setting with a bad value. */
	INVALID_SETTING(400, RunState.NOT_RUN, false),

	/** A fault inside the system. */
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
	 * Returns the HTTP status that carries this failure.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns what this failure says about the request having run.
	 * @return the run state
	 */
	public RunState run() {
		return this.run;
	}

	/**
	 * Tells whether the same request may succeed soon.
	 * @return {@code true} if {@code Retry-After} is sent
	 */
	public boolean retryable() {
		return this.retryable;
	}

	/**
	 * Returns the stable code used in answers.
	 * @return the code in lower case with hyphens
	 */
	public String code() {
		return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
	}

}
