package org.monsoonvalve.admission.request;

import java.util.Optional;

/**
 * The answer to the question whether an endpoint may get a request now and, if not, why
 * and until when.
 *
 * @author monsoonvalve maintainers
 * @param reason the reason against it, empty if the endpoint may get the request
 * @param untilMillis the earliest time at which the reason may have ended, in
 * milliseconds of the caller's clock, {@link #UNKNOWN_MILLIS} if that isn't known
 */
public record Verdict(Optional<Reason> reason, long untilMillis) {

	/** The end of a reason that isn't known. */
	public static final long UNKNOWN_MILLIS = Long.MAX_VALUE;

	private static final Verdict ADMITTED = new Verdict(Optional.empty(), 0);

	/**
	 * Returns the verdict that the endpoint may get the request.
	 * @return the verdict
	 */
	public static Verdict admitted() {
		return ADMITTED;
	}

	/**
	 * Returns a verdict against sending the request, whose end isn't known.
	 * @param reason the reason
	 * @return the verdict
	 */
	public static Verdict refused(Reason reason) {
		return refused(reason, UNKNOWN_MILLIS);
	}

	/**
	 * Returns a verdict against sending the request.
	 * @param reason the reason
	 * @param untilMillis the earliest time at which the reason may have ended, in
	 * milliseconds
	 * @return the verdict
	 */
	public static Verdict refused(Reason reason, long untilMillis) {
		return new Verdict(Optional.of(reason), untilMillis);
	}

	/**
	 * Tells whether the endpoint may get the request.
	 * @return {@code true} if there is no reason against it
	 */
	public boolean isAdmitted() {
		return this.reason.isEmpty();
	}

}
