package org.monsoonvalve.gateway.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.Problem;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.connection.Endpoint;
import org.monsoonvalve.gateway.connection.EndpointSet;
import org.monsoonvalve.gateway.process.DecisionLog;
import org.monsoonvalve.gateway.process.GatewaySettings;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.ServiceProfile;

/**
 * Receives callers' requests and starts an exchange for each. Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
public final class Dispatcher {

	/**
	 * Requests that may wait at a full engine; their wait stays under most objectives.
	 */
	private static final int ENGINE_QUEUE = 4;

	/**
	 * Requests at a plain endpoint for each of its slots, running and waiting together.
	 */
	private static final int PLAIN_LOAD_PER_SLOT = 3;

	/** Silence of a running stream, in passes of a full engine, that means a stall. */
	private static final double STALL_PASSES = 5;

	/** Least silence that means a stall; shorter ones come from the network. */
	private static final long LEAST_STALL_MILLIS = 220;

	/** Silence before the first event that means a stall; long prompts take 150 ms. */
	private static final long FIRST_EVENT_STALL_MILLIS = 450;

	/** The same at a full engine, where a request waits for another one to end. */
	private static final long QUEUED_STALL_MILLIS = 1500;

	/** Silence of a plain endpoint after which an idempotent request goes elsewhere. */
	private static final long PLAIN_STALL_MILLIS = 900;

	/** Bounds of the time after which refused callers may return, in seconds. */
	private static final double LEAST_RETRY_SECONDS = 0.3;

	private static final double MOST_RETRY_SECONDS = 0.9;

	private final EventLoop loop;

	private final HeaderNames names;

	private final EndpointSet endpoints;

	private final GatewaySettings.Bounds bounds;

	private final IntSupplier processes;

	private final DecisionLog log;

	private final RequestMetrics metrics;

	private final Consumer<EndpointRecord> onStall;

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	private final Set<Exchange> running = new HashSet<>();

	private volatile boolean stopping;

	/**
	 * Creates a dispatcher.
	 * @param loop the thread that everything here is confined to
	 * @param names the names of header fields
	 * @param endpoints the endpoints in use
	 * @param bounds the bounds that operators agreed on
	 * @param processes counts the processes that share those bounds
	 * @param log receives decisions
	 * @param metrics counts outcomes
	 * @param onStall is told of endpoints at which requests stand still
	 */
	public Dispatcher(EventLoop loop, HeaderNames names, EndpointSet endpoints, GatewaySettings.Bounds bounds,
			IntSupplier processes, DecisionLog log, RequestMetrics metrics, Consumer<EndpointRecord> onStall) {
		this.loop = loop;
		this.names = names;
		this.endpoints = endpoints;
		this.bounds = bounds;
		this.processes = processes;
		this.log = log;
		this.metrics = metrics;
		this.onStall = onStall;
	}

	/**
	 * Serves a request.
	 * @param call the request
	 */
	public void accept(IncomingCall call) {
		Router.Match match;
		try {
			if (this.stopping) {
				throw new ServingException(FailureCode.NOT_READY, "this process is about to stop");
			}
			match = Router.match(this.endpoints.view(), call);
		}
		catch (ServingException ex) {
			String requestId = call.headers().get(this.names.requestId()).orElse("");
			this.log.record(LogEvent.REQUEST_REFUSED, "request", requestId, "code", ex.code().code(), "reason",
					ex.getMessage(), "view", this.endpoints.view().revision());
			this.metrics.refused(ex.code());
			refuse(call, requestId, ex);
			return;
		}
		Exchange exchange = new Exchange(this, call, match);
		this.running.add(exchange);
		exchange.start();
	}

	/**
	 * Refuses requests from now on, as they might not end before the process does.
	 * Requests in progress go on.
	 */
	public void stop() {
		this.stopping = true;
	}

	/**
	 * Counts the requests in progress.
	 * @return the requests
	 */
	public int inProgress() {
		return this.running.size();
	}

	void ended(Exchange exchange) {
		this.running.remove(exchange);
	}

	void refuse(IncomingCall call, String requestId, ServingException failure) {
		Headers headers = Headers.of("Content-Type", Problem.MEDIA_TYPE).with(this.names.requestId(), requestId);
		if (failure.code().retryable()) {
			double seconds = ThreadLocalRandom.current().nextDouble(LEAST_RETRY_SECONDS, MOST_RETRY_SECONDS);
			headers = headers.with("Retry-After", String.format(Locale.ROOT, "%.2f", seconds));
		}
		call.reply(failure.code().status(), headers, Problem.of(failure).encode());
	}

	boolean full(Endpoint endpoint) {
		return endpoint.load(EventLoop.nowMillis()) >= endpoint.record().slots();
	}

	/**
	 * Tells whether an endpoint may be sent one more request.
	 * @param service the endpoint's service
	 * @param endpoint the endpoint
	 * @return {@code false} if it is full, or if the request would exceed this process's
	 * part of what it bears while it is cold, which it may become unannounced
	 */
	boolean admits(ServiceProfile service, Endpoint endpoint) {
		long now = EventLoop.nowMillis();
		if (service.coldRequestsPerSecond() > 0) {
			double bound = service.coldRequestsPerSecond() * this.bounds.coldOvershoot() + this.bounds.coldSlack();
			if (endpoint.sentInLastSecond(now) >= Math.max(1, Math.floor(bound / this.processes.getAsInt()))) {
				return false;
			}
		}
		int slots = Math.max(1, endpoint.record().slots());
		boolean engine = endpoint.record().membership().isPresent();
		int most = engine ? slots + ENGINE_QUEUE : slots * PLAIN_LOAD_PER_SLOT;
		return endpoint.load(now) < most;
	}

	/**
	 * Tells how long an endpoint may be silent before a request that may be repeated goes
	 * elsewhere.
	 * @param match where the request goes
	 * @param endpoint the endpoint
	 * @param begun whether its answer has begun
	 * @return the longest silence, in milliseconds
	 */
	long stallMillis(Router.Match match, Endpoint endpoint, boolean begun) {
		return match.service().engine().map((engine) -> {
			if (!begun) {
				return full(endpoint) ? QUEUED_STALL_MILLIS : FIRST_EVENT_STALL_MILLIS;
			}
			double passMillis = engine.tokensPerEvent()
					* (engine.stepMillis() + engine.stepMillisPerSequence() * engine.slots());
			return Math.max(LEAST_STALL_MILLIS, Math.round(passMillis * STALL_PASSES));
		}).orElse(PLAIN_STALL_MILLIS);
	}

	void stalled(Endpoint endpoint) {
		this.onStall.accept(endpoint.record());
	}

	RetryBudget budget(String service) {
		return this.budgets.computeIfAbsent(service, (absent) -> new RetryBudget(this.bounds.retryRatio(),
				this.bounds.retrySlack(), this.bounds.retryWindowMillis(), this.processes, EventLoop::nowMillis));
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
