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
 * The assignment of the VMs of an availability zone to replica groups.
 *
 * @author monsoonvalve maintainers
 * @param snapshot the state of the zone
 * @param groups the planned groups
 */
record Allocation(ReplicaPlanner.ZoneSnapshot snapshot, ZoneGroups groups) {

	/** Domains in which a model needs groups, to outlast the loss of one of them. */
	static final int MIN_DOMAINS = 2;

	/** Replaces a share of zero, which can't be a divisor. */
	private static final double MIN_SHARE = 1e-6;

	/**
	 * Counts the VMs that serve each model.
	 * @param elsewhere the number of VMs in other zones to add, by model
	 * @return the number of VMs by model
	 */
	Map<String, Integer> vmsByModel(Map<String, Integer> elsewhere) {
		Map<String, Integer> vmsByModel = new HashMap<>(elsewhere);
		this.groups.vmsByModel((head) -> this.snapshot.record(head).isPresent())
			.forEach((model, count) -> vmsByModel.merge(model, count, Integer::sum));
		return vmsByModel;
	}

	/**
	 * Lists the models in ascending order of this zone's VMs per share with one more
	 * group. The VMs of other zones don't count, as each zone serves all models to be
	 * able to take over alone.
	 * @return the models
	 */
	List<ModelProfile> modelsByVmsPerShare() {
		return modelsByVmsPerShare(vmsByModel(Map.of()));
	}

	/**
	 * Lists the models in ascending order of the VMs per share that they would have with
	 * one more group; of equal ones, those with larger groups come first.
	 * @param vmsByModel the number of VMs by model
	 * @return the models
	 */
	List<ModelProfile> modelsByVmsPerShare(Map<String, Integer> vmsByModel) {
		return this.snapshot.engine()
			.models()
			.stream()
			.sorted(Comparator.<ModelProfile>comparingDouble(
					(model) -> vmsPerShare(model.name(), vmsByModel.getOrDefault(model.name(), 0) + model.groupSize()))
				.thenComparing(ModelProfile::groupSize, Comparator.reverseOrder()))
			.toList();
	}

	/**
	 * Divides a number of VMs by a model's share of the load.
	 * @param model the model's name
	 * @param vms the number of VMs
	 * @return the VMs per share
	 */
	double vmsPerShare(String model, int vms) {
		double share = this.snapshot.division()
			.share(model)
			.orElseGet(() -> this.snapshot.engine().model(model).map(ModelProfile::share).orElse(0.0));
		return vms / Math.max(MIN_SHARE, share);
	}

	/**
	 * Lists the VMs that may join a group.
	 * @param condition a further condition on the VMs
	 * @return the VMs by fabric domain
	 */
	Map<String, List<EndpointRecord>> freeVmsByDomain(Predicate<EndpointRecord> condition) {
		Set<ReplicaGroup.MemberVm> assigned = new HashSet<>();
		this.groups.groups().forEach((group) -> assigned.addAll(group.members()));
		Set<Long> activeEpochs = activeEpochs();
		return this.snapshot.endpoints()
			.stream()
			.filter((record) -> !record.draining() && !assigned.contains(ReplicaGroup.MemberVm.of(record)))
			.filter((record) -> record.membership()
				.filter((membership) -> activeEpochs.contains(membership.epoch()))
				.isEmpty())
			.filter(condition)
			.sorted(Comparator.comparing(EndpointRecord::id))
			.collect(Collectors.groupingBy(EndpointRecord::domain, TreeMap::new, Collectors.toList()));
	}

	// Includes groups that are no longer planned but whose heads may be running requests.
	private Set<Long> activeEpochs() {
		return this.snapshot.endpoints()
			.stream()
			.flatMap((record) -> record.membership().stream())
			.filter((membership) -> membership.rank() == 0 && membership.state().active())
			.map(GroupMembership::epoch)
			.collect(Collectors.toSet());
	}

	/**
	 * Finds the group of a VM.
	 * @param record the VM's record
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
	List<ReplicaGroup> groupsInDomain(String domain) {
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
	 * Counts the members of a group that can join a group of a model without loading its
	 * weights.
	 * @param group the group
	 * @param model the model's name
	 * @return the number of members
	 */
	long countMembersWithWeights(ReplicaGroup group, String model) {
		return group.members()
			.stream()
			.filter((member) -> this.snapshot.record(member).filter((record) -> record.hasWeights(model)).isPresent())
			.count();
	}

