package org.monsoonvalve.core.version;

import java.util.List;

import org.monsoonvalve.core.connection.Address;

/**
 * The operators' description of what exists.
 *
 * @author monsoonvalve maintainers
 * @param availabilityZones the availability zones
 * @param vms the VMs that carry endpoints
 * @param pools the pools and what each carries
 */
public record Inventory(List<Zone> availabilityZones, List<Vm> vms, List<Pool> pools) {

	/**
	 * Replaces missing lists by empty ones.
	 * @param availabilityZones the availability zones
	 * @param vms the VMs that carry endpoints
	 * @param pools the pools and what each carries
	 */
	public Inventory {
		availabilityZones = copy(availabilityZones);
		vms = copy(vms);
		pools = copy(pools);
	}

	/**
	 * Returns an inventory without anything.
	 * @return the empty inventory
	 */
	public static Inventory empty() {
		return new Inventory(List.of(), List.of(), List.of());
	}

	private static <T> List<T> copy(List<T> list) {
		return (list != null) ? List.copyOf(list) : List.of();
	}

	/**
	 * An availability zone.
	 *
	 * @param id its name
	 * @param region the region that it belongs to
	 * @param coldReserve the entry for which one cold-start slot of each endpoint is
	 * reserved, so that endpoints warm up while the platform is down; none if not given
	 */
	public record Zone(String id, String region, String coldReserve) {

		/**
		 * Creates an availability zone without a reserved cold-start slot.
		 * @param id its name
		 * @param region the region that it belongs to
		 * @return the availability zone
		 */
		public static Zone of(String id, String region) {
			return new Zone(id, region, null);
		}

	}

	/**
	 * A VM that carries an endpoint.
	 *
	 * @param id its name
	 * @param availabilityZone the availability zone that it stands in
	 * @param fabricDomain the fabric domain that it belongs to
	 * @param pool the pool that owns it
	 * @param address where its endpoint listens
	 * @param accelerators how many accelerators it has
	 * @param honoursFencing whether its endpoint refuses orders with an old fencing
	 * number
	 */
	public record Vm(String id, String availabilityZone, String fabricDomain, String pool, Address address,
			int accelerators, boolean honoursFencing) {

	}

	/**
	 * A pool of endpoints.
	 *
	 * @param id its name
	 * @param kind what its endpoints are
	 * @param model the model that it carries, for pools of model engines
	 * @param version the model's version
	 * @param vmsPerGroup how many VMs one replica group spans, 1 for plain services
	 * @param coldSlots how many requests an endpoint that has just started takes at once,
	 * summed over all entries
	 * @param maxConcurrent how many requests a warm endpoint or group takes at once
	 * @param maxLoads how many VMs of an availability zone load weights at once, 0 for
	 * any number
	 */
	public record Pool(String id, PoolKind kind, String model, String version, int vmsPerGroup, int coldSlots,
			int maxConcurrent, int maxLoads) {

		/**
		 * Names the model and version as engines do.
		 * @return the name
		 */
		public String modelName() {
			return this.model + "@" + this.version;
		}

	}

}
