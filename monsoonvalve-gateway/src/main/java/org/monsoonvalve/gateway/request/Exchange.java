package org.monsoonvalve.gateway.request;

import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpCall;
import org.monsoonvalve.core.connection.HttpConnection;
import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.connection.ReplyListener;
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

	/**
	 * Content of a plain answer that is held until it is whole; larger ones are relayed.
	 */
	private static final int HELD_BYTES = 64 * 1024;

	/** Sends of one request, counting those that endpoints did not run. */
	private static final int MAX_SENDS = 4;

	/** Time between two looks at a stream; a quarter of the shortest stall. */
	private static final long LOOK_MILLIS = 60;

	private static final int SERVER_ERROR = 500;

	private static final int MISDIRECTED = 421;

	private static final int OK = 200;

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

	private EventLoop.Timer look;

	private int sends;

	private int runs;

	private boolean mayHaveRun;

	private boolean done;

	private Headers streamHead;

	private boolean streamBegun;

	private Optional<String> lastEventId;

	private long firstByteMillis;

	private long longestGapMillis;

	private long relayedMillis;

	Exchange(Dispatcher dispatcher, IncomingCall call, Router.Match match) {
		this.dispatcher = dispatcher;
		this.call = call;
		this.match = match;
		this.route = match.route();
		HeaderNames names = dispatcher.names();
		this.requestId = call.headers().get(names.requestId()).orElse("");
		this.lastEventId = call.headers().get(names.lastEventId());
		this.model = match.service().engine().isPresent() ? call.headers().get(names.model()) : Optional.empty();
		long asked = call.headers()
			.get(names.deadlineMillis())
			.filter((text) -> text.matches("[0-9]{1,9}"))
			.map(Long::valueOf)
			.orElse(this.route.timeoutMillis());
		this.deadlineMillis = this.startMillis + Math.min(asked, this.route.timeoutMillis());
	}

	void start() {
		this.call.onAbandoned(() -> this.dispatcher.loop().run(this::abandoned));
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
		Attempt attempt = new Attempt(endpoint);
		this.current = attempt;
		attempt.connect();
	}

	// Goes on after an endpoint certainly did not run the request. Requests that arrived
	// somewhere and were turned away count as repeats, too.
	private void notRun(String reason, boolean arrived) {
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
	private void lost(Attempt attempt, String reason) {
		if (this.done) {
			return;
		}
		attempt.endpoint.suspect();
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

	private void giveUp(ServingException failure, int candidates) {
		end();
		ServingException said = this.mayHaveRun ? failure.afterSending() : failure;
		this.dispatcher.log()
			.record(this.mayHaveRun ? LogEvent.REQUEST_FAILED : LogEvent.REQUEST_REFUSED, "request", this.requestId,
					"code", said.code().code(), "reason", failure.getMessage(), "candidates", candidates, "sends",
					this.sends, "age_ms", EventLoop.nowMillis() - this.startMillis, "view",
					this.dispatcher.endpoints().view().revision());
		this.dispatcher.metrics().failed(this.route, said.code());
		if (this.streamBegun) {
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

	private void answered(int status) {
		long now = EventLoop.nowMillis();
		end();
		this.dispatcher.metrics()
			.answered(this.route, status, ((this.firstByteMillis > 0) ? this.firstByteMillis : now) - this.startMillis,
					now - this.startMillis);
		this.dispatcher.log()
			.record(LogEvent.REQUEST_ANSWERED, "request", this.requestId, "status", status, "sends", this.sends,
					"first_ms", (this.firstByteMillis > 0) ? this.firstByteMillis - this.startMillis : -1, "gap_ms",
					this.longestGapMillis, "age_ms", now - this.startMillis);
	}

	private void end() {
		this.done = true;
		this.deadline.cancel();
		if (this.look != null) {
			this.look.cancel();
		}
		if (this.current != null) {
			this.current.stop();
			this.current = null;
		}
		this.dispatcher.ended(this);
	}

	private HttpCall callFor(Endpoint endpoint) {
		HeaderNames names = this.dispatcher.names();
		Headers headers = ForwardedHeaders.ofRequest(this.call.headers(), names)
			.with(names.deadlineMillis(), String.valueOf(Math.max(1, this.deadlineMillis - EventLoop.nowMillis())))
			.with(names.expectedEndpoint(), endpoint.record().id());
		if (this.match.workspace().isPresent()) {
			headers = headers.with(names.workspace(), this.match.workspace().get().name());
		}
		if (this.lastEventId.isPresent()) {
			headers = headers.with(names.lastEventId(), this.lastEventId.get());
		}
		return new HttpCall(this.call.method(), this.call.target(), headers, this.call.body());
	}

	// A silent endpoint may go on after all, so it is given up only for one that is free.
	private boolean freeElsewhere() {
		return this.dispatcher.endpoints()
			.eligible(this.match.service().name(), this.model)
			.stream()
			.anyMatch((endpoint) -> !this.tried.contains(endpoint) && !this.dispatcher.full(endpoint)
					&& this.dispatcher.admits(this.match.service(), endpoint));
	}

	private void stalled(Attempt attempt, long silentMillis) {
		attempt.endpoint.suspect();
		this.dispatcher.stalled(attempt.endpoint);
		if (!freeElsewhere() || !repeatable()) {
			return;
		}
		this.dispatcher.log()
			.record(LogEvent.ENDPOINT_SUSPECTED, "endpoint", attempt.endpoint.record().id(), "silent_ms", silentMillis,
					"request", this.requestId);
		attempt.stop();
		attempt.endpoint.closeIdle();
		sendNext("stalled");
	}

	/**
	 * The request at one endpoint.
	 */
	private final class Attempt implements ReplyListener {

		private final Endpoint endpoint;

		private HttpConnection connection;

		private boolean sent;

		private boolean stopped;

		private int status;

		private Headers headers;

		private boolean relaying;

		private final ByteArrayOutputStream held = new ByteArrayOutputStream();

		private EventSplitter splitter;

		private long progressMillis;

		private Attempt(Endpoint endpoint) {
			this.endpoint = endpoint;
			endpoint.begin();
		}

		private void connect() {
			this.endpoint.connect()
				.whenComplete(
						(opened, failure) -> Exchange.this.dispatcher.loop().run(() -> connected(opened, failure)));
		}

		private void connected(HttpConnection opened, Throwable failure) {
			if (this.stopped) {
				if (opened != null) {
					this.endpoint.keep(opened);
				}
				return;
			}
			if (failure != null) {
				stop();
				this.endpoint.suspect();
				notRun("can't connect", false);
				return;
			}
			this.connection = opened;
			try {
				long leftMillis = Exchange.this.deadlineMillis - EventLoop.nowMillis();
				this.progressMillis = EventLoop.nowMillis();
				opened.send(callFor(this.endpoint), Math.max(1, leftMillis) + LOOK_MILLIS, this);
				this.sent = true;
				Exchange.this.mayHaveRun = true;
				Exchange.this.runs++;
				if (Exchange.this.route.repeatable()) {
					lookLater();
				}
			}
			catch (ServingException ex) {
				stop();
				notRun(ex.getMessage(), false);
			}
		}

		private void lookLater() {
			Exchange.this.look = Exchange.this.dispatcher.loop().schedule(LOOK_MILLIS, this::look);
		}

		private void look() {
			if (this.stopped) {
				return;
			}
			long now = EventLoop.nowMillis();
			long silentMillis = Math.min(now - this.progressMillis, this.endpoint.silentMillis(now));
			long bound = Exchange.this.dispatcher.stallMillis(Exchange.this.match, this.endpoint, this.relaying);
			if (silentMillis > bound) {
				stalled(this, silentMillis);
			}
			if (!this.stopped) {
				lookLater();
			}
		}

		// Ends the attempt; an answer that is not whole closes its connection.
		private void stop() {
			if (!this.stopped) {
				this.stopped = true;
				this.endpoint.end();
				if (this.connection != null) {
					this.connection.close();
				}
			}
		}

		private void complete() {
			if (!this.stopped) {
				this.stopped = true;
				this.endpoint.end();
				this.endpoint.keep(this.connection);
			}
		}

		@Override
		public void onHeaders(int replyStatus, Headers replyHeaders) {
			Exchange.this.dispatcher.loop().run(() -> headersArrived(replyStatus, replyHeaders));
		}

		@Override
		public void onBody(byte[] chunk) {
			Exchange.this.dispatcher.loop().run(() -> bodyArrived(chunk));
		}

		@Override
		public void onComplete() {
			Exchange.this.dispatcher.loop().run(this::completed);
		}

		@Override
		public void onFailure(ServingException failure) {
			Exchange.this.dispatcher.loop().run(() -> failed(failure));
		}

		private void headersArrived(int replyStatus, Headers replyHeaders) {
			if (this.stopped) {
				return;
			}
			progressed();
			HeaderNames names = Exchange.this.dispatcher.names();
			if (replyHeaders.get(names.requestId()).filter((id) -> !id.equals(Exchange.this.requestId)).isPresent()) {
				failed(new ServingException(FailureCode.ENDPOINT_LOST, "the answer belongs to another request"));
				return;
			}
			this.status = replyStatus;
			this.headers = replyHeaders;
			replyHeaders.get(names.load()).ifPresent(this::loadReported);
			if (ranNot()) {
				return;
			}
			if (isStream()) {
				this.splitter = new EventSplitter();
				if (Exchange.this.streamHead == null) {
					Exchange.this.streamHead = ForwardedHeaders.ofAnswer(replyHeaders);
				}
			}
		}

		private boolean ranNot() {
			return this.status == MISDIRECTED
					|| this.headers.get(Exchange.this.dispatcher.names().notRun()).isPresent();
		}

		private boolean isStream() {
			return this.status == OK && this.headers.eventStream();
		}

		private void loadReported(String load) {
			String[] parts = load.split(",");
			if (parts.length >= 2 && parts[0].matches("[0-9]{1,6}") && parts[1].matches("[0-9]{1,6}")) {
				this.endpoint.reported(Integer.parseInt(parts[0]) + Integer.parseInt(parts[1]));
			}
		}

		private void progressed() {
			this.progressMillis = EventLoop.nowMillis();
			this.endpoint.progressed();
		}

		private void bodyArrived(byte[] chunk) {
			if (this.stopped) {
				return;
			}
			progressed();
			if (this.splitter != null) {
				this.splitter.add(chunk).forEach(this::relay);
			}
			else if (this.relaying) {
				Exchange.this.call.write(chunk);
			}
			else {
				this.held.writeBytes(chunk);
				if (this.held.size() > HELD_BYTES && !retryableStatus()) {
					relayHeld();
				}
			}
		}

		private void relay(EventSplitter.Event event) {
			if (Exchange.this.done || alreadySent(event)) {
				return;
			}
			this.relaying = true;
			beginStream();
			notePause();
			Exchange.this.call.write(event.bytes());
			event.id().ifPresent((id) -> Exchange.this.lastEventId = Optional.of(String.valueOf(id)));
		}

		// Counts the pause before an event across endpoints, as the caller sees it.
		private void notePause() {
			long now = EventLoop.nowMillis();
			if (Exchange.this.relayedMillis > 0) {
				Exchange.this.longestGapMillis = Math.max(Exchange.this.longestGapMillis,
						now - Exchange.this.relayedMillis);
			}
			Exchange.this.relayedMillis = now;
		}

		private boolean alreadySent(EventSplitter.Event event) {
			return Exchange.this.streamBegun && event.id().isPresent()
					&& Exchange.this.lastEventId.filter((last) -> event.id().get() <= Long.parseLong(last)).isPresent();
		}

		private void beginStream() {
			if (!Exchange.this.streamBegun) {
				Exchange.this.streamBegun = true;
				Exchange.this.firstByteMillis = EventLoop.nowMillis();
				Exchange.this.call.begin(OK, Exchange.this.streamHead.without("Content-Length"));
			}
		}

		private void relayHeld() {
			this.relaying = true;
			Exchange.this.firstByteMillis = EventLoop.nowMillis();
			Exchange.this.streamBegun = true;
			Exchange.this.call.begin(this.status, ForwardedHeaders.ofAnswer(this.headers));
			Exchange.this.call.write(this.held.toByteArray());
		}

		private boolean retryableStatus() {
			return ranNot() || (this.status >= SERVER_ERROR && Exchange.this.route.repeatable());
		}

		private void completed() {
			if (this.stopped) {
				return;
			}
			if (this.splitter != null && this.splitter.inEvent()) {
				failed(new ServingException(FailureCode.ENDPOINT_LOST, "the stream ended inside an event"));
				return;
			}
			complete();
			if (Exchange.this.done) {
				return;
			}
			if (ranNot()) {
				Exchange.this.runs--;
				Exchange.this.mayHaveRun = Exchange.this.runs > 0;
				if (this.status == MISDIRECTED || !Exchange.this.dispatcher.full(this.endpoint)) {
					this.endpoint.suspect();
				}
				notRun("answered " + this.status + " without running it", true);
			}
			else if (retryableStatus() && repeatable()) {
				sendNext("answered " + this.status);
			}
			else {
				deliver();
			}
		}

		private void deliver() {
			if (this.splitter != null) {
				beginStream();
				Exchange.this.call.finish();
			}
			else if (this.relaying) {
				Exchange.this.call.finish();
			}
			else if (Exchange.this.streamBegun) {
				giveUp(new ServingException(FailureCode.ENDPOINT_LOST, "the stream was answered " + this.status), 0);
				return;
			}
			else {
				Exchange.this.call.reply(this.status, ForwardedHeaders.ofAnswer(this.headers).without("Content-Length"),
						this.held.toByteArray());
			}
			answered(this.status);
		}

		private void failed(ServingException failure) {
			if (this.stopped) {
				return;
			}
			stop();
			if (!this.sent) {
				return;
			}
			if (this.headers != null && ranNot()) {
				Exchange.this.runs--;
				Exchange.this.mayHaveRun = Exchange.this.runs > 0;
				notRun("answered " + this.status + " without running it", true);
			}
			else if (this.relaying && this.splitter == null) {
				giveUp(failure, 0);
			}
			else {
				lost(this, failure.getMessage());
			}
		}

	}

}
