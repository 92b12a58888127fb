package org.monsoonvalve.gateway.request;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.connection.Endpoint;
import org.monsoonvalve.gateway.version.Route;

/**
 * Takes one request from its caller to endpoints and the answer back. A request that may
 * run once at most is sent again only after an endpoint has said that it did not run it;
 * a stream goes on at another endpoint after the last whole event. Confined to the event
 * loop.
 *
 * @author monsoonvalve maintainers
 */
final class Exchange {

	/** Sends of one request, counting those that endpoints did not run. */
	private static final int MAX_SENDS = 4;

	private final Dispatcher dispatcher;

	private final IncomingCall call;

	private final Router.Match match;

	private final Route route;

	private final String requestId;

	private final Optional<String> model;

	private final long startMillis = EventLoop.nowMillis();

	private final long deadlineMillis;

	private final Set<Endpoint> tried = new HashSet<>();

	private Attempt current;

	private EventLoop.Timer deadline;

	private int sends;

	private int runs;

	private boolean mayHaveRun;

	private boolean done;

	private final CallerAnswer answer;

	Exchange(Dispatcher dispatcher, IncomingCall call, Router.Match match) {
		this.dispatcher = dispatcher;
		this.call = call;
		this.match = match;
		this.route = match.route();
		HeaderNames names = dispatcher.names();
		this.requestId = call.headers().get(names.requestId()).orElse("");
		this.answer = CallerAnswer.of(call, call.headers().get(names.lastEventId()));
		this.model = match.service().engine().isPresent() ? call.headers().get(names.model()) : Optional.empty();
		long asked = call.headers()
			.get(names.deadlineMillis())
			.filter((text) -> text.matches("[0-9]{1,9}"))
			.map(Long::valueOf)
			.orElse(this.route.timeoutMillis());
		this.deadlineMillis = this.startMillis + Math.min(asked, this.route.timeoutMillis());
	}

	void start() {
		this.call.onAbandoned(() -> this.dispatcher.loop().runInLoop(this::abandoned));
		this.deadline = this.dispatcher.loop().schedule(this.deadlineMillis - this.startMillis, this::expired);
		this.dispatcher.budget(this.match.service().name()).request();
		sendNext("first");
	}

	private void sendNext(String reason) {
		List<Endpoint> candidates = this.dispatcher.endpoints().eligible(this.match.service().name(), this.model);
		Optional<Endpoint> chosen = this.dispatcher.endpoints()
			.choose(candidates, (endpoint) -> !this.tried.contains(endpoint)
					&& this.dispatcher.admits(this.match.service(), endpoint));
		if (chosen.isEmpty()) {
			giveUp(new ServingException(FailureCode.NO_CAPACITY,
					candidates.isEmpty() ? "no endpoint serves this" : "all endpoints are full"), candidates.size());
			return;
		}
		Endpoint endpoint = chosen.get();
		this.tried.add(endpoint);
		this.sends++;
		this.dispatcher.log()
			.record((this.sends == 1) ? LogEvent.REQUEST_SENT : LogEvent.REQUEST_SENT_AGAIN, "request", this.requestId,
					"endpoint", endpoint.record().id(), "reason", reason, "candidates", candidates.size(), "load",
					endpoint.load(EventLoop.nowMillis()), "view", this.dispatcher.endpoints().view().revision());
		Attempt attempt = new Attempt(this, this.dispatcher, endpoint);
		this.current = attempt;
		attempt.connect();
	}

	// Goes on after an endpoint certainly did not run the request. Requests that arrived
	// somewhere and were turned away count as repeats, too.
	void notRun(String reason, boolean arrived) {
		if (this.done) {
			return;
		}
		boolean allowed = !arrived || this.dispatcher.budget(this.match.service().name()).tryRepeat();
		if (!allowed || this.sends >= MAX_SENDS || EventLoop.nowMillis() >= this.deadlineMillis) {
			giveUp(new ServingException(FailureCode.NO_CAPACITY, "endpoints did not take the request: " + reason), 0);
			return;
		}
		sendNext(reason);
	}

	// Goes on after an endpoint may have run the request without a whole answer.
	void lost(Attempt attempt, String reason) {
		if (this.done) {
			return;
		}
		attempt.endpoint().suspect();
		if (repeatable()) {
			sendNext(reason);
		}
		else {
			giveUp(new ServingException(FailureCode.ENDPOINT_LOST, reason), 0);
		}
	}

	private boolean repeatable() {
		return this.route.repeatable() && this.runs < this.route.maxEndpoints() && this.sends < MAX_SENDS
				&& EventLoop.nowMillis() < this.deadlineMillis
				&& this.dispatcher.budget(this.match.service().name()).tryRepeat();
	}

	void giveUp(ServingException failure) {
		giveUp(failure, 0);
	}

