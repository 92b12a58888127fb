package org.monsoonvalve.core.version;

import java.util.List;
import java.util.Optional;

import org.monsoonvalve.core.process.Codec;

/**
 * The replica groups of one availability zone, written as one value, so that no VM can be
 * in two of them.
 *
 * @author monsoonvalve maintainers
 * @param zone the availability zone
 * @param lastFence the highest fencing number given so far
 * @param groups the groups
 * @param releasing VMs that left a group and have not yet confirmed that they unloaded
 */
public record GroupTable(String zone, long lastFence, List<Group> groups, List<Release> releasing) {

	/**
	 * Copies the lists and checks that no VM stands in two groups.
	 * @param zone the availability zone
	 * @param lastFence the highest fencing number given so far
	 * @param groups the groups
	 * @param releasing VMs that left a group and have not yet confirmed that they
	 * unloaded
	 * @throws IllegalArgumentException if a VM stands in two groups
	 */
	public GroupTable {
		groups = List.copyOf(groups);
		releasing = List.copyOf(releasing);
		List<String> members = groups.stream().flatMap((group) -> group.members().stream()).toList();
		if (members.stream().distinct().count() != members.size()) {
			throw new IllegalArgumentException("a VM stands in two groups of " + zone);
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
	 * Decodes a table.
	 * @param document the stored document
	 * @return the table
	 */
	public static GroupTable decode(VersionedDocument document) {
		return Codec.JSON.decode(document.envelope().text().getBytes(java.nio.charset.StandardCharsets.UTF_8),
				GroupTable.class);
	}

	/**
	 * Finds the group of a VM.
	 * @param vm the VM's name
	 * @return the group, if the VM is in one
	 */
	public Optional<Group> groupOf(String vm) {
		return this.groups.stream().filter((group) -> group.members().contains(vm)).findFirst();
	}

	/**
	 * Tells whether a VM is neither in a group nor on its way out of one.
	 * @param vm the VM's name
	 * @return {@code true} if the VM may join a group
	 */
	public boolean free(String vm) {
		return groupOf(vm).isEmpty() && this.releasing.stream().noneMatch((release) -> release.vm().equals(vm));
	}

	/**
	 * A replica group.
	 *
	 * @param id its name
	 * @param pool the pool that it serves
	 * @param model the model that it carries
	 * @param version the model's version
	 * @param fence the fencing number of its orders
	 * @param members its VMs, the leader first
	 */
	public record Group(String id, String pool, String model, String version, long fence, List<String> members) {

		/**
		 * Copies the members.
		 * @param id its name
		 * @param pool the pool that it serves
		 * @param model the model that it carries
		 * @param version the model's version
		 * @param fence the fencing number of its orders
		 * @param members its VMs, the leader first
		 */
		public Group {
			members = List.copyOf(members);
		}

		/**
		 * Names the model and version as engines do.
		 * @return the name
		 */
		public String modelName() {
			return this.model + "@" + this.version;
		}

		/**
		 * Returns the member that takes requests.
		 * @return the first member
		 */
		public String leader() {
			return this.members.get(0);
		}

	}

	/**
	 * A VM on its way out of a group.
	 *
	 * @param vm the VM's name
	 * @param fence the fencing number of the unload order
	 * @param sinceMillis when it left the group, in milliseconds since the epoch
	 */
	public record Release(String vm, long fence, long sinceMillis) {

	}

}
