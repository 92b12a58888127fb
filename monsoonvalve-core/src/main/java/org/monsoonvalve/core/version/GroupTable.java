package org.monsoonvalve.core.version;

import java.util.List;
import java.util.Optional;

import org.monsoonvalve.core.process.Codec;

/**
 * The replica groups of one availability zone. They are stored as one value, so that no
 * VM can be a member of two groups.
 *
 * @author monsoonvalve maintainers
 * @param zone the availability zone
 * @param lastFence the highest fencing token assigned so far
 * @param groups the groups
 * @param releasing VMs that left a group and have not yet confirmed that they unloaded
 * its model
 */
public record GroupTable(String zone, long lastFence, List<Group> groups, List<Release> releasing) {

	/**
	 * Copies the lists and checks that no VM is a member of two groups.
	 * @param zone the availability zone
	 * @param lastFence the highest fencing token assigned so far
	 * @param groups the groups
	 * @param releasing VMs that left a group and have not yet confirmed that they
	 * unloaded its model
	 * @throws IllegalArgumentException if a VM is a member of two groups
	 */
	public GroupTable {
		groups = List.copyOf(groups);
		releasing = List.copyOf(releasing);
		List<String> members = groups.stream().flatMap((group) -> group.members().stream()).toList();
		if (members.stream().distinct().count() != members.size()) {
			throw new IllegalArgumentException("a VM is a member of two groups in availability zone " + zone);
		}
	}

	/**
	 * Returns a table without groups.
	 * @param zone the availability zone
	 * @return the table
	 */
	public static GroupTable empty(String zone) {
		return new GroupTable(zone, 0, List.of(), List.of());
	}

	/**
	 * Decodes the table that a stored document contains.
	 * @param document the stored document
	 * @return the table
	 */
	public static GroupTable decode(VersionedDocument document) {
		return Codec.JSON.decode(document.envelope().text().getBytes(java.nio.charset.StandardCharsets.UTF_8),
				GroupTable.class);
	}

	/**
	 * Finds the group that a VM belongs to.
	 * @param vm the VM's name
	 * @return the group, if the VM is a member of one
	 */
	public Optional<Group> groupOf(String vm) {
		return this.groups.stream().filter((group) -> group.members().contains(vm)).findFirst();
	}

	/**
	 * Returns whether a VM neither belongs to a group nor is being released from one.
	 * @param vm the VM's name
	 * @return {@code true} if the VM may join a group
	 */
	public boolean free(String vm) {
		return groupOf(vm).isEmpty() && this.releasing.stream().noneMatch((release) -> release.vm().equals(vm));
	}

	/**
	 * A replica group: VMs that together serve one version of a model.
	 *
	 * @param id the group's name
	 * @param pool the pool that the group belongs to
	 * @param model the model that the group serves
	 * @param version the model's version
	 * @param fence the fencing token of orders to the group; engines that honour fencing
	 * reject lower tokens
	 * @param members the names of the member VMs, the leader first
	 */
	public record Group(String id, String pool, String model, String version, long fence, List<String> members) {

		/**
		 * Copies the members.
		 * @param id the group's name
		 * @param pool the pool that the group belongs to
		 * @param model the model that the group serves
		 * @param version the model's version
		 * @param fence the fencing token of orders to the group
		 * @param members the names of the member VMs, the leader first
		 */
		public Group {
			members = List.copyOf(members);
		}

		/**
		 * Returns the name by which engines identify this version of the model.
		 * @return the model and version, in the form {@code model@version}
		 */
		public String modelName() {
			return this.model + "@" + this.version;
		}

		/**
		 * Returns the member that receives the group's requests.
		 * @return the name of the first member
		 */
		public String leader() {
			return this.members.get(0);
		}

	}

	/**
	 * A VM that left a group and has not yet confirmed that it unloaded the model.
	 *
	 * @param vm the VM's name
	 * @param fence the fencing token of the unload order
	 * @param sinceMillis when the VM left the group, in milliseconds since the epoch
	 */
	public record Release(String vm, long fence, long sinceMillis) {

	}

}
