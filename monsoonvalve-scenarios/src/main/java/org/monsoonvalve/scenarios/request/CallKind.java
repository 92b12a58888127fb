package org.monsoonvalve.scenarios.request;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * Kinds of requests that scenarios send.
 *
 * @author monsoonvalve maintainers
 */
public enum CallKind {

	/** A question to the model. */
	CHAT,

	/** A call of the plain service that may not be repeated. */
	BOOKING,

	/** A call of the plain service that may be repeated. */
	READ;

	/**
	 * Finds a kind by its name in scripts.
	 * @param name the name in lower case
	 * @return the kind
	 */
	@JsonCreator
	public static CallKind of(String name) {
		return valueOf(name.toUpperCase(java.util.Locale.ROOT));
	}

}
