package org.monsoonvalve.controller.version;

import java.util.List;

import org.monsoonvalve.core.version.GroupTable;

/**
 * The next version of an availability zone's replica groups.
 *
 * @author monsoonvalve maintainers
 * @param table the groups
 * @param changes what changed, for the log
 */
public record GroupPlan(GroupTable table, List<Change> changes) {

	/**
	 * Tells whether the table has to be written.
	 * @return {@code true} if something changed
	 */
	public boolean changed() {
		return !this.changes.isEmpty();
	}

	/**
	 * One change of the groups.
	 *
	 * @param kind what changed
	 * @param name the group's name or the VM's
	 * @param fence the fencing number
	 * @param detail the members or the reason
	 */
	public record Change(ChangeKind kind, String name, long fence, String detail) {

	}

	/**
	 * Kinds of changes.
	 */
	public enum ChangeKind {

		/** A group was formed, or formed anew with other members. */
		FORMED,

		/** A group was dissolved. */
		DISSOLVED,

		/** A VM confirmed that it has left its group. */
		RELEASED

	}

}
