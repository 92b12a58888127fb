package org.monsoonvalve.gateway.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Plans the replica groups of one availability zone and the orders that carry them out.
 * Groups stay within a fabric domain and are formed from VMs that have the weights; other
 * free VMs load weights in advance. A VM joins another group only after the head of its
 * previous group has stopped serving.
 *
 * @author monsoonvalve maintainers
 */
public final class ReplicaPlanner {

	private final ZoneSnapshot snapshot;

	private final List<Order> orders = new ArrayList<>();

	private final List<String> removed = new ArrayList<>();

	private ZoneGroups groups;

	private ReplicaPlanner(ZoneSnapshot snapshot) {
		this.snapshot = snapshot;
		this.groups = snapshot.groups();
	}

	/**
	 * Computes the groups and the orders that follow from the present state of the zone.
	 * @param snapshot the state of the zone
	 * @return the groups to store and the orders to send now
	 */
	public static Plan plan(ZoneSnapshot snapshot) {
		ReplicaPlanner planner = new ReplicaPlanner(snapshot);
		planner.reconcileGroups();
		planner.formGroups();
		planner.preempt();
		planner.groups = planner.groups.withHeadAddresses(snapshot::record);
		planner.orders.addAll(WeightStaging.orders(planner.allocation()));
		return new Plan(planner.groups, planner.orders, planner.removed);
	}

	private Allocation allocation() {
		return new Allocation(this.snapshot, this.groups);
	}

	private void reconcileGroups() {
		for (ReplicaGroup group : this.snapshot.groups().groups()) {
			List<Optional<EndpointRecord>> members = group.members().stream().map(this.snapshot::record).toList();
			boolean complete = members.stream()
				.allMatch((member) -> member.filter((record) -> !record.draining()).isPresent());
			if (group.preempted() && members.get(0).isPresent()) {
				close(group, members.get(0).get(), "preempted by model " + group.successor());
			}
			else if (complete) {
				bringUp(group, members.stream().map(Optional::get).toList());
			}
			else {
				dissolve(group, members.get(0));
			}
		}
	}

	private void bringUp(ReplicaGroup group, List<EndpointRecord> members) {
		EndpointRecord head = members.get(0);
		if (stateIn(group, head).filter((state) -> state == GroupState.BROKEN).isPresent()) {
			removeGroup(group, "its head reports the group as broken");
			return;
		}
		List<EndpointRecord> notJoined = members.stream()
			.filter((member) -> !member.memberOf(group.name(), group.epoch()))
			.toList();
		notJoined.forEach((member) -> activeHeadOf(member).ifPresentOrElse(this::closeReported,
				() -> addOrder(member, GroupOrder.of(GroupOrder.Action.JOIN, group))));
		boolean allReady = notJoined.isEmpty() && members.stream()
			.allMatch((member) -> stateIn(group, member).filter((state) -> state != GroupState.JOINING).isPresent());
		if (allReady && stateIn(group, head).filter((state) -> state == GroupState.READY).isPresent()) {
			addOrder(head, GroupOrder.of(GroupOrder.Action.OPEN, group));
		}
	}

	// Finds the head that serves the group that a VM reports, whether planned or not.
	private Optional<EndpointRecord> activeHeadOf(EndpointRecord member) {
		return member.membership()
			.flatMap((reported) -> this.snapshot.endpoints()
				.stream()
				.filter((record) -> record.memberOf(reported.group(), reported.epoch()))
				.filter((record) -> record.membership().filter((own) -> own.rank() == 0).isPresent())
				.filter((record) -> record.membership().get().state().active())
				.findFirst());
	}

	private void closeReported(EndpointRecord head) {
		head.membership()
			.filter(GroupMembership::serving)
			.ifPresent((serving) -> addOrder(head,
					new GroupOrder(GroupOrder.Action.CLOSE, serving.group(), serving.epoch(), "", List.of())));
	}

	private void dissolve(ReplicaGroup group, Optional<EndpointRecord> headRecord) {
		if (headRecord.isEmpty()) {
			HeadLiveness liveness = this.snapshot.liveness(group);
			if (liveness.releasesMembers()) {
				removeGroup(group, liveness.reason());
			}
			return;
		}
		close(group, headRecord.get(), "a member is gone or draining");
	}

