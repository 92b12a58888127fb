package org.monsoonvalve.gateway.process;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.HttpLimits;
import org.monsoonvalve.core.connection.HttpServer;
import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.process.ElapsedClock;
import org.monsoonvalve.core.process.LeaseElection;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.process.NodeId;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.connection.Endpoint;
import org.monsoonvalve.gateway.connection.EndpointSet;
import org.monsoonvalve.gateway.request.Dispatcher;
import org.monsoonvalve.gateway.request.RequestMetrics;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.Member;

/**
 * A gateway process: takes callers' requests and, while it holds the role, plans the
 * replica groups of an availability zone.
 *
 * @author monsoonvalve maintainers
 */
public final class Gateway {

	/** Longest time to open a connection; zones are a few milliseconds apart. */
	private static final long CONNECT_TIMEOUT_MILLIS = 300;

	/** Time between two looks at what a planner has to do. */
	private static final long PLAN_MILLIS = 250;

	/** Time between two attempts to get or renew a role. */
	private static final long ELECTION_MILLIS = 700;

	/** Time between two looks for idle connections. */
	private static final long IDLE_SWEEP_MILLIS = 1000;

	/** Largest header section and body; the configuration's limits are below it. */
	private static final HttpLimits LIMITS = new HttpLimits(64 * 1024, 4 * 1024 * 1024 + 64 * 1024, 1024 * 1024);

	/**
	 * Least time from the signal to stop to the end, in which the balancer notices that
	 * this process is not ready: two checks a second apart, and one more for those under
	 * way.
	 */
	private static final long LEAST_DRAIN_MILLIS = 3500;

	/**
	 * Time after the signal to stop at which requests are no longer taken: the balancer
	 * has turned elsewhere by then, or has nowhere else to go, and what begins later
	 * might not end in time.
	 */
	private static final long LATEST_START_MILLIS = 2800;

	/** Part of the grace time that is left for the end of the process itself. */
	private static final long EXIT_MARGIN_MILLIS = 1200;

	/** Processes of a zone that are assumed before any is known. */
	private static final int LEAST_PROCESSES_PER_ZONE = 2;

	private static final long POLL_NANOS = 20_000_000L;

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private static final int NOT_FOUND = 404;

	private final PlatformBinding platform;

	private final MetricRegistry registry = new MetricRegistry();

	private final AtomicReference<FleetView> view = new AtomicReference<>(FleetView.empty());

	private final ScheduledExecutorService control = daemon("control");

	private final ScheduledExecutorService elections = daemon("elections");

	private final EventLoop loop;

	private final DecisionLog log;

	private final Dispatcher dispatcher;

	private final EndpointSet endpoints;

	private final FactSync facts;

	private final Membership membership;

	private final List<Zone> zones;

	private final HttpServer callers;

	private final AtomicReference<GatewaySettings> settings;

	private volatile boolean draining;

	private volatile int mostProcesses;

	private Gateway(PlatformBinding platform, GatewaySettings settings, DecisionLog log) {
		this.platform = platform;
		this.settings = new AtomicReference<>(settings);
		this.log = log;
		this.loop = EventLoop
			.start((failure) -> log.record(LogEvent.TASK_FAILED, "task", "event loop", "reason", failure.toString()));
		HttpClient client = HttpClient.start(this.loop, CONNECT_TIMEOUT_MILLIS);
		FactStore store = platform.store(client, settings, (name) -> this.registry.counter("store." + name).inc());
		EngineControl engines = platform.engines(client, (name) -> this.registry.counter("orders." + name).inc());
		this.endpoints = new EndpointSet(settings.zone(),
				(record) -> new Endpoint(record, client, this.registry.counter("endpoint_connections")::inc), log);
		this.dispatcher = new Dispatcher(this.loop, platform.headerNames(), this.endpoints, settings.limits(),
				this::processes, log, new RequestMetrics(this.registry), this::suspect);
		ElapsedClock clock = ElapsedClock.system();
		this.zones = settings.zones().stream().map((zone) -> {
			LeaseElection election = LeaseElection.of(store, clock, "planner-" + zone,
					NodeId.of(settings.name() + "@" + settings.peers()), (failure) -> log.record(LogEvent.TASK_FAILED,
							"task", "election for " + zone, "reason", failure.getMessage()));
			return new Zone(zone, election,
					new ZonePlanner(zone, settings, store, engines, election, this.control, log));
		}).toList();
		this.facts = new FactSync(store, platform.decoder(), settings, this.control, log, this::changed);
		this.membership = new Membership(store, new Member(settings.name(), settings.zone(), settings.peers()),
				this.control, log);
		HttpServer.start(this.loop, settings.readiness(), HttpLimits.defaults(), this::readiness);
		HttpServer.start(this.loop, settings.metrics(), HttpLimits.defaults(), this::metrics);
		this.callers = HttpServer.start(this.loop, settings.callers(), LIMITS, this.dispatcher::accept);
		this.registry.register("view_revision", (Gauge<Long>) () -> this.view.get().revision());
		this.registry.register("requests_in_progress", (Gauge<Integer>) this.dispatcher::inProgress);
		this.registry.register("log_lines_dropped", (Gauge<Long>) log::dropped);
	}

