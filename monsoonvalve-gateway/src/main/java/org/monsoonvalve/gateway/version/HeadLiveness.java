package org.monsoonvalve.gateway.version;

/**
 * The liveness of a group's head that has no record in the platform's store.
 *
 * @author monsoonvalve maintainers
 */
public enum HeadLiveness {

	/** The head may still be serving requests. */
	UNKNOWN(""),

	/** The head confirmed that it no longer serves the group. */
	CLOSED("its head has stopped serving"),

	/** Another incarnation has taken the place of the head. */
	REPLACED("its head has restarted"),

	/** The head has had no record and has not answered for so long that it is gone. */
	UNRESPONSIVE("its head does not answer while other members do"),

	/** The head has had no record for so long that the group is given up. */
	EXPIRED("nothing has been heard of its head");

	private final String reason;

	HeadLiveness(String reason) {
		this.reason = reason;
	}

	/**
	 * Tells whether the group's other members may join other groups.
	 * @return {@code true} if the head no longer serves
	 */
	public boolean releasesMembers() {
		return this != UNKNOWN;
	}

	/**
	 * Returns why the group is removed.
	 * @return the reason, empty if the members are not released
	 */
	public String reason() {
		return this.reason;
	}

}
