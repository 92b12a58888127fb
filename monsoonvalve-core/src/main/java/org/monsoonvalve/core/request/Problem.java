package org.monsoonvalve.core.request;

import org.monsoonvalve.core.process.Codec;

/**
 * Problem details of a failed request in the format of {@code application/problem+json}
 * (RFC 9457).
 *
 * @author monsoonvalve maintainers
 * @param type the stable URI of the failure, {@code urn:monsoonvalve:CODE}
 * @param title the failure's code, same as {@code code}
 * @param status the HTTP status code
 * @param detail what was expected and what was found
 * @param code the failure's code, such as {@code no-capacity}
 * @param run whether the request ran: {@code not-run}, {@code unknown} or {@code ran}
 */
public record Problem(String type, String title, int status, String detail, String code, String run) {

	/** The media type of problem details. */
	public static final String MEDIA_TYPE = "application/problem+json";

	/**
	 * Creates the problem details of a failure.
	 * @param failure the failure
	 * @return the problem details
	 */
	public static Problem of(ServingException failure) {
		FailureCode code = failure.code();
		return new Problem("urn:monsoonvalve:" + code.code(), code.code(), code.status(), failure.getMessage(),
				code.code(), code.run().label());
	}

	/**
	 * Encodes the problem details as JSON.
	 * @return the encoded JSON
	 */
	public byte[] encode() {
		return Codec.JSON.encode(this);
	}

}
