package org.monsoonvalve.gateway.version;

/**
 * A VM's membership in a replica group.
 *
 * @author monsoonvalve maintainers
 * @param group the group's name
 * @param epoch the group's epoch; of two memberships of a VM, the later one has the
 * higher epoch
 * @param rank the index among the members, 0 for the head
 * @param state the VM's state in the group
 */
public record GroupMembership(String group, long epoch, int rank, GroupState state) {

	/**
	 * Tells whether the VM accepts the group's requests.
	 * @return {@code true} for the head of an open group
	 */
	public boolean serving() {
		return this.rank == 0 && this.state == GroupState.OPEN;
	}

}
