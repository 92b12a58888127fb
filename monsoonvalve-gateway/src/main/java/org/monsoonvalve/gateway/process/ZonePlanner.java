package org.monsoonvalve.gateway.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.LongStream;

import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StoreLease;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.LeaseElection;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.connection.SlidingWindow;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.EngineAddress;
import org.monsoonvalve.gateway.version.EngineProfile;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.GroupOrder;
import org.monsoonvalve.gateway.version.HeadLiveness;
import org.monsoonvalve.gateway.version.PlanRecovery;
import org.monsoonvalve.gateway.version.ReplicaGroup;
import org.monsoonvalve.gateway.version.ReplicaPlanner;
import org.monsoonvalve.gateway.version.ServiceProfile;
import org.monsoonvalve.gateway.version.ZoneGroups;

/**
 * Plans the replica groups of one availability zone while this process holds the planner
 * role. Changed groups are stored first, by a write that fails if another process changed
 * them; the orders that follow from them are sent only after that write. While an earlier
 * write may still take effect, the groups are written again before any order. Confined to
 * the control thread.
 *
 * @author monsoonvalve maintainers
 */
final class ZonePlanner {

	/**
	 * Time beyond the stall time after which an unresponsive head without a record is
	 * dead; a head that is partitioned from its members stops serving within the stall
	 * time.
	 */
	private static final long HEAD_TIMEOUT_MARGIN_MILLIS = 500;

	/** Delay after a failed write of the groups. */
	private static final long WRITE_RETRY_MILLIS = 400;

	/** One second including both of its ends, as a rate applies to any second. */
	private static final long LOAD_WINDOW_MILLIS = 1001;

	private final String zone;

	private final GatewaySettings settings;

	private final PlatformStore store;

	private final EngineControl engines;

	private final LeaseElection election;

	private final OrderExecutor executor;

	private final MemberProber prober;

	private final DemandDivider demand;

	private final SlidingWindow loadStarts = SlidingWindow.of(LOAD_WINDOW_MILLIS);

	private final ScheduledExecutorService control;

	private final DecisionLog log;

	private final Map<String, SuspectedHead> suspectedHeads = new HashMap<>();

	private FleetView view = FleetView.empty();

	private boolean roleHeld;

	private final WriteFence writeFence = new WriteFence();

	private boolean writePending;

	private long nextWriteMillis = Long.MIN_VALUE;

	// Newer than the groups in the view until the replica includes the last write.
	private FleetView.PlannedGroups lastStored;

	ZonePlanner(String zone, GatewaySettings settings, PlatformStore store, EngineControl engines,
			LeaseElection election, DemandDivider demand, ScheduledExecutorService control, DecisionLog log) {
		this.zone = zone;
		this.settings = settings;
		this.store = store;
		this.engines = engines;
		this.election = election;
		this.demand = demand;
		this.control = control;
		this.log = log;
		this.executor = new OrderExecutor(engines, control, election::held, log);
		this.prober = new MemberProber(engines, control, EventLoop::nowMillis, log);
	}

	void update(FleetView newView) {
		this.view = newView;
		step();
	}

	/**
	 * Probes the members of a group whose requests have stalled.
	 * @param head the record of the group's head
	 */
	void probeGroupOf(EndpointRecord head) {
		if (this.roleHeld && head.zone().equals(this.zone)) {
			this.view.groupsOf(this.zone)
				.groupOf(ReplicaGroup.MemberVm.of(head))
				.ifPresent((group) -> this.prober.probe(presentRecords(group)));
		}
	}

	/**
	 * Receives the demand that a process of the zone has measured.
	 * @param report the report
	 */
	void demandReported(PeerFrame.DemandReport report) {
		if (this.roleHeld) {
			this.demand.reported(report);
		}
	}

	/**
	 * Receives the requests that are in progress at the heads of the zone's groups.
	 * @param requests the number of requests by the head's identifier
	 */
	void requestsObserved(Map<String, Integer> requests) {
		this.demand.observeRequests(requests);
	}

	private List<EndpointRecord> presentRecords(ReplicaGroup group) {
		return group.members()
			.stream()
			.filter(this::hasRecord)
			.map((member) -> this.view.endpoints().get(member.id()))
			.toList();
	}