	// Closes a group; it stays planned while it may be running requests.
	private void close(ReplicaGroup group, EndpointRecord head, String reason) {
		Optional<GroupState> state = stateIn(group, head);
		boolean memberLost = group.members().stream().anyMatch((member) -> this.snapshot.record(member).isEmpty());
		if (memberLost && state.filter(GroupState::active).isPresent()) {
			// Requests make no progress in a group that lacks a member; they can continue
			// only elsewhere.
			addOrder(head, GroupOrder.of(GroupOrder.Action.EVICT, group));
		}
		else if (state.filter((current) -> current == GroupState.OPEN).isPresent()) {
			addOrder(head, GroupOrder.of(GroupOrder.Action.CLOSE, group));
		}
		else if (state.filter(GroupState::active).isEmpty() && !this.snapshot.busy().test(head)) {
			removeGroup(group, reason);
		}
	}

	private static Optional<GroupState> stateIn(ReplicaGroup group, EndpointRecord record) {
		return record.membership()
			.filter((membership) -> membership.group().equals(group.name()) && membership.epoch() == group.epoch())
			.map(GroupMembership::state);
	}

	private void removeGroup(ReplicaGroup group, String reason) {
		this.groups = this.groups.without(group.name());
		this.removed.add(group.name() + ": " + reason);
	}

	private void addOrder(EndpointRecord endpoint, GroupOrder order) {
		if (!this.snapshot.busy().test(endpoint)) {
			this.orders.add(new Order(endpoint, order));
		}
	}

	private void formGroups() {
		allocation().freeVmsByDomain(this.snapshot.busy().negate()).forEach((domain, free) -> {
			List<EndpointRecord> remaining = new ArrayList<>(free);
			boolean formed = true;
			while (formed) {
				formed = allocation().modelsToForm(domain).stream().anyMatch((model) -> formGroup(model, remaining));
			}
		});
	}

	private boolean formGroup(ModelProfile model, List<EndpointRecord> free) {
		List<EndpointRecord> members = free.stream()
			.filter((record) -> record.hasWeights(model.name()))
			.sorted(Comparator.comparing((record) -> !record.models().contains(model.name())))
			.limit(model.groupSize())
			.toList();
		if (members.size() < model.groupSize()) {
			return false;
		}
		free.removeAll(members);
		this.groups = this.groups.with(this.snapshot.zone(), model.name(),
				members.stream().map(ReplicaGroup.MemberVm::of).toList());
		return true;
	}

	private void preempt() {
		ModelDivision division = this.snapshot.division();
		if (division.byDemand()) {
			GroupTurn.next(allocation())
				.filter(GroupTurn::ready)
				.ifPresent((turn) -> this.groups = turn.applyTo(this.groups));
		}
		else if (division.mayTurn()) {
			preemptForLeastProvisionedModel();
		}
	}

	// Gives the model with the fewest VMs per share the VMs of another model's group to
	// complete a group in the same domain, if the other model still has at least as many
	// VMs per share afterwards.
	private void preemptForLeastProvisionedModel() {
		Allocation allocation = allocation();
		Map<String, Integer> vmsByModel = allocation.vmsByModel(this.snapshot.vmsElsewhere());
		ModelProfile leastProvisioned = allocation.modelsByVmsPerShare(vmsByModel).get(0);
		allocation.freeVmsByDomain((record) -> record.hasWeights(leastProvisioned.name()))
			.entrySet()
			.stream()
			.flatMap((domain) -> findDonor(allocation, vmsByModel, leastProvisioned, domain.getKey(),
					domain.getValue().size())
				.stream())
			.findFirst()
			.ifPresent((donor) -> this.groups = this.groups.withPreempted(donor.name(), leastProvisioned.name()));
	}

	private static Optional<ReplicaGroup> findDonor(Allocation allocation, Map<String, Integer> vmsByModel,
			ModelProfile leastProvisioned, String domain, int freeVms) {
		List<ReplicaGroup> groups = allocation.groupsInDomain(domain);
		if (freeVms >= leastProvisioned.groupSize() || groups.stream().anyMatch(ReplicaGroup::preempted)) {
			return Optional.empty();
		}
		double minVmsPerShare = allocation.vmsPerShare(leastProvisioned.name(),
				vmsByModel.getOrDefault(leastProvisioned.name(), 0) + leastProvisioned.groupSize());
		return groups.stream()
			.filter((group) -> !group.model().equals(leastProvisioned.name()) && allocation
				.countMembersWithWeights(group, leastProvisioned.name()) >= leastProvisioned.groupSize() - freeVms)
			.filter((group) -> allocation.vmsPerShare(group.model(),
					vmsByModel.getOrDefault(group.model(), 0) - group.members().size()) >= minVmsPerShare)
			.min(Comparator
				.comparingLong((group) -> allocation.countMembersWithWeights(group, leastProvisioned.name())));
	}

