package org.monsoonvalve.core.version;

import java.util.List;

import org.monsoonvalve.core.connection.Address;

/**
 * The operators' inventory of availability zones, VMs and pools.
 *
 * @author monsoonvalve maintainers
 * @param availabilityZones the availability zones
 * @param vms the VMs that host endpoints
 * @param pools the pools and the service or model of each
 */
public record Inventory(List<Zone> availabilityZones, List<Vm> vms, List<Pool> pools) {

	/**
	 * Copies the lists and replaces missing ones by empty ones.
	 * @param availabilityZones the availability zones
	 * @param vms the VMs that host endpoints
	 * @param pools the pools and the service or model of each
	 */
	public Inventory {
		availabilityZones = copy(availabilityZones);
		vms = copy(vms);
		pools = copy(pools);
	}

	/**
	 * Returns an inventory without entries.
	 * @return the empty inventory
	 */
	public static Inventory empty() {
		return new Inventory(List.of(), List.of(), List.of());
	}

	private static <T> List<T> copy(List<T> list) {
		return (list != null) ? List.copyOf(list) : List.of();
	}

	/**
	 * An availability zone and the entry process that may warm up its endpoints without
	 * the platform.
	 *
	 * @param id the availability zone's name
	 * @param region the region that the availability zone belongs to
	 * @param coldReserve the name of the entry process for which one cold-start slot of
	 * each endpoint is reserved, so that endpoints warm up while the platform is down;
	 * {@code null} for no reservation
	 */
	public record Zone(String id, String region, String coldReserve) {

		/**
		 * Creates an availability zone that reserves no cold-start slots.
		 * @param id the availability zone's name
		 * @param region the region that the availability zone belongs to
		 * @return the availability zone
		 */
		public static Zone of(String id, String region) {
			return new Zone(id, region, null);
		}

	}

	/**
	 * A VM that hosts an endpoint.
	 *
	 * @param id the VM's name
	 * @param availabilityZone the availability zone that the VM runs in
	 * @param fabricDomain the fabric domain that the VM belongs to
	 * @param pool the pool that owns the VM
	 * @param address the address on which the endpoint listens
	 * @param accelerators the number of accelerators in the VM
	 * @param honoursFencing whether the endpoint rejects orders with an outdated fencing
	 * token
	 */
	public record Vm(String id, String availabilityZone, String fabricDomain, String pool, Address address,
			int accelerators, boolean honoursFencing) {

	}

	/**
	 * A pool of VMs that serve the same model or plain service, and their limits.
	 *
	 * @param id the pool's name
	 * @param kind the kind of its endpoints
	 * @param model the model that the pool serves, for pools of model engines
	 * @param version the model's version
	 * @param vmsPerGroup the number of VMs in a replica group, 1 for plain services
	 * @param coldSlots the number of concurrent requests that an endpoint accepts just
	 * after its start, summed over all entry processes
	 * @param maxConcurrent the number of concurrent requests that a warm endpoint or
	 * group accepts
	 * @param maxLoads the number of VMs in an availability zone that load weights
	 * concurrently, 0 for no limit
	 */
	public record Pool(String id, PoolKind kind, String model, String version, int vmsPerGroup, int coldSlots,
			int maxConcurrent, int maxLoads) {

		/**
		 * Returns the name by which engines identify this version of the model.
		 * @return the model and version, in the form {@code model@version}
		 */
		public String modelName() {
			return this.model + "@" + this.version;
		}

	}

}
