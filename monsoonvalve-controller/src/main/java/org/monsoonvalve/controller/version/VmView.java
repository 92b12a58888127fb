package org.monsoonvalve.controller.version;

import java.util.Optional;

import org.monsoonvalve.core.connection.EndpointStatus;
import org.monsoonvalve.core.version.GroupTable;
import org.monsoonvalve.core.version.Inventory;

/**
 * The state of a VM as last observed by the controller.
 *
 * @author monsoonvalve maintainers
 * @param vm the VM
 * @param status the last status of its endpoint, empty if the endpoint does not respond
 * now
 * @param missingMillis the time since its last response, or since the first poll if it
 * has never responded, in milliseconds, 0 if it responds now
 * @param leaving whether it is out of service or due to be removed
 * @param destroyed whether it no longer exists
 */
public record VmView(Inventory.Vm vm, Optional<EndpointStatus> status, long missingMillis, boolean leaving,
		boolean destroyed) {

	/**
	 * Returns whether the VM can join a group.
	 * @return {@code true} if it responds and is neither leaving nor destroyed
	 */
	public boolean usable() {
		return this.status.isPresent() && !this.leaving && !this.destroyed;
	}

	/**
	 * Returns whether the endpoint has carried out a release.
	 * @param release the release
	 * @return {@code true} if the endpoint reports no group or the VM is destroyed
	 */
	public boolean released(GroupTable.Release release) {
		return this.destroyed || this.status.filter((reported) -> reported.group().isEmpty()).isPresent();
	}

	/**
	 * Returns whether the endpoint has loaded a model's weights.
	 * @param modelName the model and version
	 * @return {@code true} if the VM can join a group without loading from the weight
	 * store
	 */
	public boolean hasLoaded(String modelName) {
		return this.status.filter((reported) -> reported.model().equals(modelName)).isPresent();
	}

	/**
	 * Returns whether the endpoint reports the identifier and fencing token of a group.
	 * @param group the group
	 * @return {@code true} if it needs no further order to join the group
	 */
	public boolean isAssignedTo(GroupTable.Group group) {
		return this.status
			.filter((reported) -> reported.group().equals(group.id()) && reported.fence() == group.fence())
			.isPresent();
	}

}