	// Plans the groups and submits the orders that are due.
	void step() {
		boolean holdsRole = this.election.held();
		if (holdsRole != this.roleHeld) {
			this.roleHeld = holdsRole;
			this.lastStored = null;
			this.writeFence.reset();
			this.executor.clear();
			this.prober.clear();
			this.suspectedHeads.clear();
			this.demand.roleChanged();
			this.log.record(LogEvent.PLANNER_ROLE, "zone", this.zone, "held", holdsRole);
		}
		if (!holdsRole || this.writePending) {
			return;
		}
		FleetView.PlannedGroups known = this.view.groupsOf(this.zone);
		FleetView.PlannedGroups current = (this.lastStored != null) ? known.newest(this.lastStored) : known;
		this.view.configuration()
			.flatMap((configuration) -> configuration.services()
				.stream()
				.filter((service) -> service.engine().isPresent())
				.findFirst())
			.ifPresent((service) -> plan(service, current));
	}

	private void plan(ServiceProfile service, FleetView.PlannedGroups current) {
		EngineProfile engine = service.engine().get();
		List<EndpointRecord> endpoints = this.view.endpoints()
			.values()
			.stream()
			.filter((record) -> record.service().equals(service.name()) && record.zone().equals(this.zone))
			.toList();
		this.prober.step(endpoints, current.groups().headIncarnations());
		List<EndpointRecord> answering = endpoints.stream().filter((record) -> !this.prober.isMissing(record)).toList();
		Map<String, String> staging = this.executor.staging(endpoints);
		// Each zone gets an equal share of the limit on concurrent loads, rounded up.
		int concurrentLoads = -Math.floorDiv(-engine.concurrentLoads(), Math.max(1, this.settings.zones().size()));
		long era = this.view.position().era();
		ZoneGroups groups = PlanRecovery.recover(current.groups(), engine, endpoints, era).withEpochsAfter(0, era);
		int loadAllowance = Math.min(Math.max(0, concurrentLoads - staging.size()), loadStartsLeft(engine));
		ReplicaPlanner.Plan plan = ReplicaPlanner.plan(new ReplicaPlanner.ZoneSnapshot(this.zone, engine, answering,
				groups, headLiveness(groups), this.executor::busy, staging, loadAllowance, vmsInOtherZones())
			.withDivision(this.demand.division(service, engine, answering, this.view.members().values())));
		boolean changed = !plan.groups().equals(current.groups());
		if (current.stored() && !changed && this.writeFence.holds(current.position())) {
			submitOrders(plan, engine);
		}
		else if (EventLoop.nowMillis() >= this.nextWriteMillis) {
			storeGroups(changed ? plan : plan.rewritten(), current);
		}
	}

	// Each zone gets an equal share of the rate of loads, at least one in a second.
	private int loadStartsLeft(EngineProfile engine) {
		if (!engine.timings().batchSensitive() || engine.loadsPerSecond() <= 0) {
			return Integer.MAX_VALUE;
		}
		int perSecond = (int) Math.max(1, engine.loadsPerSecond() / Math.max(1, this.settings.zones().size()));
		return Math.max(0, perSecond - this.loadStarts.count(EventLoop.nowMillis()));
	}

