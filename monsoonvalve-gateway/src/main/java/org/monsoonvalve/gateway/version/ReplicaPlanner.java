package org.monsoonvalve.gateway.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Decides the replica groups of one availability zone and the orders that lead there.
 * Groups stay inside a fabric domain and are formed of VMs whose hosts hold the weights;
 * other free VMs load weights ahead of their use. A VM goes to another group only when
 * the head of its old one serves no more.
 *
 * @author monsoonvalve maintainers
 */
public final class ReplicaPlanner {

	/**
	 * VMs of a domain that hold the weights of a model with larger groups while they
	 * serve another: both members of a small group, so that one group gives way.
	 */
	private static final int RESERVES = 2;

	/** Stands in for a share of zero. */
	private static final double LEAST_SHARE = 1e-6;

	private final Situation situation;

	private final List<Order> orders = new ArrayList<>();

	private final List<String> removed = new ArrayList<>();

	private ZoneGroups groups;

	// Epochs of groups whose heads may be running requests, planned or not.
	private final Set<Long> serving;

	private ReplicaPlanner(Situation situation) {
		this.situation = situation;
		this.serving = situation.endpoints()
			.stream()
			.flatMap((record) -> record.membership().stream())
			.filter((place) -> place.rank() == 0 && place.state().active())
			.map(GroupMembership::epoch)
			.collect(Collectors.toSet());
		this.groups = situation.groups();
	}

	/**
	 * Plans the next step.
	 * @param situation what is known
	 * @return the groups wanted and the orders to give now
	 */
	public static Plan plan(Situation situation) {
		ReplicaPlanner planner = new ReplicaPlanner(situation);
		planner.reviewGroups();
		planner.formGroups();
		planner.reassign();
		planner.stageWeights();
		return new Plan(planner.groups, planner.orders, planner.removed);
	}