	/**
	 * Starts a gateway.
	 * @param platform the platform
	 * @param log receives decisions
	 * @return the running gateway
	 */
	public static Gateway start(PlatformBinding platform, DecisionLog log) {
		GatewaySettings settings = platform.settings();
		Gateway gateway = new Gateway(platform, settings, log);
		gateway.begin();
		log.record(LogEvent.GATEWAY_STARTED, "zone", settings.zone(), "callers", settings.callers(), "readiness",
				settings.readiness(), "peers", settings.peers(), "metrics", settings.metrics());
		return gateway;
	}

	private void begin() {
		this.facts.start();
		this.membership.start();
		this.control.scheduleWithFixedDelay(
				() -> guarded("plan", () -> this.zones.forEach((zone) -> zone.planner().step())), PLAN_MILLIS,
				PLAN_MILLIS, TimeUnit.MILLISECONDS);
		this.elections.scheduleWithFixedDelay(() -> guarded("election", this::elect), 0, ELECTION_MILLIS,
				TimeUnit.MILLISECONDS);
		this.loop.scheduleWithFixedDelay(IDLE_SWEEP_MILLIS, this::closeIdle);
	}

	private void guarded(String task, Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			this.log.record(LogEvent.TASK_FAILED, "task", task, "reason", String.valueOf(ex));
		}
	}

	// Registrations may end while the store is away, and their processes go on, so the
	// most that were ever seen share what all may use together.
	private int processes() {
		return Math.max(this.mostProcesses, LEAST_PROCESSES_PER_ZONE * this.settings.get().zones().size());
	}

	private void changed(FleetView newer) {
		this.view.set(newer);
		this.mostProcesses = Math.max(this.mostProcesses, newer.members().size());
		this.loop.execute(() -> this.endpoints.update(newer));
		this.zones.forEach((zone) -> guarded("plan", () -> zone.planner().update(newer)));
	}

	private void suspect(EndpointRecord endpoint) {
		this.control.execute(
				() -> guarded("probe members", () -> this.zones.forEach((zone) -> zone.planner().suspect(endpoint))));
	}

	/**
	 * Seeks the role of planner for the own zone, and for zones that have no process.
	 */
	private void elect() {
		FleetView known = this.view.get();
		if (this.draining || known.revision() == 0) {
			return;
		}
		this.zones.forEach((zone) -> {
			boolean own = zone.name().equals(this.settings.get().zone());
			boolean unattended = !known.members().isEmpty()
					&& known.members().values().stream().noneMatch((member) -> member.zone().equals(zone.name()));
			String holder = known.roleHolders().get("planner-" + zone.name());
			boolean vacant = holder == null || zone.election().succeeds(holder);
			zone.election().tick((own || unattended) && vacant);
		});
	}

	private void closeIdle() {
		this.view.get()
			.configuration()
			.ifPresent((configuration) -> this.callers.closeIdle(configuration.limits().idleTimeoutMillis(),
					configuration.limits().headerTimeoutMillis()));
	}

	private void readiness(IncomingCall call) {
		boolean known = call.path().equals(this.platform.readinessPath());
		boolean ready = !this.draining && this.view.get().configuration().isPresent();
		call.reply(known ? (ready ? OK : UNAVAILABLE) : NOT_FOUND, Headers.empty(), new byte[0]);
	}

	private void metrics(IncomingCall call) {
		call.reply(OK, Headers.of("Content-Type", "text/plain; charset=utf-8"),
				MetricsText.of(this.registry).getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Reads the settings again. Addresses and bounds stay those of the start.
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
	 * Stops taking new callers, finishes the requests in progress and ends, within the
	 * grace time.
	 */
	public void stop() {
		long startMillis = EventLoop.nowMillis();
		this.draining = true;
		this.callers.drain();
		this.log.record(LogEvent.GATEWAY_DRAINING, "in_progress", this.dispatcher.inProgress());
		this.membership.leave();
		this.zones.forEach((zone) -> guarded("resign", zone.election()::resign));
		long latestMillis = startMillis + this.settings.get().limits().graceMillis() - EXIT_MARGIN_MILLIS;
		while (EventLoop.nowMillis() < startMillis + LATEST_START_MILLIS) {
			LockSupport.parkNanos(POLL_NANOS);
		}
		this.dispatcher.stop();
		while (EventLoop.nowMillis() < startMillis + LEAST_DRAIN_MILLIS
				|| (this.callers.callsInProgress() > 0 && EventLoop.nowMillis() < latestMillis)) {
			LockSupport.parkNanos(POLL_NANOS);
		}
		this.log.record(LogEvent.GATEWAY_STOPPED, "in_progress", this.callers.callsInProgress());
		this.callers.close();
		this.facts.close();
	}

	private static ScheduledExecutorService daemon(String name) {
		return Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		});
	}

	private record Zone(String name, LeaseElection election, ZonePlanner planner) {

	}

}
