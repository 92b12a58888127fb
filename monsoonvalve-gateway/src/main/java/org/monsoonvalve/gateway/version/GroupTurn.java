package org.monsoonvalve.gateway.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A change of VMs from the groups of one model to another model that has too few for its
 * demand. The VMs load the other model's weights while they still serve, so that they
 * serve nobody only while they finish their requests and join the new group.
 *
 * @author monsoonvalve maintainers
 * @param recipient the model that gets the VMs
 * @param donors the groups of one other model that close
 * @param vms the members of these groups and the domain's VMs without a group
 * @param gainedVms the number of VMs that form groups of the recipient
 */
record GroupTurn(ModelProfile recipient, List<ReplicaGroup> donors, List<EndpointRecord> vms, int gainedVms) {

	/**
	 * Ratio of the VMs per need of the donor to those of the recipient from which on a
	 * turn pays for itself. Below it, the gain for as long as a division usually lasts,
	 * about a minute, is smaller than the loss while a group closes and another forms.
	 */
	private static final double MIN_ADVANTAGE = 1.25;

	/**
	 * The same before a whole wave of demand has been seen. A division that is off by
	 * this factor leaves callers without a place, and a single turn corrects a part of
	 * it.
	 */
	private static final double EARLY_MIN_ADVANTAGE = 2;

	/** Part of a zone's VMs that may be in groups that don't serve yet. */
	private static final double MAX_FORMING_PART = 1.0 / 8;

	/**
	 * Finds the turn that is due, if any. There is one turn at a time in a zone, and none
	 * while many groups are forming anyway.
	 * @param allocation the groups of the zone
	 * @return the turn that needs the fewest loads and of these closes the fewest VMs and
	 * requests in progress, empty if none is allowed or pays for itself
	 */
	static Optional<GroupTurn> next(Allocation allocation) {
		ReplicaPlanner.ZoneSnapshot snapshot = allocation.snapshot();
		if (!snapshot.division().byDemand() || !snapshot.division().mayTurnAny() || isZoneTurning(allocation)) {
			return Optional.empty();
		}
		List<ModelProfile> models = allocation.modelsByVmsPerShare();
		return models.stream()
			.filter(allocation::isExposed)
			.flatMap((recipient) -> cheapest(allocation, recipient, true).stream())
			.findFirst()
			.or(() -> models.stream()
				.limit(1)
				.filter((recipient) -> isShort(allocation, recipient))
				.flatMap((recipient) -> cheapest(allocation, recipient, false).stream())
				.findFirst());
	}

	private static Optional<GroupTurn> cheapest(Allocation allocation, ModelProfile recipient, boolean exposed) {
		ReplicaPlanner.ZoneSnapshot snapshot = allocation.snapshot();
		Map<String, List<EndpointRecord>> free = allocation.freeVmsByDomain(snapshot.busy().negate());
		return snapshot.endpoints()
			.stream()
			.map(EndpointRecord::domain)
			.distinct()
			.sorted()
			.filter((domain) -> !exposed || allocation.lacksGroup(recipient, domain))
			.flatMap((domain) -> inDomain(allocation, recipient, domain, free.getOrDefault(domain, List.of())))
			.filter((turn) -> turn.leavesDonorSafe(allocation)
					&& (turn.pays(allocation) || (exposed && turn.isAffordable(allocation))))
			.min(Comparator.comparingLong((GroupTurn turn) -> turn.missingWeights(allocation))
				.thenComparingInt(GroupTurn::donorVms)
				.thenComparingInt((turn) -> turn.requestsInProgress(allocation)));
	}

	private static boolean isZoneTurning(Allocation allocation) {
		List<ReplicaGroup> groups = allocation.groups().groups();
		int formingVms = groups.stream()
			.filter((group) -> !allocation.serves(group))
			.mapToInt((group) -> group.members().size())
			.sum();
		return groups.stream().anyMatch(ReplicaGroup::preempted)
				|| formingVms > MAX_FORMING_PART * allocation.snapshot().endpoints().size();
	}

	// One more group brings the model closer to its part of the zone's VMs.
	private static boolean isShort(Allocation allocation, ModelProfile recipient) {
		ReplicaPlanner.ZoneSnapshot snapshot = allocation.snapshot();
		double vms = allocation.vmsByModel(Map.of()).getOrDefault(recipient.name(), 0);
		double part = snapshot.division().share(recipient.name()).orElse(0);
		return vms + recipient.groupSize() / 2.0 <= part * snapshot.endpoints().size();
	}

