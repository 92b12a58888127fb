package org.monsoonvalve.gateway.version;

/**
 * The liveness of a group's head that has no record in the platform's store.
 *
 * @author monsoonvalve maintainers
 */
public enum HeadLiveness {

	/** The head may still be serving requests. */
	UNKNOWN,

	/** The head confirmed that it no longer serves the group. */
	CLOSED,

	/** The head has had no record and has not answered for so long that it is gone. */
	DEAD;

	/**
	 * Tells whether the group's other members may join other groups.
	 * @return {@code true} if the head no longer serves
	 */
	public boolean releasesMembers() {
		return this != UNKNOWN;
	}

}
