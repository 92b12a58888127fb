package org.monsoonvalve.entry.process;

import java.util.Locale;

/**
 * Service-level objectives.
 *
 * @author monsoonvalve maintainers
 */
public enum Objective {

	/** Requests that are answered. */
	AVAILABILITY(0.999, 0),

	/** Streams whose first token comes in time. */
	FIRST_TOKEN(0.95, 1700),

	/** Tokens that follow the one before in time. */
	TOKEN_GAP(0.95, 67);

	private final double target;

	private final long limitMillis;

	Objective(double target, long limitMillis) {
		this.target = target;
		this.limitMillis = limitMillis;
	}

	/**
	 * Returns the share of events that has to be good.
	 * @return the share, from 0 to 1
	 */
	public double target() {
		return this.target;
	}

	/**
	 * Returns the longest duration of a good event.
	 * @return the limit in milliseconds, 0 if the objective has none
	 */
	public long limitMillis() {
		return this.limitMillis;
	}

	/**
	 * Returns the name used in reports.
	 * @return the name in lower case with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