	private void reviewGroups() {
		for (ReplicaGroup group : this.situation.groups().groups()) {
			List<Optional<EndpointRecord>> members = group.members().stream().map(this.situation::record).toList();
			boolean whole = members.stream()
				.allMatch((member) -> member.filter((record) -> !record.draining()).isPresent());
			if (group.givesWay() && members.get(0).isPresent()) {
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
			if (this.situation.fate(group).releasesMembers()) {
				remove(group, "its head is gone");
			}
			return;
		}
		close(group, headRecord.get(), "a member is gone or leaving");
	}

	// Ends a group; it stays planned while requests may be running in it.
	private void close(ReplicaGroup group, EndpointRecord head, String reason) {
		Optional<GroupState> state = stateIn(group, head);
		boolean memberLost = group.members().stream().anyMatch((member) -> this.situation.record(member).isEmpty());
		if (memberLost && state.filter(GroupState::active).isPresent()) {
			// Requests of a group without all its members stand still; they can go on
			// only elsewhere.
			order(head, GroupOrder.of(GroupOrder.Action.EVICT, group));
		}
		else if (state.filter((present) -> present == GroupState.OPEN).isPresent()) {
			order(head, GroupOrder.of(GroupOrder.Action.CLOSE, group));
		}
		else if (state.filter(GroupState::active).isEmpty() && !this.situation.busy().test(head)) {
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
		if (!this.situation.busy().test(endpoint)) {
			this.orders.add(new Order(endpoint, order));
		}
	}

	private void formGroups() {
		freeByDomain(this.situation.busy().negate()).forEach((domain, free) -> {
			List<EndpointRecord> left = new ArrayList<>(free);
			boolean formed = true;
			while (formed) {
				formed = byNeed().stream().anyMatch((model) -> formGroup(model, left));
			}
		});
	}

	private boolean formGroup(ModelProfile model, List<EndpointRecord> free) {
		List<EndpointRecord> members = free.stream()
			.filter((record) -> record.holds(model.name()))
			.sorted(Comparator.comparing((record) -> !record.models().contains(model.name())))
			.limit(model.groupSize())
			.toList();
		if (members.size() < model.groupSize()) {
			return false;
		}
		free.removeAll(members);
		this.groups = this.groups.with(this.situation.zone(), model.name(),
				members.stream().map(ReplicaGroup.MemberVm::of).toList());
		return true;
	}

	// Completes a group of the model that is shortest of VMs with those of other models'
	// groups in the same domain, if those models still have more for their share then.
	private void reassign() {
		Map<String, Integer> vms = vmsInGroups(this.situation.vmsElsewhere());
		ModelProfile wanted = byNeed(vms).get(0);
		for (Map.Entry<String, List<EndpointRecord>> domain : freeByDomain((record) -> true).entrySet()) {
			long free = domain.getValue().stream().filter((record) -> record.holds(wanted.name())).count();
			if (free == 0 || free >= wanted.groupSize() || givesWayIn(domain.getKey())) {
				continue;
			}
			long missing = wanted.groupSize() - free;
			double wantedLoad = (vms.getOrDefault(wanted.name(), 0) + wanted.groupSize()) / shareOf(wanted.name());
			Optional<ReplicaGroup> donor = groupsIn(domain.getKey()).stream()
				.filter((group) -> !group.model().equals(wanted.name()) && holders(group, wanted.name()) >= missing)
				.filter((group) -> (vms.getOrDefault(group.model(), 0) - group.members().size())
						/ shareOf(group.model()) >= wantedLoad)
				.min(Comparator.comparingLong((group) -> holders(group, wanted.name())));
			if (donor.isPresent()) {
				this.groups = this.groups.givingWay(donor.get().name(), wanted.name());
				return;
			}
		}
	}

	private double shareOf(String model) {
		return this.situation.engine()
			.model(model)
			.map((profile) -> Math.max(LEAST_SHARE, profile.share()))
			.orElse(LEAST_SHARE);
	}

	private boolean givesWayIn(String domain) {
		return groupsIn(domain).stream().anyMatch(ReplicaGroup::givesWay);
	}

	private List<ReplicaGroup> groupsIn(String domain) {
		return this.groups.groups()
			.stream()
			.filter((group) -> group.members()
				.stream()
				.anyMatch((member) -> this.situation.record(member)
					.filter((record) -> record.domain().equals(domain))
					.isPresent()))
			.toList();
	}

	private long holders(ReplicaGroup group, String model) {
		return group.members()
			.stream()
			.filter((member) -> this.situation.record(member).filter((record) -> record.holds(model)).isPresent())
			.count();
	}

	// Lists the models by the VMs of this zone for their share that they would have with
	// one more group, the fewest first. Each zone carries all models, so that it can
	// serve alone.
	private List<ModelProfile> byNeed() {
		return byNeed(vmsInGroups(Map.of()));
	}

	private Map<String, Integer> vmsInGroups(Map<String, Integer> elsewhere) {
		Map<String, Integer> vms = new HashMap<>(elsewhere);
		this.groups.groups()
			.stream()
			.filter((group) -> this.situation.record(group.head()).isPresent())
			.forEach((group) -> vms.merge(group.givesWay() ? group.successor() : group.model(), group.members().size(),
					Integer::sum));
		return vms;
	}

	private List<ModelProfile> byNeed(Map<String, Integer> vms) {
		return this.situation.engine()
			.models()
			.stream()
			.sorted(Comparator
				.<ModelProfile>comparingDouble((model) -> (vms.getOrDefault(model.name(), 0) + model.groupSize())
						/ Math.max(LEAST_SHARE, model.share()))
				.thenComparing(ModelProfile::groupSize, Comparator.reverseOrder()))
			.toList();
	}

	private Map<String, List<EndpointRecord>> freeByDomain(Predicate<EndpointRecord> wanted) {
		Set<ReplicaGroup.MemberVm> taken = new HashSet<>();
		this.groups.groups().forEach((group) -> taken.addAll(group.members()));
		return this.situation.endpoints()
			.stream()
			.filter((record) -> !record.draining() && !taken.contains(ReplicaGroup.MemberVm.of(record)))
			.filter((record) -> record.membership().filter((place) -> this.serving.contains(place.epoch())).isEmpty())
			.filter(wanted)
			.sorted(Comparator.comparing(EndpointRecord::id))
			.collect(Collectors.groupingBy(EndpointRecord::domain, TreeMap::new, Collectors.toList()));
	}

	private void stageWeights() {
		int allowance = this.situation.loadAllowance();
		Map<String, Integer> vms = vmsInGroups(Map.of());
		Map<String, List<EndpointRecord>> free = freeByDomain((record) -> true);
		free.values()
			.forEach((records) -> records
				.forEach((record) -> planned(record).ifPresent((model) -> vms.merge(model, 1, Integer::sum))));
		for (List<EndpointRecord> records : free.values()) {
			Map<String, Integer> held = new HashMap<>();
			records.forEach((record) -> planned(record).ifPresent((model) -> held.merge(model, 1, Integer::sum)));
			List<EndpointRecord> empty = new ArrayList<>(records.stream()
				.filter((record) -> planned(record).isEmpty() && !this.situation.busy().test(record))
				.toList());
			while (allowance > 0 && !empty.isEmpty()) {
				String model = nextToStage(held, vms, empty.size());
				this.orders.add(new Order(empty.remove(0), GroupOrder.stage(model)));
				held.merge(model, 1, Integer::sum);
				vms.merge(model, 1, Integer::sum);
				allowance--;
			}
			if (empty.isEmpty() && allowance > 0) {
				allowance -= restage(records, allowance);
			}
		}
		if (allowance > 0) {
			stageReserves(allowance);
		}
	}

	// Has members of other models' groups hold the weights of models with larger groups,
	// which break more often and are harder to complete. Their engines keep the model
	// that they carry.
	private void stageReserves(int allowance) {
		int smallest = this.situation.engine().models().stream().mapToInt(ModelProfile::groupSize).min().orElse(1);
		int left = allowance;
		for (ModelProfile model : byNeed()) {
			if (model.groupSize() == smallest) {
				continue;
			}
			for (String domain : new TreeSet<>(
					this.situation.endpoints().stream().map(EndpointRecord::domain).toList())) {
				int staged = stageReserve(model, domain, left);
				left -= staged;
			}
		}
	}

	private int stageReserve(ModelProfile model, String domain, int allowance) {
		List<EndpointRecord> outside = this.situation.endpoints()
			.stream()
			.filter((record) -> record.domain().equals(domain) && !record.draining())
			.filter((record) -> this.groups.groupOf(ReplicaGroup.MemberVm.of(record))
				.filter((group) -> group.model().equals(model.name()))
				.isEmpty())
			.toList();
		Predicate<EndpointRecord> holding = (record) -> record.holds(model.name())
				|| model.name().equals(this.situation.staging().get(record.incarnation()));
		long survivors = outside.stream()
			.filter((record) -> this.groups.groupOf(ReplicaGroup.MemberVm.of(record)).isEmpty())
			.filter(holding)
			.count();
		boolean present = survivors > 0
				|| groupsIn(domain).stream().anyMatch((group) -> group.model().equals(model.name()));
		long wanted = (survivors > 0) ? model.groupSize() : (present ? RESERVES : 0);
		long missing = wanted - outside.stream().filter(holding).count();
		List<EndpointRecord> chosen = outside.stream()
			.filter((record) -> !holding.test(record) && !this.situation.busy().test(record)
					&& !this.situation.staging().containsKey(record.incarnation()))
			.filter((record) -> this.groups.groupOf(ReplicaGroup.MemberVm.of(record)).isPresent())
			.sorted(Comparator.comparingLong(
					(record) -> -holders(this.groups.groupOf(ReplicaGroup.MemberVm.of(record)).get(), model.name())))
			.limit(Math.max(0, Math.min(missing, allowance)))
			.toList();
		chosen.forEach((record) -> order(record, GroupOrder.stage(model.name())));
		return chosen.size();
	}

	// Gives free VMs that wait in vain for others with the same weights the weights of a
	// group that a domain's free VMs can form, unless their own model needs them more.
	private int restage(List<EndpointRecord> records, int allowance) {
		if (records.stream().anyMatch((record) -> this.situation.staging().containsKey(record.incarnation()))) {
			return 0;
		}
		List<ModelProfile> models = byNeed();
		for (int i = 0; i < models.size(); i++) {
			ModelProfile wanted = models.get(i);
			Set<String> needier = models.subList(0, i).stream().map(ModelProfile::name).collect(Collectors.toSet());
			List<EndpointRecord> usable = records.stream()
				.filter((record) -> record.staged().stream().noneMatch(needier::contains))
				.toList();
			int missing = missing(usable, wanted);
			if (usable.size() >= wanted.groupSize() && missing <= allowance) {
				usable.stream()
					.filter((record) -> !record.staged().contains(wanted.name()))
					.limit(missing)
					.forEach((record) -> order(record, GroupOrder.stage(wanted.name())));
				return missing;
			}
		}
		return 0;
	}

	private static int missing(List<EndpointRecord> records, ModelProfile model) {
		long holding = records.stream().filter((record) -> record.staged().contains(model.name())).count();
		return (int) Math.max(0, model.groupSize() - holding);
	}

	private Optional<String> planned(EndpointRecord record) {
		return Optional.ofNullable(this.situation.staging().get(record.incarnation()))
			.or(() -> record.staged().stream().findFirst());
	}

	// Chooses the model that completes a group of a domain's free VMs; of several the one
	// with the fewest VMs for its share.
	private String nextToStage(Map<String, Integer> held, Map<String, Integer> vms, int empty) {
		List<ModelProfile> models = byNeed(vms);
		Predicate<ModelProfile> begun = (model) -> held.getOrDefault(model.name(), 0) % model.groupSize() != 0;
		Predicate<ModelProfile> completes = (
				model) -> model.groupSize() - held.getOrDefault(model.name(), 0) % model.groupSize() <= empty;
		return models.stream()
			.filter(begun.and(completes))
			.findFirst()
			.or(() -> models.stream().filter(completes).findFirst())
			.orElse(models.get(0))
			.name();
	}

	/**
	 * What a plan is made from.
	 *
	 * @param zone the availability zone
	 * @param engine the profile of the engines' service
	 * @param endpoints the zone's endpoints of that service
	 * @param groups the groups planned so far
	 * @param fates what is known of heads without a record, by group
	 * @param busy tells whether an order to an endpoint is under way
	 * @param staging models being loaded, by incarnation
	 * @param loadAllowance loads that may begin now
	 * @param vmsElsewhere VMs in the groups of other zones, by model
	 */
	public record Situation(String zone, EngineProfile engine, List<EndpointRecord> endpoints, ZoneGroups groups,
			Map<String, HeadFate> fates, Predicate<EndpointRecord> busy, Map<String, String> staging, int loadAllowance,
			Map<String, Integer> vmsElsewhere) {

		private Optional<EndpointRecord> record(ReplicaGroup.MemberVm member) {
			return this.endpoints.stream()
				.filter((record) -> record.id().equals(member.id()) && record.bornMillis() == member.bornMillis())
				.findFirst();
		}

		private HeadFate fate(ReplicaGroup group) {
			return this.fates.getOrDefault(group.name(), HeadFate.UNKNOWN);
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
