package org.monsoonvalve.gateway.version;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Which VMs of an availability zone are in which groups, and which are free.
 *
 * @author monsoonvalve maintainers
 * @param snapshot what is known of the zone
 * @param groups the groups planned
 */
record Allocation(ReplicaPlanner.ZoneSnapshot snapshot, ZoneGroups groups) {

	/** Stands in for a share of zero. */
	private static final double LEAST_SHARE = 1e-6;

	/**
	 * Counts the VMs that serve each model.
	 * @param elsewhere the VMs of other zones that count, too, by model
	 * @return the VMs by model
	 */
	Map<String, Integer> vmsByModel(Map<String, Integer> elsewhere) {
		Map<String, Integer> vms = new HashMap<>(elsewhere);
		this.groups.vmsByModel((head) -> this.snapshot.record(head).isPresent())
			.forEach((model, count) -> vms.merge(model, count, Integer::sum));
		return vms;
	}

	/**
	 * Lists the models by the VMs of this zone for their share that they would have with
	 * one more group, the fewest first. Each zone carries all models, so that it can
	 * serve alone.
	 * @return the models
	 */
	List<ModelProfile> byNeed() {
		return byNeed(vmsByModel(Map.of()));
	}

	/**
	 * Lists the models by the VMs for their share that they would have with one more
	 * group, the fewest first.
	 * @param vms the VMs that count, by model
	 * @return the models
	 */
	List<ModelProfile> byNeed(Map<String, Integer> vms) {
		return this.snapshot.engine()
			.models()
			.stream()
			.sorted(Comparator
				.<ModelProfile>comparingDouble(
						(model) -> perShare(model.name(), vms.getOrDefault(model.name(), 0) + model.groupSize()))
				.thenComparing(ModelProfile::groupSize, Comparator.reverseOrder()))
			.toList();
	}

	/**
	 * Relates VMs to a model's share of the work.
	 * @param model the model's name
	 * @param vms the VMs
	 * @return the VMs for its share
	 */
	double perShare(String model, int vms) {
		double share = this.snapshot.engine().model(model).map(ModelProfile::share).orElse(0.0);
		return vms / Math.max(LEAST_SHARE, share);
	}

	/**
	 * Lists the VMs that may join a group.
	 * @param wanted a further condition
	 * @return the VMs by fabric domain
	 */
	Map<String, List<EndpointRecord>> freeByDomain(Predicate<EndpointRecord> wanted) {
		Set<ReplicaGroup.MemberVm> taken = new HashSet<>();
		this.groups.groups().forEach((group) -> taken.addAll(group.members()));
		Set<Long> serving = servingEpochs();
		return this.snapshot.endpoints()
			.stream()
			.filter((record) -> !record.draining() && !taken.contains(ReplicaGroup.MemberVm.of(record)))
			.filter((record) -> record.membership().filter((place) -> serving.contains(place.epoch())).isEmpty())
			.filter(wanted)
			.sorted(Comparator.comparing(EndpointRecord::id))
			.collect(Collectors.groupingBy(EndpointRecord::domain, TreeMap::new, Collectors.toList()));
	}

	// Epochs of groups whose heads may be running requests, planned or not.
	private Set<Long> servingEpochs() {
		return this.snapshot.endpoints()
			.stream()
			.flatMap((record) -> record.membership().stream())
			.filter((place) -> place.rank() == 0 && place.state().active())
			.map(GroupMembership::epoch)
			.collect(Collectors.toSet());
	}

	/**
	 * Finds the group of a VM.
	 * @param record the VM
	 * @return the group, empty if the VM is in none
	 */
	Optional<ReplicaGroup> groupOf(EndpointRecord record) {
		return this.groups.groupOf(ReplicaGroup.MemberVm.of(record));
	}

	/**
	 * Lists the groups that have members in a domain.
	 * @param domain the fabric domain
	 * @return the groups
	 */
	List<ReplicaGroup> groupsIn(String domain) {
		return this.groups.groups()
			.stream()
			.filter((group) -> group.members()
				.stream()
				.anyMatch((member) -> this.snapshot.record(member)
					.filter((record) -> record.domain().equals(domain))
					.isPresent()))
			.toList();
	}

	/**
	 * Counts the members of a group that could join a group of a model without a load.
	 * @param group the group
	 * @param model the model's name
	 * @return the members
	 */
	long holders(ReplicaGroup group, String model) {
		return group.members()
			.stream()
			.filter((member) -> this.snapshot.record(member).filter((record) -> record.hasWeights(model)).isPresent())
			.count();
	}

}
