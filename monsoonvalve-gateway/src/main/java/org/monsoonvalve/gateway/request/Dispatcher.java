package org.monsoonvalve.gateway.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

import org.monsoonvalve.admission.process.ShareLoans;
import org.monsoonvalve.admission.request.Reason;
import org.monsoonvalve.admission.request.Verdict;
import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.connection.MemoryBudget;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.Problem;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.connection.Endpoint;
import org.monsoonvalve.gateway.connection.EndpointSet;
import org.monsoonvalve.gateway.process.CrashEvidence;
import org.monsoonvalve.gateway.process.DecisionLog;
import org.monsoonvalve.gateway.process.EndpointLimits;
import org.monsoonvalve.gateway.process.GatewaySettings;
import org.monsoonvalve.gateway.process.PromptBlock;
import org.monsoonvalve.gateway.version.EndpointRecord;

/**
 * Accepts callers' requests and starts an exchange for each one. Confined to the event
 * loop.
 *
 * @author monsoonvalve maintainers
 */
public final class Dispatcher {

	/**
	 * Requests that may be queued at an engine whose slots are all in use; their queueing
	 * time stays below most latency targets.
	 */
	private static final int MAX_QUEUED_AT_ENGINE = 4;

	/**
	 * Requests, running and queued, that a plain endpoint, which is one without an
	 * engine, may hold per slot.
	 */
	private static final int MAX_PLAIN_REQUESTS_PER_SLOT = 3;

	/**
	 * Stall timeout of a started stream, in passes of an engine whose slots are all in
	 * use; a pass produces one event of each stream.
	 */
	private static final double STALL_ENGINE_PASSES = 5;

	/** Minimum stall timeout; shorter gaps are caused by the network. */
	private static final long MIN_STALL_MILLIS = 220;

	/** Stall timeout before the first event; long prompts take 150 ms. */
	private static final long FIRST_EVENT_STALL_MILLIS = 450;

	/**
	 * Stall timeout before the first event at an engine whose slots are all in use, where
	 * a request waits for another one to end.
	 */
	private static final long QUEUED_STALL_MILLIS = 1500;

	/** Stall timeout of idempotent requests at a plain endpoint. */
	private static final long PLAIN_STALL_MILLIS = 900;

	/** Range of the {@code Retry-After} value of refused requests, in seconds. */
	private static final double MIN_RETRY_AFTER_SECONDS = 0.3;

	private static final double MAX_RETRY_AFTER_SECONDS = 0.9;

	/** Part of the largest heap that incomplete responses of endpoints may take. */
	private static final int RESPONSE_HEAP_DIVISOR = 10;

	private final MemoryBudget responseMemory = MemoryBudget.ofHeap(RESPONSE_HEAP_DIVISOR);

	private final EventLoop loop;

	private final HeaderNames names;

	private final EndpointSet endpoints;

	private final GatewaySettings.Bounds bounds;

	private final IntSupplier processCount;

	private final DecisionLog log;

	private final RequestMetrics metrics;

	private final Consumer<EndpointRecord> onStall;

	private final CrashEvidence crashes;

	private final EndpointLimits limits;

	private final Forecaster forecaster;

	private final Map<String, RetryBudget> retryBudgets = new HashMap<>();

	private final DemandRecorder demand = new DemandRecorder(EventLoop::nowMillis);

	private final Set<Exchange> exchanges = new HashSet<>();

	private final ColdRateCondition coldRate;

	private final WaitingRequests waiting;

	/** The conditions in the order in which they are examined. */
	private final List<SendCondition> conditions;

	private final ZoneRouting zones;

	private volatile boolean stopping;

	/**
	 * Creates a dispatcher.
	 * @param loop the event loop that requests are processed on
	 * @param names the names of header fields
	 * @param endpoints the endpoints in use
	 * @param bounds the limits set by the operators
	 * @param processCount returns the number of processes that share the limits
	 * @param log receives the events of requests
	 * @param metrics counts the outcomes of requests
	 * @param onStall receives the endpoints at which requests stall
	 * @param crashes what is known of endpoints that crashed under prompts
	 * @param limits the request rates that endpoints accept
	 * @param loans this process's shares of endpoints and what it borrows
	 */
	public Dispatcher(EventLoop loop, HeaderNames names, EndpointSet endpoints, GatewaySettings.Bounds bounds,
			IntSupplier processCount, DecisionLog log, RequestMetrics metrics, Consumer<EndpointRecord> onStall,
			CrashEvidence crashes, EndpointLimits limits, ShareLoans loans) {
		this.loop = loop;
		this.names = names;
		this.endpoints = endpoints;
		this.bounds = bounds;
		this.processCount = processCount;
		this.log = log;
		this.metrics = metrics;
		this.onStall = onStall;
		this.crashes = crashes;
		this.limits = limits;
		this.coldRate = new ColdRateCondition(bounds, processCount, loans);
		this.conditions = List.of(this.coldRate, this::withinNamedLimit, this::hasRoom);
		this.forecaster = new Forecaster(endpoints, metrics);
		this.waiting = new WaitingRequests(loop, endpoints, this.forecaster::firstEventAtLastSlotMillis, log, metrics);
		this.zones = new ZoneRouting(endpoints, processCount,
				(request, endpoint) -> verdict(request, endpoint).isAdmitted(), this.forecaster, log, metrics);
	}

