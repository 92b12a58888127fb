package org.monsoonvalve.gateway.version;

/**
 * The state of a VM in its replica group, as reported by its engine.
 *
 * @author monsoonvalve maintainers
 */
public enum GroupState {

	/** The VM is preparing to join the group. */
	JOINING,

	/** The VM is a member; a head in this state does not serve. */
	READY,

	/** The group's head serves requests. */
	OPEN,

	/** The head finishes its requests and accepts no new ones. */
	CLOSING,

	/** The head has lost a member and has stopped serving. */
	BROKEN;

	/**
	 * Tells whether a group whose head is in this state may be running requests.
	 * @return {@code true} while the group's members must not join another group
	 */
	public boolean active() {
		return this == OPEN || this == CLOSING;
	}

}