	private Map<String, Integer> vmsInOtherZones() {
		Map<String, Integer> vms = new HashMap<>();
		this.view.groups()
			.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(this.zone))
			.map((entry) -> entry.getValue().groups().vmsByModel(this::hasRecord))
			.forEach((zone) -> zone.forEach((model, count) -> vms.merge(model, count, Integer::sum)));
		return vms;
	}

	private boolean hasRecord(ReplicaGroup.MemberVm member) {
		EndpointRecord record = this.view.endpoints().get(member.id());
		return record != null && record.bornMillis() == member.bornMillis();
	}

	private void storeGroups(ReplicaPlanner.Plan plan, FleetView.PlannedGroups current) {
		this.writePending = true;
		this.store
			.write(StoreKeys.GROUPS.key(this.zone), current.position(), Codec.JSON.encode(plan.groups()),
					StoreLease.NONE)
			.whenCompleteAsync((result, failure) -> {
				this.writePending = false;
				if (failure != null) {
					this.writeFence.unanswered(current.position());
					this.nextWriteMillis = EventLoop.nowMillis() + WRITE_RETRY_MILLIS;
					this.log.record(LogEvent.GROUPS_UNCERTAIN, "zone", this.zone, "position", current.position(),
							"reason", ServingException.from(failure).getMessage());
					return;
				}
				if (result.succeeded()) {
					this.writeFence.acknowledged();
					logChanges(plan, current.groups());
					if (!current.stored()) {
						this.log.record(LogEvent.RECORD_REWRITTEN, "record", "groups of " + this.zone, "position",
								result.position());
					}
					this.lastStored = new FleetView.PlannedGroups(plan.groups(), result.position());
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

	private void submitOrders(ReplicaPlanner.Plan plan, EngineProfile engine) {
		long loads = plan.orders()
			.stream()
			.filter((order) -> order.order().action() == GroupOrder.Action.STAGE)
			.count();
		LongStream.range(0, loads).forEach((load) -> this.loadStarts.add(EventLoop.nowMillis()));
		plan.orders()
			.forEach((order) -> this.executor.submit(order.endpoint(), order.order(),
					engine.model(order.order().model()).map((model) -> model.loadMillis()).orElse(0L)));
	}

	// Determines the liveness of heads without a record and orders those that may still
	// be reachable to close. A head is suspected, and its silence measured, as soon as it
	// is missing, even if it still has a record.
	private Map<String, HeadLiveness> headLiveness(ZoneGroups groups) {
		Map<String, HeadLiveness> liveness = new HashMap<>();
		groups.groups().forEach((group) -> {
			ReplicaGroup.MemberVm head = group.head();
			EndpointRecord record = this.view.endpoints().get(head.id());
			if (record == null) {
				SuspectedHead suspected = updateSuspicion(group);
				requestClose(group, suspected);
				liveness.put(group.name(), suspected.liveness(headTimeoutMillis(), EventLoop.nowMillis()));
			}
			else if (record.bornMillis() != head.bornMillis()) {
				liveness.put(group.name(), HeadLiveness.REPLACED);
			}
			else if (this.prober.isMissing(record)) {
				updateSuspicion(group);
			}
			else {
				this.suspectedHeads.remove(group.name());
			}
		});
		this.suspectedHeads.keySet()
			.removeIf((name) -> groups.groups().stream().noneMatch((group) -> group.name().equals(name)));
		return liveness;
	}

	private long headTimeoutMillis() {
		return this.settings.limits().stallMillis() + HEAD_TIMEOUT_MARGIN_MILLIS;
	}

	private SuspectedHead updateSuspicion(ReplicaGroup group) {
		long now = EventLoop.nowMillis();
		String head = group.head().incarnation();
		SuspectedHead suspected = this.suspectedHeads.computeIfAbsent(group.name(), (absent) -> new SuspectedHead(now));
		suspected.observeProbes(this.prober.silentSinceMillis(head), this.prober.lastAnswerMillis(head));
		List<EndpointRecord> others = presentRecords(group).stream()
			.filter((record) -> !record.incarnation().equals(head))
			.toList();
		this.prober.probe(others);
		suspected.membersAnswered(others.stream()
			.map((record) -> this.prober.lastAnswerMillis(record.incarnation()))
			.filter(OptionalLong::isPresent)
			.mapToLong(OptionalLong::getAsLong)
			.max(), now);
		return suspected;
	}

	// A head without a record may still be reachable, and serve, at its last address.
	private void requestClose(ReplicaGroup group, SuspectedHead suspected) {
		long now = EventLoop.nowMillis();
		Optional<EngineAddress> head = group.headEngine();
		if (head.isEmpty() || !suspected.isCloseDue(now)) {
			return;
		}
		suspected.closeSent(now);
		this.engines.orderCount(head.get(), OrderExecutor.REPORT_TIMEOUT_MILLIS)
			.thenCompose(
					(count) -> this.engines.order(head.get(), GroupOrder.of(GroupOrder.Action.CLOSE, group), count))
			.whenCompleteAsync((outcome, failure) -> {
				if (failure != null) {
					this.log.record(LogEvent.ORDER_UNANSWERED, "endpoint", head.get().id(), "action", "CLOSE", "group",
							group.name(), "reason", ServingException.from(failure).getMessage());
				}
				else {
					this.log.record(LogEvent.ORDER_ANSWERED, "endpoint", head.get().id(), "action", "CLOSE", "group",
							group.name(), "outcome", outcome);
				}
				suspected.closeCompleted((failure != null) ? GroupOrder.Outcome.UNANSWERED : outcome,
						EventLoop.nowMillis());
			}, this.control);
	}

}