	/**
	 * Accepts a request.
	 * @param call the request
	 */
	public void accept(IncomingCall call) {
		Router.Match match;
		try {
			if (this.stopping) {
				throw new ServingException(FailureCode.NOT_READY, "this process is shutting down");
			}
			match = Router.match(this.endpoints.view(), call);
		}
		catch (ServingException ex) {
			String requestId = call.headers().get(this.names.requestId()).orElse("");
			this.log.record(LogEvent.REQUEST_REFUSED, "request", requestId, "code", ex.code().code(), "reason",
					ex.getMessage(), "view", this.endpoints.view().position(), "configuration",
					this.endpoints.view().configurationVersion());
			this.metrics.refused(ex.code());
			refuse(call, requestId, ex);
			return;
		}
		Exchange exchange = new Exchange(this, call, match);
		this.exchanges.add(exchange);
		exchange.start();
	}

	/**
	 * Refuses new requests from now on and those that wait for a place, as they might not
	 * end before the process does. Requests at endpoints continue.
	 */
	public void stop() {
		this.stopping = true;
		this.loop.execute(this.waiting::refuseAll);
	}

	boolean stopping() {
		return this.stopping;
	}

	/**
	 * Looks for places for waiting requests, as the endpoints have changed. Must be
	 * called on the event loop.
	 */
	public void endpointsChanged() {
		this.waiting.endpointsChanged();
	}

