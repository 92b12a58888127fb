package org.monsoonvalve.controller.version;

import java.util.Optional;

import org.monsoonvalve.core.connection.EndpointStatus;
import org.monsoonvalve.core.version.GroupTable;
import org.monsoonvalve.core.version.Inventory;

/**
 * What the controller knows of a VM.
 *
 * @author monsoonvalve maintainers
 * @param vm the VM
 * @param status what its endpoint last said, if it answers now
 * @param missingMillis how long it has not answered, in milliseconds, 0 if it answers
 * @param leaving whether it is about to be taken away or out of service
 * @param destroyed whether it no longer exists
 */
public record VmView(Inventory.Vm vm, Optional<EndpointStatus> status, long missingMillis, boolean leaving,
		boolean destroyed) {

	/**
	 * Tells whether the VM can join a group.
	 * @return {@code true} if it answers and stays
	 */
	public boolean usable() {
		return this.status.isPresent() && !this.leaving && !this.destroyed;
	}

	/**
	 * Tells whether the endpoint has carried out a release.
	 * @param release the release
	 * @return {@code true} if it holds no group any more
	 */
	public boolean released(GroupTable.Release release) {
		return this.destroyed || this.status.filter((said) -> said.group().isEmpty()).isPresent();
	}

	/**
	 * Tells whether the endpoint has a model's weights in memory.
	 * @param modelName the model and version
	 * @return {@code true} if joining a group takes no load from the weight store
	 */
	public boolean holds(String modelName) {
		return this.status.filter((said) -> said.model().equals(modelName)).isPresent();
	}

	/**
	 * Tells whether the endpoint has been ordered into a group as it should be.
	 * @param group the group
	 * @return {@code true} if no order is needed
	 */
	public boolean follows(GroupTable.Group group) {
		return this.status.filter((said) -> said.group().equals(group.id()) && said.fence() == group.fence())
			.isPresent();
	}

}
