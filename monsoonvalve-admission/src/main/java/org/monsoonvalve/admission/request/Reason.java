package org.monsoonvalve.admission.request;

/**
 * Why an endpoint may not get a request now.
 *
 * @author monsoonvalve maintainers
 */
public enum Reason {

	/** All places that the request may take at the endpoint are taken. */
	FULL(true),

	/** The endpoint named a limit, and this process's share of it is used up. */
	ENDPOINT_LIMIT(true),

	/** This process's share of the rate that a cold endpoint can bear is used up. */
	COLD_RATE(true),

	/** The endpoint declined the request a moment ago. */
	DECLINED(true),

	/** The request has been sent to the endpoint before. */
	TRIED(false);

	private final boolean passing;

	Reason(boolean passing) {
		this.passing = passing;
	}

	/**
	 * Tells whether waiting can help.
	 * @return {@code true} if the reason ends while the endpoint goes on serving
	 */
	public boolean passing() {
		return this.passing;
	}

}
