package org.monsoonvalve.gateway.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;

import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.LeaseElection;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.EngineProfile;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.GroupOrder;
import org.monsoonvalve.gateway.version.HeadLiveness;
import org.monsoonvalve.gateway.version.ReplicaGroup;
import org.monsoonvalve.gateway.version.ReplicaPlanner;
import org.monsoonvalve.gateway.version.ServiceProfile;
import org.monsoonvalve.gateway.version.ZoneGroups;

/**
 * Plans the replica groups of one availability zone while this process holds the role.
 * Groups are stored, under the condition that nobody changed them, before any order that
 * follows from them is given. Confined to the control thread.
 *
 * @author monsoonvalve maintainers
 */
final class ZonePlanner {

	/**
	 * Silence beyond the stall time after which a head without a record is gone: a head
	 * that is cut off from its members breaks within the stall time.
	 */
	private static final long HEAD_GONE_MARGIN_MILLIS = 500;

	/**
	 * Time between the first two attempts to close a head without a record; it doubles
	 * with each attempt.
	 */
	private static final long CLOSE_RETRY_MILLIS = 700;

	/** Longest time between two such attempts. */
	private static final long LONGEST_CLOSE_RETRY_MILLIS = 6000;

	/**
	 * Time after which a group whose members are all gone is no longer planned; zones are
	 * cut off for less, and their groups come back as they were.
	 */
	private static final long FORGET_MILLIS = 120_000;

	private final String zone;

	private final GatewaySettings settings;

	private final PlatformStore store;

	private final EngineControl engines;

	private final LeaseElection election;

	private final OrderExecutor executor;

	private final MemberProber prober;

	private final ScheduledExecutorService control;

	private final DecisionLog log;

	private final Map<String, EndpointRecord> lastRecords = new HashMap<>();

	private final Map<String, LostHead> lostHeads = new HashMap<>();

	private FleetView view = FleetView.empty();

	private boolean held;

	private boolean storing;

	private FleetView.PlannedGroups planned;

	ZonePlanner(String zone, GatewaySettings settings, PlatformStore store, EngineControl engines,
			LeaseElection election, ScheduledExecutorService control, DecisionLog log) {
		this.zone = zone;
		this.settings = settings;
		this.store = store;
		this.engines = engines;
		this.election = election;
		this.control = control;
		this.log = log;
		this.executor = new OrderExecutor(engines, control, election::held, log);
		this.prober = new MemberProber(engines, control, EventLoop::nowMillis, log);
	}

	void update(FleetView newer) {
		this.view = newer;
		keepRecordsOfHeads();
		step();
	}

	// A head whose record is gone may still be reached at its last address.
	private void keepRecordsOfHeads() {
		Set<String> heads = this.view.groupsOf(this.zone).groups().headIncarnations();
		this.lastRecords.keySet().retainAll(heads);
		this.view.endpoints()
			.values()
			.stream()
			.filter((record) -> heads.contains(record.incarnation()))
			.forEach((record) -> this.lastRecords.put(record.incarnation(), record));
	}

	/**
	 * Looks at the members of a group whose requests stand still.
	 * @param head the record of the group's head
	 */
	void suspect(EndpointRecord head) {
		if (this.held && head.zone().equals(this.zone)) {
			this.view.groupsOf(this.zone)
				.groups()
				.groupOf(ReplicaGroup.MemberVm.of(head))
				.ifPresent((group) -> this.prober.probe(records(group)));
		}
	}

	private List<EndpointRecord> records(ReplicaGroup group) {
		return group.members()
			.stream()
			.filter(this::present)
			.map((member) -> this.view.endpoints().get(member.id()))
			.toList();
	}

