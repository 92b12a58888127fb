package org.monsoonvalve.admission.process;

import java.util.Locale;

/**
 * Why requests are sent to another availability zone.
 *
 * @author monsoonvalve maintainers
 */
public enum LeaveReason {

	/** All slots of the own zone are in use, or none of its heads accepts a request. */
	OWN_ZONE_FULL,

	/** The own zone has free slots, but its forecast exceeds the target. */
	OWN_ZONE_LATE,

	/** The own zone has no head that serves the model. */
	NO_HEAD {

		/**
		 * Returns the goal at once, since requests that stay are refused.
		 */
		@Override
		double approach(double share, double goal, long elapsedMillis) {
			return goal;
		}

		@Override
		public LeaveReason ofRefused() {
			return this;
		}

	},

	/**
	 * The request may have run without a complete response; it is late already and goes
	 * where it is answered soonest.
	 */
	REPEATED,

	/** The other zone is so near that its endpoints are candidates like the own ones. */
	NEAR,

	/** The load of the other zone is unknown, and a few requests are sent to learn it. */
	PROBE {

		@Override
		public LeaveReason ofRefused() {
			return this;
		}

	};

	/**
	 * Time constant of a rising share. It is about the age of a report (200 ms at the
	 * engine and some hundred ms until the next one), so that a process sees the effect
	 * of what all processes send before it sends much more.
	 */
	private static final double RISE_MILLIS = 500;

	/**
	 * Time constant of a falling share. Callers of the other zone wait behind what is
	 * sent too long, while the own zone has capacity again when a share falls.
	 */
	private static final double FALL_MILLIS = 300;

	/**
	 * Longest time for which a share rises at once; a process with few requests decides
	 * seldom and would otherwise reach its goal in one step.
	 */
	private static final long MAX_RISE_STEP_MILLIS = 250;

	/**
	 * Moves a share towards its goal.
	 * @param share the share so far
	 * @param goal the goal
	 * @param elapsedMillis the time since the share was last moved, in milliseconds
	 * @return the new share
	 */
	double approach(double share, double goal, long elapsedMillis) {
		double exponent = (goal > share) ? Math.min(elapsedMillis, MAX_RISE_STEP_MILLIS) / RISE_MILLIS
				: elapsedMillis / FALL_MILLIS;
		return goal + (share - goal) * Math.exp(-exponent);
	}

	/**
	 * Returns the reason of a request that the own zone has refused.
	 * @return this reason if it applies, or else that the own zone is full
	 */
	public LeaveReason ofRefused() {
		return OWN_ZONE_FULL;
	}

	/**
	 * Returns the name in metrics and logs.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
