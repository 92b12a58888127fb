package org.monsoonvalve.gateway.version;

/**
 * What is known of a group's head that has no record in the platform's store.
 *
 * @author monsoonvalve maintainers
 */
public enum HeadLiveness {

	/** It may still serve requests. */
	UNKNOWN,

	/** It answered that it serves the group no more. */
	CLOSED,

	/** It has been without a record and without an answer for so long that it is gone. */
	DEAD;

	/**
	 * Tells whether the group's other members may join other groups.
	 * @return {@code true} if the head serves no more
	 */
	public boolean releasesMembers() {
		return this != UNKNOWN;
	}

}