	/**
	 * Ends the requests in progress with a failure that says whether they may have run;
	 * responses that have begun are aborted. Must be called on the event loop.
	 */
	public void endAll() {
		this.waiting.refuseAll();
		List.copyOf(this.exchanges).forEach(Exchange::processEnds);
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number of requests
	 */
	public int inProgress() {
		return this.exchanges.size();
	}

	/**
	 * Ends the requests that wait for their first events and have a part that is now
	 * blocked, as it would crash their endpoints.
	 * @param block the block
	 */
	public void partBlocked(PromptBlock block) {
		List.copyOf(this.exchanges).forEach((exchange) -> exchange.partBlocked(block));
	}

	/**
	 * Returns the demand of callers.
	 * @return the demand, which must be used on the event loop
	 */
	public DemandRecorder demand() {
		return this.demand;
	}

	// Finds out whether an endpoint crashed under a request whose response was lost
	// before
	// it had begun. The end of an endpoint that was leaving is expected.
	void examine(Attempt attempt, List<PromptPart> parts) {
		Endpoint endpoint = attempt.endpoint();
		if (parts.isEmpty() || endpoint.leaving()) {
			return;
		}
		String incarnation = endpoint.record().incarnation();
		if (this.crashes.lost(incarnation, endpoint.record().address().toString(), endpoint.record().service(), parts,
				attempt.sentMillis())) {
			endpoint.connectAnew().whenComplete((opened, failure) -> this.loop.runInLoop(() -> {
				if (failure != null) {
					this.crashes.crashed(incarnation);
				}
				else {
					this.crashes.alive(incarnation);
					endpoint.release(opened);
				}
			}));
		}
	}

	/**
	 * Records that a request is sent to an endpoint.
	 * @param request the request
	 * @param endpoint the endpoint
	 */
	void taken(RequestProfile request, Endpoint endpoint) {
		this.limits.taken(endpoint.record());
		this.coldRate.taken(request, endpoint, EventLoop.nowMillis());
	}

	/**
	 * Prepares for more requests like one that is about to be sent.
	 * @param request the request
	 * @param candidates the endpoints that may serve it
	 */
	void anticipate(RequestProfile request, List<Endpoint> candidates) {
		this.coldRate.seek(request, candidates, EventLoop.nowMillis());
	}

	/**
	 * Returns the budget of the responses that are kept until more of them has arrived.
	 * @return the budget
	 */
	public MemoryBudget responseMemory() {
		return this.responseMemory;
	}

	Forecaster forecaster() {
		return this.forecaster;
	}

	EndpointLimits limits() {
		return this.limits;
	}

	WaitingRequests waiting() {
		return this.waiting;
	}

	CrashEvidence crashes() {
		return this.crashes;
	}

	void ended(Exchange exchange) {
		this.exchanges.remove(exchange);
	}

	void refuse(IncomingCall call, String requestId, ServingException failure) {
		Headers headers = Headers.of("Content-Type", Problem.MEDIA_TYPE).with(this.names.requestId(), requestId);
		if (failure.code().retryable()) {
			headers = headers.with("Retry-After", String.format(Locale.ROOT, "%.2f", retryAfterSeconds(failure)));
		}
		call.reply(failure.code().status(), headers, Problem.of(failure).encode());
	}

	private static double retryAfterSeconds(ServingException failure) {
		if (failure instanceof PromptBlockedException blocked) {
			return blocked.remainingSeconds();
		}
		if (failure instanceof QueueRefusedException refused) {
			return refused.returnSeconds();
		}
		return ThreadLocalRandom.current().nextDouble(MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS);
	}

	boolean isFull(Endpoint endpoint) {
		return endpoint.load(EventLoop.nowMillis()) >= endpoint.record().slots();
	}

	/**
	 * Tells whether one more request may be sent to an endpoint.
	 * @param request the request
	 * @param endpoint the endpoint
	 * @return the first refusal among the conditions, or the admission
	 */
	Verdict verdict(RequestProfile request, Endpoint endpoint) {
		long now = EventLoop.nowMillis();
		for (SendCondition condition : this.conditions) {
			Verdict verdict = condition.verdict(request, endpoint, now);
			if (!verdict.isAdmitted()) {
				return verdict;
			}
		}
		return Verdict.admitted();
	}

	/**
	 * Selects an endpoint for a request.
	 * @param request the request
	 * @param candidates the endpoints that serve the request
	 * @param condition the conditions under which an endpoint may get it
	 * @param mayHaveRun whether an earlier attempt may have run
	 * @return the endpoint, empty if none may get it
	 */
	Optional<Endpoint> choose(RequestProfile request, List<Endpoint> candidates, Predicate<Endpoint> condition,
			boolean mayHaveRun) {
		return request.batchSensitive() ? this.zones.choose(request, candidates, condition, mayHaveRun)
				: this.endpoints.choose(candidates, condition);
	}

	private Verdict withinNamedLimit(RequestProfile request, Endpoint endpoint, long nowMillis) {
		return this.limits.mayTake(endpoint.record()) ? Verdict.admitted() : Verdict.refused(Reason.ENDPOINT_LIMIT);
	}

	// At a batch-sensitive engine, a request that can't meet its target anywhere takes a
	// free slot. The endpoint with the lowest forecast is chosen, so that an endpoint
	// with
	// a free slot is chosen over one that meets the target only if it meets it too.
	private Verdict hasRoom(RequestProfile request, Endpoint endpoint, long nowMillis) {
		if (this.forecaster.decides(request)) {
			boolean slotFree = endpoint.assumedLoad(this.processCount.getAsInt(), nowMillis) < Math.max(1,
					endpoint.record().slots());
			return (slotFree || this.forecaster.meetsTarget(request, endpoint, nowMillis)) ? Verdict.admitted()
					: Verdict.refused(Reason.FULL);
		}
		int slots = Math.max(1, endpoint.record().slots());
		boolean engine = endpoint.record().membership().isPresent();
		int maxRequests = engine ? slots + MAX_QUEUED_AT_ENGINE : slots * MAX_PLAIN_REQUESTS_PER_SLOT;
		return (endpoint.assumedLoad(this.processCount.getAsInt(), nowMillis) < maxRequests) ? Verdict.admitted()
				: Verdict.refused(Reason.FULL);
	}

	/**
	 * Returns the stall timeout of a retryable request: the time without response data
	 * after which it is sent to another endpoint.
	 * @param match the route and service of the request
	 * @param endpoint the endpoint
	 * @param started whether relaying the response to the caller has begun
	 * @return the stall timeout, in milliseconds
	 */
	long stallMillis(Router.Match match, Endpoint endpoint, boolean started) {
		return match.service().engine().map((engine) -> {
			if (!started) {
				return isFull(endpoint) ? QUEUED_STALL_MILLIS : FIRST_EVENT_STALL_MILLIS;
			}
			return Math.max(MIN_STALL_MILLIS, Math.round(engine.timings().fullPassMillis() * STALL_ENGINE_PASSES));
		}).orElse(PLAIN_STALL_MILLIS);
	}

	void stalled(Endpoint endpoint) {
		this.onStall.accept(endpoint.record());
	}

	RetryBudget retryBudget(String service) {
		return this.retryBudgets.computeIfAbsent(service, (absent) -> new RetryBudget(this.bounds.retryRatio(),
				this.bounds.retrySlack(), this.bounds.retryWindowMillis(), this.processCount, EventLoop::nowMillis));
	}

	EventLoop loop() {
		return this.loop;
	}

	HeaderNames names() {
		return this.names;
	}

	EndpointSet endpoints() {
		return this.endpoints;
	}

	DecisionLog log() {
		return this.log;
	}

	RequestMetrics metrics() {
		return this.metrics;
	}

}
