package org.monsoonvalve.core.request;

/**
 * Signals a failure by its code.
 *
 * @author monsoonvalve maintainers
 */
public class ServingException extends RuntimeException {

	private final FailureCode code;

	/**
	 * Creates an exception without a cause.
	 * @param code the failure
	 * @param detail what was expected and what was found
	 */
	public ServingException(FailureCode code, String detail) {
		super(detail);
		this.code = code;
	}

	/**
	 * Creates an exception with a cause.
	 * @param code the failure
	 * @param detail what was expected and what was found
	 * @param cause the cause
	 */
	public ServingException(FailureCode code, String detail, Throwable cause) {
		super(detail, cause);
		this.code = code;
	}

	/**
	 * Returns the failure.
	 * @return the code
	 */
	public FailureCode code() {
		return this.code;
	}

	/**
	 * Returns what to tell the caller of a request that was sent before this failure: it
	 * may have run, whatever a later attempt met.
	 * @return this failure, or one with {@link FailureCode#ENDPOINT_LOST} in place of one
	 * that says that the request did not run
	 */
	public ServingException afterSending() {
		return (this.code.run() != RunState.NOT_RUN) ? this : new ServingException(FailureCode.ENDPOINT_LOST,
				"an earlier attempt was sent and lost; then: " + getMessage(), this);
	}

	/**
	 * Finds the failure behind any exception.
	 * @param thrown the exception, possibly wrapped by a future
	 * @return the serving exception in it, or one with {@link FailureCode#INTERNAL}
	 */
	public static ServingException from(Throwable thrown) {
		Throwable current = thrown;
		while (current != null) {
			if (current instanceof ServingException serving) {
				return serving;
			}
			current = current.getCause();
		}
		return new ServingException(FailureCode.INTERNAL, String.valueOf(thrown), thrown);
	}

}
