package org.monsoonvalve.gateway.process;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.HttpLimits;
import org.monsoonvalve.core.connection.HttpServer;
import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.process.ElapsedClock;
import org.monsoonvalve.core.process.LeaseElection;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.process.NodeId;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.connection.Endpoint;
import org.monsoonvalve.gateway.connection.EndpointSet;
import org.monsoonvalve.gateway.request.Dispatcher;
import org.monsoonvalve.gateway.request.PromptPart;
import org.monsoonvalve.gateway.request.RequestMetrics;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.Member;

/**
 * A gateway process, which serves callers' requests and, while it holds the planner role
 * of an availability zone, plans the replica groups of that zone.
 *
 * @author monsoonvalve maintainers
 */
public final class Gateway {

	/**
	 * Timeout for opening a connection; the latency between zones is a few milliseconds.
	 */
	private static final long CONNECT_TIMEOUT_MILLIS = 300;

	/** Interval between two planning steps. */
	private static final long PLAN_INTERVAL_MILLIS = 250;

	/** Interval between two attempts to acquire or renew a role. */
	private static final long ELECTION_INTERVAL_MILLIS = 700;

	/** Interval between two sweeps for idle connections. */
	private static final long IDLE_SWEEP_INTERVAL_MILLIS = 1000;

	/**
	 * Largest header section, largest request content, and most response content buffered
	 * for a slow caller, in bytes; the limits in the configuration are lower.
	 */
	private static final HttpLimits HTTP_LIMITS = new HttpLimits(64 * 1024, 4 * 1024 * 1024 + 64 * 1024, 1024 * 1024);

	/**
	 * The same for readiness checks and metrics, which have no request content, and the
	 * memory that all of them may take.
	 */
	private static final HttpLimits CHECK_LIMITS = new HttpLimits(16 * 1024, 1024, 1024 * 1024, 4 * 1024 * 1024);

	/** Time for the last answers to leave before the connections are closed. */
	private static final long LAST_ANSWERS_MILLIS = 150;

	/** Interval between two comparisons of the evidence of crashes with a peer. */
	private static final long CRASH_COMPARE_INTERVAL_MILLIS = 1000;

	/**
	 * Delay of news of crashes for peers, so that responses lost at once are one frame.
	 */
	private static final long CRASH_NEWS_DELAY_MILLIS = 10;

	/**
	 * Span, for each process of the fleet, over which the registrations after a
	 * restoration of the store are spread.
	 */
	private static final long REWRITE_MILLIS_PER_PROCESS = 5;

	/** Interval between two checks whether the demand must be reported. */
	private static final long DEMAND_INTERVAL_MILLIS = 1000;

	/** Timeout for a peer's reply; the latency between peers is a few milliseconds. */
	private static final long PEER_TIMEOUT_MILLIS = 400;

	/** Lower bound on the processes of a zone, assumed before any is known. */
	private static final int MIN_PROCESSES_PER_ZONE = 2;

	private static final long DRAIN_POLL_NANOS = 20_000_000L;

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private static final int NOT_FOUND = 404;

	private final PlatformBinding platform;

	private final MetricRegistry registry = new MetricRegistry();

	private final AtomicReference<FleetView> view = new AtomicReference<>(FleetView.empty());

	private final ScheduledExecutorService control = daemonScheduler("control");

	private final ScheduledExecutorService elections = daemonScheduler("elections");

	private final EventLoop loop;

	private final DecisionLog log;

	private final Dispatcher dispatcher;

	private final EraCheckedStore store;

	private final long startMillis = EventLoop.nowMillis();

	private final EndpointSet endpoints;

	private final CrashEvidence crashes;

	private final EndpointLimits limits;

	private final ShareExchange shares;

	private final FleetGossip gossip;

	private final DemandReports demandReports;

	private final StoreSync storeSync;

	private final ProcessRegistration registration;

	private final List<ManagedZone> zones;

	private final HttpServer callers;

	private final AtomicReference<GatewaySettings> settings;

	private volatile boolean draining;

	private volatile int maxProcessesSeen;

