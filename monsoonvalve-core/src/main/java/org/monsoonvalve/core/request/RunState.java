package org.monsoonvalve.core.request;

/**
 * Tells whether a failed request ran.
 *
 * @author monsoonvalve maintainers
 */
public enum RunState {

	/** The request did not run: no byte of it was sent to an endpoint. */
	NOT_RUN("not-run"),

	/** The request may have run. */
	UNKNOWN("unknown"),

	/** The request ran. */
	RAN("ran");

	private final String label;

	RunState(String label) {
		this.label = label;
	}

	/**
	 * Returns the label that is sent in responses.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

}