	/**
	 * The state of a zone that a plan is computed from.
	 *
	 * @param zone the availability zone
	 * @param engine the profile of the engine service
	 * @param endpoints the zone's endpoints of that service
	 * @param groups the groups planned so far
	 * @param liveness the liveness of heads without a record, by group name
	 * @param busy tells whether an order to an endpoint is in progress
	 * @param staging the models that are being loaded, by incarnation
	 * @param loadAllowance the number of weight loads that may start now
	 * @param vmsElsewhere the number of VMs in other zones' groups, by model
	 * @param division how the VMs are to be divided among the models
	 * @param endpointByMember the endpoints by the member that they can be in a group
	 */
	public record ZoneSnapshot(String zone, EngineProfile engine, List<EndpointRecord> endpoints, ZoneGroups groups,
			Map<String, HeadLiveness> liveness, Predicate<EndpointRecord> busy, Map<String, String> staging,
			int loadAllowance, Map<String, Integer> vmsElsewhere, ModelDivision division,
			Map<ReplicaGroup.MemberVm, EndpointRecord> endpointByMember) {

		/**
		 * Creates a snapshot that is indexed by member, with the configured division.
		 * @param zone the availability zone
		 * @param engine the profile of the engine service
		 * @param endpoints the zone's endpoints of that service
		 * @param groups the groups planned so far
		 * @param liveness the liveness of heads without a record, by group name
		 * @param busy tells whether an order to an endpoint is in progress
		 * @param staging the models that are being loaded, by incarnation
		 * @param loadAllowance the number of weight loads that may start now
		 * @param vmsElsewhere the number of VMs in other zones' groups, by model
		 */
		public ZoneSnapshot(String zone, EngineProfile engine, List<EndpointRecord> endpoints, ZoneGroups groups,
				Map<String, HeadLiveness> liveness, Predicate<EndpointRecord> busy, Map<String, String> staging,
				int loadAllowance, Map<String, Integer> vmsElsewhere) {
			this(zone, engine, endpoints, groups, liveness, busy, staging, loadAllowance, vmsElsewhere,
					ModelDivision.configured(),
					endpoints.stream()
						.collect(Collectors.toMap(ReplicaGroup.MemberVm::of, (record) -> record,
								(first, second) -> first)));
		}

		/**
		 * Returns a copy with another division.
		 * @param newDivision how the VMs are to be divided among the models
		 * @return the copy
		 */
		public ZoneSnapshot withDivision(ModelDivision newDivision) {
			return new ZoneSnapshot(this.zone, this.engine, this.endpoints, this.groups, this.liveness, this.busy,
					this.staging, this.loadAllowance, this.vmsElsewhere, newDivision, this.endpointByMember);
		}

		Optional<EndpointRecord> record(ReplicaGroup.MemberVm member) {
			return Optional.ofNullable(this.endpointByMember.get(member));
		}

		private HeadLiveness liveness(ReplicaGroup group) {
			return this.liveness.getOrDefault(group.name(), HeadLiveness.UNKNOWN);
		}

	}

	/**
	 * An order and the endpoint that it is sent to.
	 *
	 * @param endpoint the endpoint
	 * @param order the order
	 */
	public record Order(EndpointRecord endpoint, GroupOrder order) {

	}

	/**
	 * The result of planning.
	 *
	 * @param groups the groups to store
	 * @param orders the orders to send once the groups are stored
	 * @param removed the removed groups, each as its name and the reason
	 */
	public record Plan(ZoneGroups groups, List<Order> orders, List<String> removed) {

		/**
		 * Creates a plan with copies of the lists.
		 */
		public Plan {
			orders = List.copyOf(orders);
			removed = List.copyOf(removed);
		}

		/**
		 * Returns a copy whose groups are the same but count as changed, for a write that
		 * replaces earlier ones.
		 * @return the copy
		 */
		public Plan rewritten() {
			return new Plan(this.groups.rewritten(), this.orders, this.removed);
		}

	}

}