	// Plans and gives the orders that are due.
	void step() {
		boolean holds = this.election.held();
		if (holds != this.held) {
			this.held = holds;
			this.planned = null;
			this.executor.forget();
			this.prober.forget();
			this.lostHeads.clear();
			this.log.record(LogEvent.PLANNER_ROLE, "zone", this.zone, "held", holds);
		}
		if (!holds || this.storing) {
			return;
		}
		FleetView.PlannedGroups known = this.view.groupsOf(this.zone);
		FleetView.PlannedGroups present = (this.planned != null && this.planned.revision() > known.revision())
				? this.planned : known;
		this.view.configuration()
			.flatMap((configuration) -> configuration.services()
				.stream()
				.filter((service) -> service.engine().isPresent())
				.findFirst())
			.ifPresent((service) -> plan(service, present));
	}

	private void plan(ServiceProfile service, FleetView.PlannedGroups present) {
		EngineProfile engine = service.engine().get();
		List<EndpointRecord> endpoints = this.view.endpoints()
			.values()
			.stream()
			.filter((record) -> record.service().equals(service.name()) && record.zone().equals(this.zone))
			.toList();
		this.prober.step(endpoints, present.groups().headIncarnations());
		List<EndpointRecord> answering = endpoints.stream().filter((record) -> !this.prober.missing(record)).toList();
		Map<String, String> staging = this.executor.staging(endpoints);
		int concurrentLoads = -Math.floorDiv(-engine.concurrentLoads(), Math.max(1, this.settings.zones().size()));
		ReplicaPlanner.Plan plan = ReplicaPlanner.plan(new ReplicaPlanner.ZoneSnapshot(this.zone, engine, answering,
				present.groups(), headLiveness(present.groups()), this.executor::busy, staging,
				Math.max(0, concurrentLoads - staging.size()), vmsElsewhere()));
		if (plan.groups().equals(present.groups())) {
			give(plan, engine);
		}
		else {
			store(plan, present);
		}
	}