	private static Stream<GroupTurn> inDomain(Allocation allocation, ModelProfile recipient, String domain,
			List<EndpointRecord> free) {
		List<ReplicaGroup> serving = allocation.groupsInDomain(domain).stream().filter(allocation::serves).toList();
		return allocation.snapshot()
			.engine()
			.models()
			.stream()
			.filter((model) -> !model.name().equals(recipient.name()))
			.flatMap((model) -> ofDonor(allocation, recipient, free,
					serving.stream().filter((group) -> group.model().equals(model.name())).toList())
				.stream());
	}

	// Takes as few groups as complete one group of the recipient.
	private static Optional<GroupTurn> ofDonor(Allocation allocation, ModelProfile recipient, List<EndpointRecord> free,
			List<ReplicaGroup> groups) {
		List<ReplicaGroup> cheapestFirst = groups.stream()
			.sorted(Comparator
				.comparingLong((ReplicaGroup group) -> -allocation
					.countWithWeightsOrLoading(allocation.presentMembers(group), recipient.name()))
				.thenComparingInt(allocation.snapshot().division()::requestsInProgress))
			.toList();
		List<ReplicaGroup> donors = new ArrayList<>();
		List<EndpointRecord> vms = new ArrayList<>(free);
		for (ReplicaGroup group : cheapestFirst) {
			donors.add(group);
			vms.addAll(allocation.presentMembers(group));
			if (vms.size() >= recipient.groupSize()) {
				return Optional.of(new GroupTurn(recipient, List.copyOf(donors), List.copyOf(vms),
						vms.size() - vms.size() % recipient.groupSize()));
			}
		}
		return Optional.empty();
	}

	private String donorModel() {
		return this.donors.get(0).model();
	}

	private int donorVms() {
		return this.donors.stream().mapToInt((group) -> group.members().size()).sum();
	}

	private int requestsInProgress(Allocation allocation) {
		return this.donors.stream().mapToInt(allocation.snapshot().division()::requestsInProgress).sum();
	}

	// The donor must have clearly more VMs per need before, and still at least as many
	// afterwards, so that no turn back can follow unless the need changes.
	private boolean pays(Allocation allocation) {
		Map<String, Integer> vmsByModel = allocation.vmsByModel(Map.of());
		int donorBefore = vmsByModel.getOrDefault(donorModel(), 0);
		int recipientBefore = vmsByModel.getOrDefault(this.recipient.name(), 0);
		double minAdvantage = allocation.snapshot().division().mayTurn() ? MIN_ADVANTAGE : EARLY_MIN_ADVANTAGE;
		return allocation.vmsPerShare(donorModel(), donorBefore) >= minAdvantage
				* allocation.vmsPerShare(this.recipient.name(), recipientBefore)
				&& allocation.vmsPerShare(donorModel(), donorBefore - donorVms()) >= allocation
					.vmsPerShare(this.recipient.name(), recipientBefore + this.gainedVms);
	}

	// The minimum of a model comes before the proportion, unless that makes the donor the
	// shorter one.
	private boolean isAffordable(Allocation allocation) {
		Map<String, Integer> vmsByModel = allocation.vmsByModel(Map.of());
		return allocation.vmsPerShare(donorModel(), vmsByModel.getOrDefault(donorModel(), 0) - donorVms()) >= allocation
			.vmsPerShare(this.recipient.name(), vmsByModel.getOrDefault(this.recipient.name(), 0));
	}

	private boolean leavesDonorSafe(Allocation allocation) {
		List<ReplicaGroup> groups = allocation.groupsOf(donorModel()).stream().filter(allocation::serves).toList();
		long before = allocation.countDomains(groups);
		long after = allocation.countDomains(groups.stream().filter((group) -> !this.donors.contains(group)).toList());
		return after >= Math.min(Allocation.MIN_DOMAINS, before) && after > 0;
	}

	/**
	 * Counts the VMs that neither have the recipient's weights nor load them, of those
	 * that are to form its groups.
	 * @param allocation the groups of the zone
	 * @return the number of loads that have to begin
	 */
	long missingWeights(Allocation allocation) {
		return Math.max(0, this.gainedVms - allocation.countWithWeightsOrLoading(this.vms, this.recipient.name()));
	}

	/**
	 * Tells whether enough VMs have the weights, so that the donors can close now.
	 * @return {@code true} if no VM has to wait for a load
	 */
	boolean ready() {
		return this.vms.stream().filter((record) -> record.hasWeights(this.recipient.name())).count() >= this.gainedVms;
	}

	/**
	 * Returns a copy of a zone's groups in which the recipient preempts the donors.
	 * @param groups the groups
	 * @return the changed copy
	 */
	ZoneGroups applyTo(ZoneGroups groups) {
		ZoneGroups changed = groups;
		for (ReplicaGroup donor : this.donors) {
			changed = changed.withPreempted(donor.name(), this.recipient.name());
		}
		return changed;
	}

}
