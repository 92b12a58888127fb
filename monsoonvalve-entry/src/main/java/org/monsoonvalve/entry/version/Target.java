package org.monsoonvalve.entry.version;

import java.util.List;
import java.util.Optional;

import org.monsoonvalve.core.version.GroupTable;
import org.monsoonvalve.core.version.Inventory;

/**
 * Something that a request can be sent to: a replica group or a plain service endpoint.
 *
 * @author monsoonvalve maintainers
 * @param id the group's name or the VM's
 * @param pool the pool that it serves
 * @param members its VMs, the one that takes requests first
 * @param group the replica group, for pools of model engines
 */
public record Target(String id, Inventory.Pool pool, List<Inventory.Vm> members, Optional<GroupTable.Group> group) {

	/**
	 * Creates the target of a plain service endpoint.
	 * @param pool the pool
	 * @param vm the endpoint's VM
	 * @return the target
	 */
	public static Target of(Inventory.Pool pool, Inventory.Vm vm) {
		return new Target(vm.id(), pool, List.of(vm), Optional.empty());
	}

	/**
	 * Creates the target of a replica group.
	 * @param pool the pool
	 * @param group the group
	 * @param members its VMs, the leader first
	 * @return the target
	 */
	public static Target of(Inventory.Pool pool, GroupTable.Group group, List<Inventory.Vm> members) {
		return new Target(group.id(), pool, List.copyOf(members), Optional.of(group));
	}

	/**
	 * Returns the VM that takes requests.
	 * @return the leader
	 */
	public Inventory.Vm leader() {
		return this.members.get(0);
	}

	/**
	 * Returns the members that requests are not sent to.
	 * @return the members behind the leader
	 */
	public List<Inventory.Vm> followers() {
		return this.members.subList(1, this.members.size());
	}

	/**
	 * Returns where the target is.
	 * @return the availability zone of the leader
	 */
	public String zone() {
		return leader().availabilityZone();
	}

}
