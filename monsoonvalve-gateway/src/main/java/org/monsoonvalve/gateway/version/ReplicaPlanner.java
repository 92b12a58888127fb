package org.monsoonvalve.gateway.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides the replica groups of one availability zone and the orders that lead there.
 * Groups stay inside a fabric domain and are formed of VMs whose hosts hold the weights;
 * other free VMs load weights ahead of their use. A VM goes to another group only when
 * the head of its old one serves no more.
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
	 * Plans the next step.
	 * @param snapshot what is known
	 * @return the groups wanted and the orders to give now
	 */
	public static Plan plan(ZoneSnapshot snapshot) {
		ReplicaPlanner planner = new ReplicaPlanner(snapshot);
		planner.reviewGroups();
		planner.formGroups();
		planner.reassign();
		planner.orders.addAll(WeightStaging.orders(planner.allocation()));
		return new Plan(planner.groups, planner.orders, planner.removed);
	}

	private Allocation allocation() {
		return new Allocation(this.snapshot, this.groups);
	}

	private void reviewGroups() {
		for (ReplicaGroup group : this.snapshot.groups().groups()) {
			List<Optional<EndpointRecord>> members = group.members().stream().map(this.snapshot::record).toList();
			boolean whole = members.stream()
				.allMatch((member) -> member.filter((record) -> !record.draining()).isPresent());
			if (group.preempted() && members.get(0).isPresent()) {
				close(group, members.get(0).get(), "its VMs go to " + group.successor());
			}
			else if (whole) {
				advance(group, members.stream().map(Optional::get).toList());
			}
			else {
				dissolve(group, members.get(0));
			}
		}
	}

	private void advance(ReplicaGroup group, List<EndpointRecord> members) {
		EndpointRecord head = members.get(0);
		if (stateIn(group, head).filter((state) -> state == GroupState.BROKEN).isPresent()) {
			remove(group, "its head is broken");
			return;
		}
		List<EndpointRecord> outside = members.stream()
			.filter((member) -> !member.memberOf(group.name(), group.epoch()))
			.toList();
		outside.forEach((member) -> order(member, GroupOrder.of(GroupOrder.Action.JOIN, group)));
		boolean allReady = outside.isEmpty() && members.stream()
			.allMatch((member) -> stateIn(group, member).filter((state) -> state != GroupState.JOINING).isPresent());
		if (allReady && stateIn(group, head).filter((state) -> state == GroupState.READY).isPresent()) {
			order(head, GroupOrder.of(GroupOrder.Action.OPEN, group));
		}
	}

	private void dissolve(ReplicaGroup group, Optional<EndpointRecord> headRecord) {
		if (headRecord.isEmpty()) {
			if (this.snapshot.liveness(group).releasesMembers()) {
				remove(group, "its head is gone");
			}
			return;
		}
		close(group, headRecord.get(), "a member is gone or leaving");
	}

	// Ends a group; it stays planned while requests may be running in it.
	private void close(ReplicaGroup group, EndpointRecord head, String reason) {
		Optional<GroupState> state = stateIn(group, head);
		boolean memberLost = group.members().stream().anyMatch((member) -> this.snapshot.record(member).isEmpty());
		if (memberLost && state.filter(GroupState::active).isPresent()) {
			// Requests of a group without all its members stand still; they can go on
			// only elsewhere.
			order(head, GroupOrder.of(GroupOrder.Action.EVICT, group));
		}
		else if (state.filter((present) -> present == GroupState.OPEN).isPresent()) {
			order(head, GroupOrder.of(GroupOrder.Action.CLOSE, group));
		}
		else if (state.filter(GroupState::active).isEmpty() && !this.snapshot.busy().test(head)) {
			remove(group, reason);
		}
	}

	private static Optional<GroupState> stateIn(ReplicaGroup group, EndpointRecord record) {
		return record.membership()
			.filter((place) -> place.group().equals(group.name()) && place.epoch() == group.epoch())
			.map(GroupMembership::state);
	}

	private void remove(ReplicaGroup group, String reason) {
		this.groups = this.groups.without(group.name());
		this.removed.add(group.name() + ": " + reason);
	}

	private void order(EndpointRecord endpoint, GroupOrder order) {
		if (!this.snapshot.busy().test(endpoint)) {
			this.orders.add(new Order(endpoint, order));
		}
	}

	private void formGroups() {
		allocation().freeByDomain(this.snapshot.busy().negate()).forEach((domain, free) -> {
			List<EndpointRecord> left = new ArrayList<>(free);
			boolean formed = true;
			while (formed) {
				formed = allocation().byNeed().stream().anyMatch((model) -> formGroup(model, left));
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

	// Completes a group of the model that is shortest of VMs with those of other models'
	// groups in the same domain, if those models still have more for their share then.
	private void reassign() {
		Allocation allocation = allocation();
		Map<String, Integer> vms = allocation.vmsByModel(this.snapshot.vmsElsewhere());
		ModelProfile wanted = allocation.byNeed(vms).get(0);
		allocation.freeByDomain((record) -> record.hasWeights(wanted.name()))
			.entrySet()
			.stream()
			.flatMap((domain) -> donor(allocation, vms, wanted, domain.getKey(), domain.getValue().size()).stream())
			.findFirst()
			.ifPresent((donor) -> this.groups = this.groups.withPreempted(donor.name(), wanted.name()));
	}

	private static Optional<ReplicaGroup> donor(Allocation allocation, Map<String, Integer> vms, ModelProfile wanted,
			String domain, int free) {
		List<ReplicaGroup> groups = allocation.groupsIn(domain);
		if (free >= wanted.groupSize() || groups.stream().anyMatch(ReplicaGroup::preempted)) {
			return Optional.empty();
		}
		double wantedLoad = allocation.perShare(wanted.name(), vms.getOrDefault(wanted.name(), 0) + wanted.groupSize());
		return groups.stream()
			.filter((group) -> !group.model().equals(wanted.name())
					&& allocation.holders(group, wanted.name()) >= wanted.groupSize() - free)
			.filter((group) -> allocation.perShare(group.model(),
					vms.getOrDefault(group.model(), 0) - group.members().size()) >= wantedLoad)
			.min(Comparator.comparingLong((group) -> allocation.holders(group, wanted.name())));
	}

	/**
	 * What a plan is made from.
	 *
	 * @param zone the availability zone
	 * @param engine the profile of the engines' service
	 * @param endpoints the zone's endpoints of that service
	 * @param groups the groups planned so far
	 * @param liveness what is known of heads without a record, by group
	 * @param busy tells whether an order to an endpoint is under way
	 * @param staging models being loaded, by incarnation
	 * @param loadAllowance loads that may begin now
	 * @param vmsElsewhere VMs in the groups of other zones, by model
	 */
	public record ZoneSnapshot(String zone, EngineProfile engine, List<EndpointRecord> endpoints, ZoneGroups groups,
			Map<String, HeadLiveness> liveness, Predicate<EndpointRecord> busy, Map<String, String> staging,
			int loadAllowance, Map<String, Integer> vmsElsewhere) {

		Optional<EndpointRecord> record(ReplicaGroup.MemberVm member) {
			return this.endpoints.stream()
				.filter((record) -> record.id().equals(member.id()) && record.bornMillis() == member.bornMillis())
				.findFirst();
		}

		private HeadLiveness liveness(ReplicaGroup group) {
			return this.liveness.getOrDefault(group.name(), HeadLiveness.UNKNOWN);
		}

	}

	/**
	 * An order for an endpoint.
	 *
	 * @param endpoint the endpoint
	 * @param order the order
	 */
	public record Order(EndpointRecord endpoint, GroupOrder order) {

	}

	/**
	 * The outcome of planning.
	 *
	 * @param groups the groups wanted
	 * @param orders the orders to give once the groups are stored
	 * @param removed the groups removed, each with the reason
	 */
	public record Plan(ZoneGroups groups, List<Order> orders, List<String> removed) {

		/**
		 * Copies the lists.
		 */
		public Plan {
			orders = List.copyOf(orders);
			removed = List.copyOf(removed);
		}

	}

}
