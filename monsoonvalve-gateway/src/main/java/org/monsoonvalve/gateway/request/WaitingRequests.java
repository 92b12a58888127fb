package org.monsoonvalve.gateway.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.ToDoubleFunction;

import org.monsoonvalve.admission.request.QueueExit;
import org.monsoonvalve.admission.request.QueuedRequest;
import org.monsoonvalve.admission.request.RequestQueue;
import org.monsoonvalve.admission.request.WaitLimits;
import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.gateway.connection.Endpoint;
import org.monsoonvalve.gateway.connection.EndpointSet;
import org.monsoonvalve.gateway.process.DecisionLog;
import org.monsoonvalve.gateway.version.Workspace;

/**
 * The requests that wait for a place at an endpoint, in a queue for each service and
 * model. Looks for places whenever capacity may have become available. Confined to the
 * event loop.
 *
 * @author monsoonvalve maintainers
 */
final class WaitingRequests {

	/**
	 * Interval of checks while requests wait, for what no event announces: limits per
	 * second and the ages of reports. It is small against the targets, of which the
	 * shortest is 250 ms.
	 */
	private static final long CHECK_INTERVAL_MILLIS = 20;

	private final EventLoop loop;

	private final EndpointSet endpoints;

	private final ToDoubleFunction<RequestProfile> firstEventMillis;

	private final DecisionLog log;

	private final RequestMetrics metrics;

	private final Map<Demand, RequestQueue<Exchange>> queues = new HashMap<>();

	/** Written on the event loop only, read by metrics. */
	private volatile int length;

	private boolean checkQueued;

	private boolean checkScheduled;

	/**
	 * Creates queues without requests.
	 * @param loop the event loop that requests are processed on
	 * @param endpoints the endpoints in use
	 * @param firstEventMillis forecasts the time to the first event of a request that
	 * gets the last free slot of an engine, in milliseconds
	 * @param log receives an event for each request that joins or leaves a queue
	 * @param metrics receives the lengths, waits and outcomes
	 */
	WaitingRequests(EventLoop loop, EndpointSet endpoints, ToDoubleFunction<RequestProfile> firstEventMillis,
			DecisionLog log, RequestMetrics metrics) {
		this.loop = loop;
		this.endpoints = endpoints;
		this.firstEventMillis = firstEventMillis;
		this.log = log;
		this.metrics = metrics;
		metrics.queueLength(this::length);
	}

	/**
	 * Returns the number of waiting requests. May be called on any thread.
	 * @return the number of requests
	 */
	int length() {
		return this.length;
	}

	private void updateLength() {
		this.length = this.queues.values().stream().mapToInt(RequestQueue::length).sum();
	}

	/**
	 * Tells whether requests for the same service and model wait, so that a new one takes
	 * its place in their order instead of overtaking them.
	 * @param profile the new request
	 * @return {@code true} if the queue isn't empty
	 */
	boolean someWaitFor(RequestProfile profile) {
		RequestQueue<Exchange> queue = this.queues.get(Demand.of(profile));
		return queue != null && !queue.isEmpty();
	}

	/**
	 * Adds a request and looks for places soon.
	 * @param exchange the request
	 * @param heldBytes the memory that its content occupies, in bytes
	 * @param tried whether it was sent to an endpoint before
	 * @param cause why it isn't sent at once
	 */
	void add(Exchange exchange, long heldBytes, boolean tried, Object cause) {
		RequestProfile profile = exchange.profile();
		QueuedRequest description = describe(profile, heldBytes, tried);
		RequestQueue<Exchange> queue = this.queues.computeIfAbsent(Demand.of(profile),
				(absent) -> RequestQueue.of(() -> ThreadLocalRandom.current().nextDouble()));
		long now = EventLoop.nowMillis();
		queue.add(exchange, description, now);
		updateLength();
		this.log.record(LogEvent.REQUEST_QUEUED, "request", exchange.requestId(), "cause", cause, "waiting",
				queue.length(), "in_time_ms", Math.round(description.limits().inTimeUntilMillis()) - now, "tried",
				tried);
		checkSoon();
	}

	private QueuedRequest describe(RequestProfile profile, long heldBytes, boolean tried) {
		WaitLimits limits = new WaitLimits(profile.startMillis(), profile.route().targetLatencyMillis(),
				profile.route().timeoutMillis(), profile.deadlineMillis(),
				this.firstEventMillis.applyAsDouble(profile));
		return new QueuedRequest(profile.workspace().map(Workspace::name).orElse(""), profile.size(), profile.urgency(),
				limits, heldBytes, tried);
	}