	private Map<String, Integer> vmsElsewhere() {
		Map<String, Integer> vms = new HashMap<>();
		this.view.groups()
			.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(this.zone))
			.map((entry) -> entry.getValue().groups().vmsByModel(this::present))
			.forEach((zone) -> zone.forEach((model, count) -> vms.merge(model, count, Integer::sum)));
		return vms;
	}

	private boolean present(ReplicaGroup.MemberVm member) {
		EndpointRecord record = this.view.endpoints().get(member.id());
		return record != null && record.bornMillis() == member.bornMillis();
	}

	private void store(ReplicaPlanner.Plan plan, FleetView.PlannedGroups present) {
		this.storing = true;
		this.store.write(OwnKeys.GROUPS.key(this.zone), present.revision(), Codec.JSON.encode(plan.groups()), 0)
			.whenCompleteAsync((result, failure) -> {
				this.storing = false;
				if (failure != null) {
					this.log.record(LogEvent.TASK_FAILED, "task", "store groups of " + this.zone, "reason",
							ServingException.from(failure).getMessage());
					return;
				}
				if (result.succeeded()) {
					logChanges(plan, present.groups());
					this.planned = new FleetView.PlannedGroups(plan.groups(), result.revision());
					step();
				}
			}, this.control);
	}

	private void logChanges(ReplicaPlanner.Plan plan, ZoneGroups before) {
		plan.removed().forEach((group) -> this.log.record(LogEvent.GROUP_REMOVED, "group", group));
		plan.groups()
			.groups()
			.stream()
			.filter((group) -> !before.groups().contains(group))
			.forEach((group) -> this.log.record(group.preempted() ? LogEvent.GROUP_PREEMPTED : LogEvent.GROUP_PLANNED,
					"group", group.name(), "model", group.model(), "members",
					group.members().stream().map(ReplicaGroup.MemberVm::id).toList()));
	}

	private void give(ReplicaPlanner.Plan plan, EngineProfile engine) {
		plan.orders()
			.forEach((order) -> this.executor.give(order.endpoint(), order.order(),
					engine.model(order.order().model()).map((model) -> model.loadMillis()).orElse(0L)));
	}

	// Judges heads whose records are gone, asking those that may still be reached to
	// close. Their silence is watched from the moment at which they are missing.
	private Map<String, HeadLiveness> headLiveness(ZoneGroups groups) {
		Map<String, HeadLiveness> liveness = new HashMap<>();
		groups.groups().forEach((group) -> {
			ReplicaGroup.MemberVm head = group.head();
			EndpointRecord present = this.view.endpoints().get(head.id());
			if (present == null) {
				LostHead lost = watch(group);
				askToClose(group, lost);
				liveness.put(group.name(), lost.liveness(goneMillis()));
			}
			else if (present.bornMillis() != head.bornMillis()) {
				liveness.put(group.name(), HeadLiveness.DEAD);
			}
			else if (this.prober.missing(present)) {
				watch(group);
			}
			else {
				this.lostHeads.remove(group.name());
			}
		});
		this.lostHeads.keySet()
			.removeIf((name) -> groups.groups().stream().noneMatch((group) -> group.name().equals(name)));
		return liveness;
	}

	private long goneMillis() {
		return this.settings.limits().stallMillis() + HEAD_GONE_MARGIN_MILLIS;
	}

	private LostHead watch(ReplicaGroup group) {
		long now = EventLoop.nowMillis();
		String head = group.head().incarnation();
		LostHead lost = this.lostHeads.computeIfAbsent(group.name(),
				(absent) -> new LostHead(this.prober.silentSinceMillis(head).orElse(now)));
		List<EndpointRecord> others = records(group).stream()
			.filter((record) -> !record.incarnation().equals(head))
			.toList();
		this.prober.probe(others);
		lost.silence.membersAnswered(others.stream()
			.map((record) -> this.prober.answeredMillis(record.incarnation()))
			.filter(OptionalLong::isPresent)
			.mapToLong(OptionalLong::getAsLong)
			.max(), now);
		return lost;
	}

	private void askToClose(ReplicaGroup group, LostHead lost) {
		long now = EventLoop.nowMillis();
		Optional<EndpointRecord> last = Optional.ofNullable(this.lastRecords.get(group.head().incarnation()));
		if (last.isEmpty() || lost.asking || now - lost.askedMillis < lost.pauseMillis) {
			return;
		}
		lost.pauseMillis = Math.min(LONGEST_CLOSE_RETRY_MILLIS, 2 * lost.pauseMillis);
		lost.asking = true;
		lost.askedMillis = now;
		this.engines.orderCount(last.get(), OrderExecutor.REPORT_TIMEOUT_MILLIS)
			.thenCompose(
					(count) -> this.engines.order(last.get(), GroupOrder.of(GroupOrder.Action.CLOSE, group), count))
			.whenCompleteAsync((outcome, failure) -> {
				lost.asking = false;
				if (failure != null) {
					this.log.record(LogEvent.ORDER_UNANSWERED, "endpoint", last.get().id(), "action", "CLOSE", "group",
							group.name(), "reason", ServingException.from(failure).getMessage());
				}
				boolean answered = failure == null && outcome != GroupOrder.Outcome.UNANSWERED
						&& outcome != GroupOrder.Outcome.MOVED;
				if (answered) {
					lost.silence.headAnswered(EventLoop.nowMillis());
				}
				lost.closed = outcome == GroupOrder.Outcome.DONE || outcome == GroupOrder.Outcome.MOVED;
			}, this.control);
	}

	/**
	 * A head that is missing or has no record.
	 */
	private static final class LostHead {

		private final HeadSilence silence;

		private final long goneSinceMillis = EventLoop.nowMillis();

		private long pauseMillis = CLOSE_RETRY_MILLIS;

		private long askedMillis;

		private boolean asking;

		private boolean closed;

		private LostHead(long silentSinceMillis) {
			this.silence = new HeadSilence(silentSinceMillis);
		}

		private HeadLiveness liveness(long goneMillis) {
			long now = EventLoop.nowMillis();
			boolean gone = this.silence.longerThan(goneMillis, now) || now - this.goneSinceMillis > FORGET_MILLIS;
			return this.closed ? HeadLiveness.CLOSED : (gone ? HeadLiveness.DEAD : HeadLiveness.UNKNOWN);
		}

	}

}