	/**
	 * Lists the models in the order in which groups are formed of a domain's VMs. By
	 * demand, a model that the loss of another domain would leave without a group comes
	 * first.
	 * @param domain the fabric domain
	 * @return the models that may get groups in the domain now
	 */
	List<ModelProfile> modelsToForm(String domain) {
		Comparator<ModelProfile> mostUrgentFirst = Comparator.comparing(
				(model) -> !this.snapshot.division().byDemand() || !isExposed(model) || !lacksGroup(model, domain));
		return modelsByVmsPerShare().stream()
			.filter((model) -> mayForm(model, domain))
			.sorted(mostUrgentFirst)
			.toList();
	}

	/**
	 * Tells whether the loss of a domain would leave a model without a group.
	 * @param model the model
	 * @return {@code true} if its groups are in fewer than two of several domains
	 */
	boolean isExposed(ModelProfile model) {
		long domains = this.snapshot.endpoints().stream().map(EndpointRecord::domain).distinct().count();
		return countDomains(groupsOf(model.name())) < Math.min(MIN_DOMAINS, domains);
	}

	/**
	 * Tells whether a model has no group in a domain.
	 * @param model the model
	 * @param domain the fabric domain
	 * @return {@code true} if none is planned
	 */
	boolean lacksGroup(ModelProfile model, String domain) {
		return groupsInDomain(domain).stream()
			.noneMatch((group) -> group.model().equals(model.name()) && !group.preempted());
	}

	/**
	 * Lists the groups of a model that are not preempted.
	 * @param model the model's name
	 * @return the groups
	 */
	List<ReplicaGroup> groupsOf(String model) {
		return this.groups.groups()
			.stream()
			.filter((group) -> group.model().equals(model) && !group.preempted())
			.toList();
	}

	// While groups of a domain close for another model, the VMs that they free wait for
	// the last of them.
	private boolean mayForm(ModelProfile model, String domain) {
		if (!this.snapshot.engine().timings().batchSensitive()) {
			return true;
		}
		Set<String> successors = groupsInDomain(domain).stream()
			.filter((group) -> group.preempted() && this.snapshot.record(group.head()).isPresent())
			.map(ReplicaGroup::successor)
			.collect(Collectors.toSet());
		return successors.isEmpty() || successors.contains(model.name());
	}

	/**
	 * Tells whether a group accepts requests and has all its members.
	 * @param group the group
	 * @return {@code true} if its head is open and no member is gone or draining
	 */
	boolean serves(ReplicaGroup group) {
		return !group.preempted()
				&& presentMembers(group).stream().filter((record) -> !record.draining()).count() == group.members()
					.size()
				&& this.snapshot.record(group.head())
					.filter((head) -> head.memberOf(group.name(), group.epoch()))
					.flatMap(EndpointRecord::membership)
					.filter(GroupMembership::serving)
					.isPresent();
	}

	/**
	 * Lists the members of a group that have a record.
	 * @param group the group
	 * @return the records
	 */
	List<EndpointRecord> presentMembers(ReplicaGroup group) {
		return group.members().stream().flatMap((member) -> this.snapshot.record(member).stream()).toList();
	}

	/**
	 * Counts the VMs that have the weights of a model or are loading them.
	 * @param vms the VMs
	 * @param model the model's name
	 * @return the number of VMs
	 */
	long countWithWeightsOrLoading(List<EndpointRecord> vms, String model) {
		return vms.stream()
			.filter((record) -> record.hasWeights(model)
					|| model.equals(this.snapshot.staging().get(record.incarnation())))
			.count();
	}

	/**
	 * Counts the domains that groups are in.
	 * @param counted the groups
	 * @return the number of fabric domains
	 */
	long countDomains(List<ReplicaGroup> counted) {
		return counted.stream()
			.flatMap((group) -> presentMembers(group).stream())
			.map(EndpointRecord::domain)
			.distinct()
			.count();
	}

}
