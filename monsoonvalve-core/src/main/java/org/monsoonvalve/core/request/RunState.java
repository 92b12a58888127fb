package org.monsoonvalve.core.request;

/**
 * Says whether the request behind a refusal ran.
 *
 * @author monsoonvalve maintainers
 */
public enum RunState {

	/** The request did not run: no byte of it left for an endpoint. */
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
	 * Returns the form used in answers.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

}