	private Gateway(PlatformBinding platform, GatewaySettings settings, DecisionLog log) {
		this.platform = platform;
		this.settings = new AtomicReference<>(settings);
		this.log = log;
		this.loop = EventLoop
			.start((failure) -> log.record(LogEvent.TASK_FAILED, "task", "event loop", "reason", failure.toString()));
		HttpClient client = HttpClient.start(this.loop, CONNECT_TIMEOUT_MILLIS);
		this.store = EraCheckedStore.of((onEra) -> platform.store(client, settings,
				(name) -> this.registry.counter("store." + name).inc(), onEra));
		this.store.onLaterEra(this::enterEra);
		EngineControl engines = platform.engines(client, (name) -> this.registry.counter("orders." + name).inc());
		this.endpoints = new EndpointSet(settings.zone(),
				(record) -> new Endpoint(record, client, this.registry.counter("endpoint_connections")::inc), log);
		this.gossip = new FleetGossip(settings.name(), this::send);
		EvidenceListener listener = new EvidenceListener();
		this.crashes = new CrashEvidence(settings.name(), EventLoop::nowMillis, this.gossip, listener);
		this.limits = new EndpointLimits(settings.name(), EventLoop::nowMillis, listener);
		this.shares = new ShareExchange(settings, this::processCount, EventLoop::nowMillis, this.registry, this::send,
				new SplittableRandom());
		this.gossip.spread(this.crashes, this.limits);
		this.dispatcher = new Dispatcher(this.loop, platform.headerNames(), this.endpoints, settings.limits(),
				this::processCount, log, new RequestMetrics(this.registry), this::probeGroupOf, this.crashes,
				this.limits, this.shares.loans());
		this.demandReports = new DemandReports(settings.name(), settings.zone(), this.dispatcher.demand()::slots,
				this::send, EventLoop::nowMillis);
		ElapsedClock clock = ElapsedClock.system();
		this.zones = settings.zones().stream().map((zone) -> {
			LeaseElection election = LeaseElection.of(this.store, clock, StoreKeys.plannerRole(zone),
					NodeId.of(settings.name() + "@" + settings.peers()), (failure) -> log.record(LogEvent.TASK_FAILED,
							"task", "election for " + zone, "reason", failure.getMessage()));
			return new ManagedZone(zone, election, new RoleCandidacy(StoreKeys.plannerRole(zone), settings.name()),
					new ZonePlanner(zone, settings, this.store, engines, election,
							new DemandDivider(zone, this.registry, log, EventLoop::nowMillis), this.control, log));
		}).toList();
		this.storeSync = new StoreSync(this.store, platform.decoder(), settings, this.loop, this.control, log,
				this::updateView, this::handleFrame);
		this.registration = new ProcessRegistration(this.store,
				Member.of(settings.name(), settings.zone(), settings.peers()),
				() -> this.loop.execute(() -> this.shares.rejoined(this.startMillis)), this.control, log);
		HttpServer.start(this.loop, settings.readiness(), CHECK_LIMITS, this::readiness);
		HttpServer.start(this.loop, settings.metrics(), CHECK_LIMITS, this::metrics);
		this.callers = HttpServer.start(this.loop, settings.callers(), HTTP_LIMITS, this.dispatcher::accept);
		this.registry.register("prompt_parts_blocked", (Gauge<Integer>) this.crashes::blockedParts);
		this.registry.register("endpoints_limited", (Gauge<Integer>) this.limits::size);
		this.registry.register("store_era", (Gauge<Long>) this.store::newestEra);
		this.registry.register("store_answers_discarded", (Gauge<Long>) this.store::discardedAnswers);
		this.registry.register("records_retained", (Gauge<Integer>) this.storeSync::retainedRecords);
		this.registry.register("request_bytes", (Gauge<Long>) this.callers::requestBytes);
		this.registry.register("unread_response_bytes", (Gauge<Long>) this.callers::unreadResponseBytes);
		this.registry.register("incomplete_response_bytes",
				(Gauge<Long>) this.dispatcher.responseMemory()::reservedBytes);
		this.registry.register("store_history_bytes", (Gauge<Long>) this.storeSync::historyBytes);
		this.registry.register("heap_bytes",
				(Gauge<Long>) () -> Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
		this.registry.register("configurations_kept", (Gauge<Long>) this.storeSync::keptConfigurations);
		this.registry.register("view_revision", (Gauge<Long>) () -> this.view.get().position().revision());
		this.registry.register("requests_in_progress", (Gauge<Integer>) this.dispatcher::inProgress);
		this.registry.register("log_lines_dropped", (Gauge<Long>) log::dropped);
	}

	/**
	 * Starts a gateway.
	 * @param platform the platform-specific parts
	 * @param log the log of decisions
	 * @return the running gateway
	 */
	public static Gateway start(PlatformBinding platform, DecisionLog log) {
		GatewaySettings settings = platform.settings();
		Gateway gateway = new Gateway(platform, settings, log);
		gateway.startTasks();
		log.record(LogEvent.GATEWAY_STARTED, "zone", settings.zone(), "callers", settings.callers(), "readiness",
				settings.readiness(), "peers", settings.peers(), "metrics", settings.metrics());
		return gateway;
	}

	private void startTasks() {
		this.storeSync.start();
		this.registration.start();
		this.control.scheduleWithFixedDelay(
				() -> runAndLogFailure("plan", () -> this.zones.forEach((zone) -> zone.planner().step())),
				PLAN_INTERVAL_MILLIS, PLAN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		this.elections.scheduleWithFixedDelay(() -> runAndLogFailure("election", this::updateRoles), 0,
				ELECTION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		this.loop.scheduleWithFixedDelay(CRASH_COMPARE_INTERVAL_MILLIS, this.gossip::compare);
		this.loop.scheduleWithFixedDelay(DEMAND_INTERVAL_MILLIS,
				() -> this.demandReports.step(this.view.get(), this::demandOfOwnZone));
		this.loop.scheduleWithFixedDelay(IDLE_SWEEP_INTERVAL_MILLIS, this::closeIdle);
	}

	// The store may have lost what this process has written. Many processes write again
	// at the same time, so their writes are spread.
	private void enterEra(long era, long previous) {
		this.log.record(LogEvent.STORE_ERA, "era", era, "previous", previous, "view", this.view.get().position());
		this.zones.forEach((zone) -> zone.election().observeEra(era));
		if (previous > 0 && !this.draining) {
			this.registry.counter("store_restorations").inc();
			this.elections.execute(() -> runAndLogFailure("election", this::updateRoles));
			this.registration
				.registerAgain(ThreadLocalRandom.current().nextLong(1 + REWRITE_MILLIS_PER_PROCESS * processCount()));
		}
	}

	private void runAndLogFailure(String task, Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			this.log.record(LogEvent.TASK_FAILED, "task", task, "reason", String.valueOf(ex));
		}
	}

	// The processes divide the limits of the whole system among them. A registration may
	// expire while the store is unavailable although its process still runs, so the
	// divisor is the largest number of processes ever seen.
	private int processCount() {
		return Math.max(this.maxProcessesSeen, MIN_PROCESSES_PER_ZONE * this.settings.get().zones().size());
	}

	private void updateView(FleetView newView) {
		this.view.set(newView);
		this.maxProcessesSeen = Math.max(this.maxProcessesSeen, newView.members().size());
		this.loop.execute(() -> {
			this.endpoints.update(newView);
			this.dispatcher.endpointsChanged();
			this.gossip.update(newView.members().values());
			this.shares.update(newView);
		});
		this.zones.forEach((zone) -> runAndLogFailure("plan", () -> zone.planner().update(newView)));
	}

	private CompletableFuture<PeerFrame> handleFrame(PeerFrame frame) {
		if (frame instanceof PeerFrame.DemandReport report) {
			demandReported(report);
			return CompletableFuture.completedFuture(new PeerFrame.Ack());
		}
		CompletableFuture<PeerFrame> reply = new CompletableFuture<>();
		this.loop.runInLoop(() -> reply
			.complete(this.shares.handle(frame).or(() -> this.gossip.handle(frame)).orElseGet(PeerFrame.Ack::new)));
		return reply;
	}

	private void send(Member peer, PeerFrame frame, Consumer<PeerFrame> onReply) {
		this.storeSync.peers().ask(peer.peerAddress(), frame, PEER_TIMEOUT_MILLIS).whenComplete((reply, failure) -> {
			if (failure != null) {
				this.log.record(LogEvent.PEER_FAILED, "peer", peer.peerAddress(), "reason",
						ServingException.from(failure).getMessage());
			}
			else {
				this.loop.runInLoop(() -> onReply.accept(reply));
			}
		});
	}

	private void demandReported(PeerFrame.DemandReport report) {
		this.control.execute(() -> runAndLogFailure("demand",
				() -> this.zones.forEach((zone) -> zone.planner().demandReported(report))));
	}

	// Called on the event loop if this process plans its own zone.
	private void demandOfOwnZone(PeerFrame.DemandReport report) {
		demandReported(report);
		Map<String, Integer> requests = this.endpoints.requestsAtHeads();
		this.control.execute(() -> this.zones.forEach((zone) -> zone.planner().requestsObserved(requests)));
	}

	private void probeGroupOf(EndpointRecord endpoint) {
		this.control.execute(() -> runAndLogFailure("probe members",
				() -> this.zones.forEach((zone) -> zone.planner().probeGroupOf(endpoint))));
	}

	/**
	 * Acquires or renews the planner role of this process's zone, and of zones without a
	 * registered process.
	 */
	private void updateRoles() {
		FleetView known = this.view.get();
		if (this.draining || known.position().equals(StorePosition.NONE)) {
			return;
		}
		this.zones.forEach((zone) -> {
			boolean ownZone = zone.name().equals(this.settings.get().zone());
			List<Member> zoneMembers = known.members()
				.values()
				.stream()
				.filter((member) -> member.zone().equals(zone.name()))
				.toList();
			boolean eligible = ownZone || (zoneMembers.isEmpty() && !known.members().isEmpty());
			String holder = known.roleHolders().get(StoreKeys.plannerRole(zone.name()));
			boolean predecessor = holder != null && zone.election().isPredecessor(holder);
			boolean first = zone.candidacy()
				.mayAcquire(holder == null, ownZone ? zoneMembers : known.members().values(), EventLoop.nowMillis());
			zone.election().tick(eligible && ((first && mayAcquireVacant()) || predecessor));
		});
	}

	// A process that starts doesn't know whether the store was restored just before, and
	// has forgotten a holder.
	private boolean mayAcquireVacant() {
		return this.settings.get().firstStart() || this.store.newestEra() == 0
				|| EventLoop.nowMillis() - this.startMillis > LeaseElection.FORGOTTEN_HOLDER_MILLIS;
	}

	private void closeIdle() {
		this.view.get()
			.configuration()
			.ifPresent((configuration) -> this.callers.closeIdle(configuration.limits().idleTimeoutMillis(),
					configuration.limits().headerTimeoutMillis()));
	}

	private void readiness(IncomingCall call) {
		boolean knownPath = call.path().equals(this.platform.readinessPath());
		boolean ready = !this.draining && this.view.get().configuration().isPresent();
		call.reply(knownPath ? (ready ? OK : UNAVAILABLE) : NOT_FOUND, Headers.empty(), new byte[0]);
	}

	private void metrics(IncomingCall call) {
		call.reply(OK, Headers.of("Content-Type", "text/plain; charset=utf-8"),
				MetricsText.of(this.registry).getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Reloads the settings. Addresses and bounds keep their values from startup, except
	 * the grace time, which {@link #stop()} takes from the reloaded settings.
	 */
	public void reload() {
		try {
			this.settings.set(this.platform.settings());
			this.log.record(LogEvent.GATEWAY_RELOADED, "zone", this.settings.get().zone());
		}
		catch (ServingException ex) {
			this.log.record(LogEvent.BAD_SETTING, "reason", ex.getMessage());
		}
	}

	/**
	 * Drains and stops the gateway within the grace time. Readiness checks fail at once;
	 * requests are accepted until the load balancer has switched, and those in progress
	 * are completed, or answered with a failure shortly before the grace time is over.
	 */
	public void stop() {
		long startMillis = EventLoop.nowMillis();
		this.draining = true;
		this.callers.drain();
		this.log.record(LogEvent.GATEWAY_DRAINING, "in_progress", this.dispatcher.inProgress());
		this.registration.deregister();
		this.zones.forEach((zone) -> runAndLogFailure("resign", zone.election()::resign));
		DrainSchedule schedule = DrainSchedule.of(this.settings.get().limits().graceMillis());
		while (EventLoop.nowMillis() < startMillis + schedule.acceptMillis()) {
			LockSupport.parkNanos(DRAIN_POLL_NANOS);
		}
		this.dispatcher.stop();
		while (EventLoop.nowMillis() < startMillis + schedule.minMillis()
				|| (this.callers.callsInProgress() > 0 && EventLoop.nowMillis() < startMillis + schedule.endMillis())) {
			LockSupport.parkNanos(DRAIN_POLL_NANOS);
		}
		endRequests();
		this.log.record(LogEvent.GATEWAY_STOPPED, "in_progress", this.callers.callsInProgress());
		this.callers.close();
		this.storeSync.close();
	}

	// A request that is answered is not cut off, and the answer says whether it may have
	// run.
	private void endRequests() {
		int inProgress = this.callers.callsInProgress();
		if (inProgress > 0) {
			this.log.record(LogEvent.REQUESTS_ENDED, "in_progress", inProgress);
			this.loop.execute(this.dispatcher::endAll);
			long endMillis = EventLoop.nowMillis() + LAST_ANSWERS_MILLIS;
			while (EventLoop.nowMillis() < endMillis) {
				LockSupport.parkNanos(DRAIN_POLL_NANOS);
			}
		}
	}

	private static ScheduledExecutorService daemonScheduler(String name) {
		ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(1, (task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		});
		// Timeouts of answered calls must not wake the thread.
		scheduler.setRemoveOnCancelPolicy(true);
		return scheduler;
	}

	/**
	 * Logs changes of the evidence and tells peers about them.
	 */
	private final class EvidenceListener implements CrashEvidence.Listener, EndpointLimits.Listener {

		private boolean newsScheduled;

		@Override
		public void news() {
			if (!this.newsScheduled) {
				this.newsScheduled = true;
				Gateway.this.loop.schedule(CRASH_NEWS_DELAY_MILLIS, () -> {
					this.newsScheduled = false;
					Gateway.this.gossip.tellNews();
				});
			}
		}

		@Override
		public void changed(String endpoint, OptionalDouble perSecond) {
			Gateway.this.log.record(perSecond.isPresent() ? LogEvent.ENDPOINT_LIMITED : LogEvent.ENDPOINT_UNLIMITED,
					"endpoint", endpoint, "limit_per_s", perSecond.orElse(0));
		}

		@Override
		public void crashed(String endpoint, Collection<PromptPart> suspects) {
			Gateway.this.registry.counter("endpoint_crashes").inc();
			Gateway.this.log.record(LogEvent.ENDPOINT_CRASHED, "endpoint", endpoint, "parts", suspects);
		}

		@Override
		public void blocked(PromptBlock block) {
			record(LogEvent.PROMPT_PART_BLOCKED, block);
			Gateway.this.dispatcher.partBlocked(block);
		}

		@Override
		public void cleared(PromptBlock block) {
			record(LogEvent.PROMPT_PART_CLEARED, block);
		}

		private void record(LogEvent event, PromptBlock block) {
			Gateway.this.log.record(event, "service", block.part().service(), "part", block.part().part(), "crashes",
					block.crashes(), "level", block.level(), "age_ms", EventLoop.nowMillis() - block.sinceMillis(),
					"duration_ms", block.durationMillis());
		}

	}

	private record ManagedZone(String name, LeaseElection election, RoleCandidacy candidacy, ZonePlanner planner) {

	}

}
