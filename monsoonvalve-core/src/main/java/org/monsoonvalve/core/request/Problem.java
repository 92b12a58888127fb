package org.monsoonvalve.core.request;

import org.monsoonvalve.core.process.Codec;

/**
 * Describes a refusal in the form of {@code application/problem+json} (RFC 9457).
 *
 * @author monsoonvalve maintainers
 * @param type the stable identifier of the failure, {@code urn:monsoonvalve:CODE}
 * @param title the failure's code
 * @param status the HTTP status
 * @param detail what was expected and what was found
 * @param code the failure's code
 * @param run whether the request ran: {@code not-run}, {@code unknown} or {@code ran}
 */
public record Problem(String type, String title, int status, String detail, String code, String run) {

	/** The media type of a refusal. */
	public static final String MEDIA_TYPE = "application/problem+json";

	/**
	 * Describes a failure.
	 * @param failure the failure
	 * @return the refusal
	 */
	public static Problem of(ServingException failure) {
		FailureCode code = failure.code();
		return new Problem("urn:monsoonvalve:" + code.code(), code.code(), code.status(), failure.getMessage(),
				code.code(), code.run().label());
	}

	/**
	 * Encodes the refusal.
	 * @return the JSON form
	 */
	public byte[] encode() {
		return Codec.JSON.encode(this);
	}

}