	/**
	 * Removes a request that needs no place any more. Does nothing if it doesn't wait.
	 * @param exchange the request
	 * @param reason the reason
	 */
	void remove(Exchange exchange, QueueExit reason) {
		RequestQueue<Exchange> queue = this.queues.get(Demand.of(exchange.profile()));
		if (queue != null) {
			queue.remove(exchange, reason, EventLoop.nowMillis())
				.ifPresent((waitedMillis) -> left(exchange, reason, waitedMillis, 0));
		}
	}

	/**
	 * Looks for places soon, as a request at an endpoint has ended or the endpoint has
	 * reported its load.
	 * @param endpoint the endpoint
	 */
	void capacityChanged(Endpoint endpoint) {
		String service = endpoint.record().service();
		if (this.queues.entrySet()
			.stream()
			.anyMatch((entry) -> !entry.getValue().isEmpty() && entry.getKey().service().equals(service))) {
			checkSoon();
		}
	}

	/**
	 * Looks for places, as the endpoints have changed. Requests that no endpoint serves
	 * any longer are refused.
	 */
	void endpointsChanged() {
		if (length() > 0) {
			check();
		}
	}

	/**
	 * Refuses all waiting requests, as the process stops.
	 */
	void refuseAll() {
		long now = EventLoop.nowMillis();
		List.copyOf(this.queues.values())
			.stream()
			.flatMap((queue) -> queue.takeAll(QueueExit.PROCESS_STOPS, now).stream())
			.toList()
			.forEach((refusal) -> {
				left(refusal.request(), refusal.reason(), refusal.waitedMillis(), 0);
				refusal.request().processEnds();
			});
	}

	// Several events of one pass of the event loop cause one check.
	private void checkSoon() {
		if (!this.checkQueued) {
			this.checkQueued = true;
			this.loop.execute(() -> {
				this.checkQueued = false;
				check();
			});
		}
	}

	private void check() {
		List.copyOf(this.queues.entrySet())
			.stream()
			.filter((entry) -> !entry.getValue().isEmpty())
			.forEach((entry) -> check(entry.getKey(), entry.getValue()));
		if (!this.checkScheduled && length() > 0) {
			this.checkScheduled = true;
			this.loop.schedule(CHECK_INTERVAL_MILLIS, () -> {
				this.checkScheduled = false;
				check();
			});
		}
	}

	private void check(Demand demand, RequestQueue<Exchange> queue) {
		long now = EventLoop.nowMillis();
		if (this.endpoints.eligible(demand.service(), demand.model()).isEmpty()) {
			queue.takeAll(QueueExit.NO_ENDPOINT, now).forEach(this::refuse);
			return;
		}
		for (Optional<RequestQueue.Placement<Exchange, Endpoint>> next = placeNext(queue, now); next
			.isPresent(); next = placeNext(queue, now)) {
			Exchange exchange = next.get().request();
			left(exchange, QueueExit.PLACED, next.get().waitedMillis(), 0);
			exchange.placed(next.get().place());
		}
		queue.takeRefused(now).forEach(this::refuse);
	}

	private static Optional<RequestQueue.Placement<Exchange, Endpoint>> placeNext(RequestQueue<Exchange> queue,
			long nowMillis) {
		return queue.takeNext(Exchange::findEndpoint, nowMillis);
	}

	private void refuse(RequestQueue.Refusal<Exchange> refusal) {
		if (refusal.request().done()) {
			return;
		}
		left(refusal.request(), refusal.reason(), refusal.waitedMillis(), refusal.returnMillis());
		refusal.request().fail(new QueueRefusedException(refusal));
	}

	private void left(Exchange exchange, QueueExit reason, long waitedMillis, double returnMillis) {
		updateLength();
		exchange.leftQueue();
		this.metrics.leftQueue(exchange.profile().route(), reason, waitedMillis);
		this.log.record(LogEvent.REQUEST_DEQUEUED, "request", exchange.requestId(), "reason", reason, "waited_ms",
				waitedMillis, "waiting", length(), "return_ms", Math.round(returnMillis));
	}

	private record Demand(String service, Optional<String> model) {

		private static Demand of(RequestProfile profile) {
			return new Demand(profile.service().name(), profile.model());
		}

	}

}