	private void giveUp(ServingException failure, int candidates) {
		end();
		ServingException said = this.mayHaveRun ? failure.afterSending() : failure;
		this.dispatcher.log()
			.record(this.mayHaveRun ? LogEvent.REQUEST_FAILED : LogEvent.REQUEST_REFUSED, "request", this.requestId,
					"code", said.code().code(), "reason", failure.getMessage(), "candidates", candidates, "sends",
					this.sends, "age_ms", EventLoop.nowMillis() - this.startMillis, "view",
					this.dispatcher.endpoints().view().revision());
		this.dispatcher.metrics().failed(this.route, said.code());
		if (this.answer.begun()) {
			this.call.abort();
		}
		else {
			this.dispatcher.refuse(this.call, this.requestId, said);
		}
	}

	private void expired() {
		if (!this.done) {
			giveUp(new ServingException(this.mayHaveRun ? FailureCode.TIMEOUT : FailureCode.NO_CAPACITY,
					"the deadline has passed"), 0);
		}
	}

	private void abandoned() {
		if (!this.done) {
			end();
			this.dispatcher.metrics().abandoned(this.route);
			this.dispatcher.log()
				.record(LogEvent.REQUEST_ABANDONED, "request", this.requestId, "age_ms",
						EventLoop.nowMillis() - this.startMillis, "sends", this.sends);
		}
	}

	void answered(int status) {
		long now = EventLoop.nowMillis();
		end();
		this.dispatcher.metrics()
			.answered(this.route, status, this.answer.firstByteMillis().orElse(now) - this.startMillis,
					now - this.startMillis);
		this.dispatcher.log()
			.record(LogEvent.REQUEST_ANSWERED, "request", this.requestId, "status", status, "sends", this.sends,
					"first_ms",
					this.answer.firstByteMillis().isPresent()
							? this.answer.firstByteMillis().getAsLong() - this.startMillis : -1,
					"gap_ms", this.answer.longestGapMillis(), "age_ms", now - this.startMillis);
	}

	private void end() {
		this.done = true;
		this.deadline.cancel();
		if (this.current != null) {
			this.current.stop();
			this.current = null;
		}
		this.dispatcher.ended(this);
	}

	HttpRequest callFor(Endpoint endpoint) {
		HeaderNames names = this.dispatcher.names();
		Headers headers = ForwardedHeaders.ofRequest(this.call.headers(), names)
			.with(names.deadlineMillis(), String.valueOf(Math.max(1, leftMillis())))
			.with(names.expectedEndpoint(), endpoint.record().id());
		if (this.match.workspace().isPresent()) {
			headers = headers.with(names.workspace(), this.match.workspace().get().name());
		}
		Optional<String> lastEventId = this.answer.lastEventId();
		if (lastEventId.isPresent()) {
			headers = headers.with(names.lastEventId(), lastEventId.get());
		}
		return new HttpRequest(this.call.method(), this.call.target(), headers, this.call.body());
	}

	// A silent endpoint may go on after all, so it is given up only for one that is free.
	private boolean freeElsewhere() {
		return this.dispatcher.endpoints()
			.eligible(this.match.service().name(), this.model)
			.stream()
			.anyMatch((endpoint) -> !this.tried.contains(endpoint) && !this.dispatcher.full(endpoint)
					&& this.dispatcher.admits(this.match.service(), endpoint));
	}

	void stalled(Attempt attempt, long silentMillis) {
		attempt.endpoint().suspect();
		this.dispatcher.stalled(attempt.endpoint());
		if (!freeElsewhere() || !repeatable()) {
			return;
		}
		this.dispatcher.log()
			.record(LogEvent.ENDPOINT_SUSPECTED, "endpoint", attempt.endpoint().record().id(), "silent_ms",
					silentMillis, "request", this.requestId);
		attempt.stop();
		attempt.endpoint().closeIdle();
		sendNext("stalled");
	}

	CallerAnswer answer() {
		return this.answer;
	}

	Router.Match match() {
		return this.match;
	}

	String requestId() {
		return this.requestId;
	}

	boolean done() {
		return this.done;
	}

	long leftMillis() {
		return this.deadlineMillis - EventLoop.nowMillis();
	}

	// Notes that an endpoint has the request, so that it may run.
	void sent() {
		this.mayHaveRun = true;
		this.runs++;
	}

	// Goes on after an endpoint that had the request said that it did not run it.
	void declined(String reason) {
		this.runs--;
		this.mayHaveRun = this.runs > 0;
		notRun(reason, true);
	}

	// Sends the request elsewhere after a failure that an endpoint answered, if allowed.
	boolean trySendAgain(String reason) {
		boolean allowed = repeatable();
		if (allowed) {
			sendNext(reason);
		}
		return allowed;
	}

}
