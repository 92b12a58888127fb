package org.monsoonvalve.controller.version;

import java.util.List;

import org.monsoonvalve.core.version.GroupTable;

/**
 * The next version of an availability zone's replica groups.
 *
 * @author monsoonvalve maintainers
 * @param table the group table
 * @param changes the changes from the previous version, for the log
 */
public record GroupPlan(GroupTable table, List<Change> changes) {

	/**
	 * Returns whether the table must be written.
	 * @return {@code true} if the plan contains a change
	 */
	public boolean changed() {
		return !this.changes.isEmpty();
	}

	/**
	 * A change to a group or a released VM.
	 *
	 * @param kind the kind of change
	 * @param name the identifier of the group or VM
	 * @param fence the fencing token of the group or release
	 * @param detail the members of a formed group, otherwise the reason
	 */
	public record Change(ChangeKind kind, String name, long fence, String detail) {

	}

	/**
	 * The kind of a change.
	 */
	public enum ChangeKind {

		/** A group was formed, or re-formed with replacement members. */
		FORMED,

		/** A group was dissolved. */
		DISSOLVED,

		/** A released VM became available to other groups. */
		RELEASED

	}

}
