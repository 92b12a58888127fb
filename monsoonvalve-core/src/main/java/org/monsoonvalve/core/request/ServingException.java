package org.monsoonvalve.core.request;

/**
 * Thrown when a request or another operation of the system fails, with a
 * {@link FailureCode}.
 *
 * @author monsoonvalve maintainers
 */
public class ServingException extends RuntimeException {

	private final FailureCode code;

	/**
	 * Creates an exception without a cause.
	 * @param code the failure code
	 * @param detail what was expected and what was found
	 */
	public ServingException(FailureCode code, String detail) {
		super(detail);
		this.code = code;
	}

	/**
	 * Creates an exception with a cause.
	 * @param code the failure code
	 * @param detail what was expected and what was found
	 * @param cause the cause
	 */
	public ServingException(FailureCode code, String detail, Throwable cause) {
		super(detail, cause);
		this.code = code;
	}

	/**
	 * Returns the failure code.
	 * @return the code
	 */
	public FailureCode code() {
		return this.code;
	}

	/**
	 * Returns the failure to report for a request of which an earlier attempt was sent.
	 * Such a request may have run, regardless of how a later attempt failed.
	 * @return this failure, or one with {@link FailureCode#ENDPOINT_LOST} if this failure
	 * says that the request did not run
	 */
	public ServingException afterSending() {
		return (this.code.run() != RunState.NOT_RUN) ? this : new ServingException(FailureCode.ENDPOINT_LOST,
				"an earlier attempt was sent but its outcome is unknown; a later attempt failed: " + getMessage(),
				this);
	}

	/**
	 * Finds the serving exception in the cause chain of an exception.
	 * @param thrown the exception, such as one that a future has wrapped
	 * @return the first serving exception of the chain, or a new one with
	 * {@link FailureCode#INTERNAL}
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
