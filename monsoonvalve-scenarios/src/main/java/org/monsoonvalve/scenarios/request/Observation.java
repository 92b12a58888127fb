package org.monsoonvalve.scenarios.request;

/**
 * What a caller saw of one request.
 *
 * @author monsoonvalve maintainers
 * @param load the step that sent it
 * @param clientId what the caller named it
 * @param key its idempotency key, empty without one
 * @param entry the entry that it was sent to
 * @param sentMillis when it was sent, in milliseconds since the epoch
 * @param endMillis when its outcome was known, in milliseconds since the epoch
 * @param firstTokenMillis how long its first token took, in milliseconds, -1 without one
 * @param outcome what came of it
 * @param status the HTTP status, 0 without an answer
 * @param run what a refusal said of the request having run, empty without one
 * @param detail the refusal's code or the fault that was seen
 */
public record Observation(String load, String clientId, String key, String entry, long sentMillis, long endMillis,
		long firstTokenMillis, Outcome outcome, int status, String run, String detail) {

	/**
	 * What can come of a request.
	 */
	public enum Outcome {

		/** A whole answer to this request. */
		ANSWERED,

		/**
		 * An answer that is not whole, or not this request's, and looks as if it were.
		 */
		WRONG,

		/** A refusal. */
		REFUSED,

		/** No connection was made. */
		NOT_CONNECTED,

		/** The connection ended before the answer did. */
		CUT

	}

}
