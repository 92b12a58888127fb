package org.monsoonvalve.gateway.request;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Stream;

import org.monsoonvalve.admission.request.QueueExit;
import org.monsoonvalve.admission.request.Reason;
import org.monsoonvalve.admission.request.Verdict;
import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpConnection;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.connection.Endpoint;
import org.monsoonvalve.gateway.process.PromptBlock;
import org.monsoonvalve.gateway.version.Route;

/**
 * Forwards one request to endpoints and returns the response to its caller. A request
 * that may run at most once is only retried after an attempt in which it certainly did
 * not run; a broken stream is resumed at another endpoint after the last complete event.
 * Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
final class Exchange {

	/** Maximum attempts of one request, including those that endpoints did not run. */
	private static final int MAX_ATTEMPTS = 4;

	/**
	 * Interval between two searches for an endpoint that continues a stream, and time
	 * after which an endpoint that declined a request may get it again; slots become free
	 * within some tens of milliseconds.
	 */
	private static final long RESUME_RETRY_MILLIS = 50;

	private final Dispatcher dispatcher;

	private final IncomingCall call;

	private final Router.Match match;

	private final Route route;

	private final String requestId;

	private final List<PromptPart> promptParts;

	private final RequestProfile profile;

	private final Set<Endpoint> triedEndpoints = new HashSet<>();

	private final Set<Endpoint> decliningEndpoints = new HashSet<>();

	private final Set<HttpConnection> usedConnections = new HashSet<>();

	private Attempt currentAttempt;

	private boolean waiting;

	private String sendReason = "";

	private EventLoop.Timer deadline;

	private EventLoop.Timer resumption;

	private int attempts;

	private int possibleRuns;

	private boolean mayHaveRun;

	private boolean done;

	private final CallerResponse response;

	Exchange(Dispatcher dispatcher, IncomingCall call, Router.Match match) {
		this.dispatcher = dispatcher;
		this.call = call;
		this.match = match;
		this.route = match.route();
		HeaderNames names = dispatcher.names();
		this.requestId = call.headers().get(names.requestId()).orElse("");
		this.response = CallerResponse.of(call, call.headers().get(names.lastEventId()));
		this.profile = RequestProfile.of(match, call.headers(), names, EventLoop.nowMillis());
		this.promptParts = PromptPart.sharedParts(call.headers().get(names.promptParts()));
	}

	void start() {
		this.call.onAbandoned(() -> this.dispatcher.loop().runInLoop(this::callerDisconnected));
		this.deadline = this.dispatcher.loop()
			.schedule(this.profile.deadlineMillis() - this.profile.startMillis(), this::deadlineExpired);
		this.dispatcher.retryBudget(this.match.service().name()).recordRequest();
		this.dispatcher.demand().arrived(this.profile);
		sendNext("first");
	}

	private void sendNext(String reason) {
		Optional<PromptBlock> block = this.dispatcher.crashes().blockOf(serviceName(), this.promptParts);
		if (block.isPresent()) {
			this.dispatcher.metrics().promptBlocked();
			fail(new PromptBlockedException(block.get(), this.dispatcher.crashes().nowMillis()));
			return;
		}
		this.sendReason = reason;
		List<Endpoint> candidates = candidates();
		// A request that may run somewhere isn't new and overtakes nobody.
		boolean behindOthers = !this.mayHaveRun && mayWait() && this.dispatcher.waiting().someWaitFor(this.profile);
		if (behindOthers && candidates.stream().anyMatch(this::mayGetLater)) {
			waitForPlace("others wait");
			return;
		}
		Optional<Endpoint> chosen = findEndpoint(candidates);
		// A stream that has begun waits for a free endpoint until its deadline.
		if (chosen.isEmpty() && this.response.started()) {
			this.resumption = this.dispatcher.loop().schedule(RESUME_RETRY_MILLIS, () -> sendNext(reason));
			return;
		}
		if (chosen.isEmpty()) {
			Map<Reason, Integer> refusals = refusals(candidates);
			this.dispatcher.metrics().refusedEverywhere(refusals.keySet());
			if (mayWait() && refusals.keySet().stream().anyMatch(Reason::passing)) {
				waitForPlace(refusals);
				return;
			}
			fail(new ServingException(FailureCode.NO_CAPACITY,
					candidates.isEmpty() ? "no endpoint serves the requested service or model"
							: "no endpoint may get the request: " + refusals),
					candidates.size());
			return;
		}
		sendTo(chosen.get());
	}

	private List<Endpoint> candidates() {
		return this.dispatcher.endpoints().eligible(this.match.service().name(), this.profile.model());
	}

	/**
	 * Finds the endpoint that the request should be sent to now.
	 * @return the endpoint, empty if none may get it
	 */
	Optional<Endpoint> findEndpoint() {
		return findEndpoint(candidates());
	}

	private Optional<Endpoint> findEndpoint(List<Endpoint> candidates) {
		this.dispatcher.anticipate(this.profile, candidates);
		return this.dispatcher.choose(this.profile, candidates, (endpoint) -> verdict(endpoint).isAdmitted(),
				this.mayHaveRun);
	}

	private boolean mayGetLater(Endpoint endpoint) {
		return !this.triedEndpoints.contains(endpoint) || this.decliningEndpoints.contains(endpoint);
	}

	private boolean mayWait() {
		return this.profile.batchSensitive() && !this.response.started() && !this.dispatcher.stopping();
	}

	private void waitForPlace(Object cause) {
		this.waiting = true;
		this.dispatcher.waiting().add(this, this.call.body().length, this.attempts > 0, cause);
	}

	/**
	 * Records that the request no longer waits in a queue.
	 */
	void leftQueue() {
		this.waiting = false;
	}

	/**
	 * Sends the request after it has waited.
	 * @param endpoint the endpoint that has a place for it
	 */
	void placed(Endpoint endpoint) {
		sendTo(endpoint);
	}

	private void sendTo(Endpoint endpoint) {
		this.triedEndpoints.add(endpoint);
		this.dispatcher.taken(this.profile, endpoint);
		this.attempts++;
		long now = EventLoop.nowMillis();
		Optional<AttemptForecast> forecast = this.dispatcher.forecaster()
			.started(this.profile, endpoint, !this.response.started(), now);
		logSent(endpoint, endpoint.load(now), forecast);
		Attempt attempt = new Attempt(this, this.dispatcher, endpoint, forecast);
		this.currentAttempt = attempt;
		attempt.connect();
	}

	private void logSent(Endpoint endpoint, int load, Optional<AttemptForecast> forecast) {
		Stream<Object> fields = Stream.of("request", this.requestId, "endpoint", endpoint.record().id(), "reason",
				this.sendReason, "candidates", candidates().size(), "load", load, "view",
				this.dispatcher.endpoints().view().position());
		Stream<Object> forecastFields = forecast.stream()
			.flatMap((attempt) -> Stream.of("forecast_ms", Math.round(attempt.forecast().firstEventMillis())));
		this.dispatcher.log()
			.record((this.attempts == 1) ? LogEvent.REQUEST_SENT : LogEvent.REQUEST_SENT_AGAIN,
					Stream.concat(fields, forecastFields).toArray());
	}

	private Verdict verdict(Endpoint endpoint) {
		if (this.decliningEndpoints.contains(endpoint)) {
			return Verdict.refused(Reason.DECLINED);
		}
		return this.triedEndpoints.contains(endpoint) ? Verdict.refused(Reason.TRIED)
				: this.dispatcher.verdict(this.profile, endpoint);
	}

	// Counts the candidates by the reason against them, for the log of a refusal.
	private Map<Reason, Integer> refusals(List<Endpoint> candidates) {
		Map<Reason, Integer> counts = new EnumMap<>(Reason.class);
		candidates.forEach(
				(endpoint) -> verdict(endpoint).reason().ifPresent((reason) -> counts.merge(reason, 1, Integer::sum)));
		return counts;
	}

	// Continues after an attempt that certainly did not run. Attempts that an endpoint
	// received and rejected use the retry budget, too.
	void notRun(String reason, boolean reachedEndpoint) {
		if (this.done) {
			return;
		}
		boolean allowed = !reachedEndpoint || this.dispatcher.retryBudget(this.match.service().name()).tryAcquire();
		if (!allowed || this.attempts >= MAX_ATTEMPTS || EventLoop.nowMillis() >= this.profile.deadlineMillis()) {
			fail(new ServingException(FailureCode.NO_CAPACITY, "the last attempt was not run: " + reason), 0);
			return;
		}
		sendNext(reason);
	}

	// Continues after an attempt that may have run without a complete response.
	void responseLost(Attempt attempt, String reason) {
		if (this.done) {
			return;
		}
		attempt.endpoint().suspect();
		this.dispatcher.metrics().responseLost();
		this.dispatcher.log()
			.record(LogEvent.RESPONSE_LOST, "request", this.requestId, "endpoint", attempt.endpoint().record().id(),
					"reason", reason, "events", attempt.eventsReceived(), "sent_ms_ago",
					EventLoop.nowMillis() - attempt.sentMillis(), "parts", this.promptParts);
		boolean repeatable = attempt.sound()
				|| this.dispatcher.crashes().mayRepeat(serviceName(), this.promptParts, attempt.sentMillis());
		if (!attempt.sound()) {
			this.dispatcher.examine(attempt, this.promptParts);
		}
		if (repeatable && tryAcquireRetry()) {
			sendNext(reason);
		}
		else {
			fail(new ServingException(FailureCode.ENDPOINT_LOST, reason), 0);
		}
	}

	private String serviceName() {
		return this.match.service().name();
	}

	void answeredSoundly(long sentMillis) {
		this.dispatcher.crashes().answered(serviceName(), this.promptParts, sentMillis);
	}

	// Ends a request that would crash its endpoint if its response began.
	void partBlocked(PromptBlock block) {
		boolean atEndpoint = this.currentAttempt != null && !this.currentAttempt.sound();
		if (!this.done && (this.waiting || atEndpoint) && serviceName().equals(block.part().service())
				&& this.promptParts.contains(block.part().part())) {
			fail(new PromptBlockedException(block, this.dispatcher.crashes().nowMillis()));
		}
	}

	private boolean tryAcquireRetry() {
		return this.route.repeatable() && this.possibleRuns < this.route.maxEndpoints() && this.attempts < MAX_ATTEMPTS
				&& EventLoop.nowMillis() < this.profile.deadlineMillis()
				&& this.dispatcher.retryBudget(this.match.service().name()).tryAcquire();
	}

	void fail(ServingException failure) {
		fail(failure, 0);
	}

	private void fail(ServingException failure, int candidates) {
		end();
		ServingException reported = this.mayHaveRun ? failure.afterSending() : failure;
		this.dispatcher.log()
			.record(this.mayHaveRun ? LogEvent.REQUEST_FAILED : LogEvent.REQUEST_REFUSED, "request", this.requestId,
					"code", reported.code().code(), "reason", failure.getMessage(), "candidates", candidates, "sends",
					this.attempts, "age_ms", EventLoop.nowMillis() - this.profile.startMillis(), "view",
					this.dispatcher.endpoints().view().position(), "configuration",
					this.dispatcher.endpoints().view().configurationVersion(), "part",
					(failure instanceof PromptBlockedException blocked) ? blocked.part() : "");
		this.dispatcher.metrics().failed(this.route, reported.code());
		if (this.response.started()) {
			this.call.abort();
		}
		else {
			this.dispatcher.refuse(this.call, this.requestId, reported);
		}
	}

	private void deadlineExpired() {
		if (!this.done) {
			leaveQueue(QueueExit.DEADLINE);
			fail(new ServingException(this.mayHaveRun ? FailureCode.TIMEOUT : FailureCode.NO_CAPACITY,
					"the deadline of the request has passed"), 0);
		}
	}

	// Answers the request before the process ends and closes its connection.
	void processEnds() {
		if (!this.done) {
			fail(new ServingException(this.mayHaveRun ? FailureCode.ENDPOINT_LOST : FailureCode.NOT_READY,
					"this process is shutting down"));
		}
	}

	private void callerDisconnected() {
		if (!this.done) {
			leaveQueue(QueueExit.CALLER_GONE);
			end();
			this.dispatcher.metrics().abandoned(this.route);
			this.dispatcher.log()
				.record(LogEvent.REQUEST_ABANDONED, "request", this.requestId, "age_ms",
						EventLoop.nowMillis() - this.profile.startMillis(), "sends", this.attempts);
		}
	}

	void completed(int status) {
		long now = EventLoop.nowMillis();
		end();
		this.dispatcher.metrics()
			.answered(this.route, status, this.response.firstByteMillis().orElse(now) - this.profile.startMillis(),
					now - this.profile.startMillis());
		this.dispatcher.log()
			.record(LogEvent.REQUEST_ANSWERED, "request", this.requestId, "status", status, "sends", this.attempts,
					"first_ms",
					this.response.firstByteMillis().isPresent()
							? this.response.firstByteMillis().getAsLong() - this.profile.startMillis() : -1,
					"gap_ms", this.response.longestGapMillis(), "age_ms", now - this.profile.startMillis());
	}

	private void leaveQueue(QueueExit reason) {
		if (this.waiting) {
			this.dispatcher.waiting().remove(this, reason);
		}
	}

	private void end() {
		this.done = true;
		leaveQueue(QueueExit.ENDED);
		this.deadline.cancel();
		if (this.resumption != null) {
			this.resumption.cancel();
		}
		if (this.currentAttempt != null) {
			this.currentAttempt.stop();
			this.currentAttempt = null;
		}
		this.dispatcher.ended(this);
	}

	/**
	 * Tells whether an attempt may use a connection. An endpoint may answer an attempt
	 * twice, and a late second answer bears the identifier that all attempts of the
	 * request have.
	 * @param connection the connection
	 * @return {@code false} if an earlier attempt has used it
	 */
	boolean mayUse(HttpConnection connection) {
		return !this.usedConnections.contains(connection);
	}

	void connectionUsed(HttpConnection connection) {
		this.usedConnections.add(connection);
	}

	HttpRequest requestFor(Endpoint endpoint) {
		HeaderNames names = this.dispatcher.names();
		Headers headers = ForwardedHeaders.ofRequest(this.call.headers(), names)
			.with(names.deadlineMillis(), String.valueOf(Math.max(1, remainingMillis())))
			.with(names.expectedEndpoint(), endpoint.record().id());
		if (this.match.workspace().isPresent()) {
			headers = headers.with(names.workspace(), this.match.workspace().get().name());
		}
		OptionalInt urgency = urgencyRank();
		if (urgency.isPresent()) {
			headers = headers.with(names.urgency(), String.valueOf(urgency.getAsInt()));
		}
		Optional<String> lastEventId = this.response.lastEventId();
		if (lastEventId.isPresent()) {
			headers = headers.with(names.lastEventId(), lastEventId.get());
		}
		return new HttpRequest(this.call.method(), this.call.target(), headers, this.call.body());
	}

	// Where the system sets the urgency, it replaces the value that the caller sent.
	private OptionalInt urgencyRank() {
		return this.dispatcher.endpoints()
			.view()
			.configuration()
			.filter((configuration) -> this.profile.batchSensitive())
			.map((configuration) -> configuration.urgencyRank(serviceName(), this.profile.urgency()))
			.orElse(OptionalInt.empty());
	}

	// A stalled endpoint may recover, so it is replaced only by one with a free slot.
	private boolean hasFreeAlternative() {
		return this.dispatcher.endpoints()
			.eligible(this.match.service().name(), this.profile.model())
			.stream()
			.anyMatch((endpoint) -> !this.dispatcher.isFull(endpoint) && verdict(endpoint).isAdmitted());
	}

	void stalled(Attempt attempt, long silentMillis) {
		attempt.endpoint().suspect();
		this.dispatcher.stalled(attempt.endpoint());
		if (!hasFreeAlternative() || !tryAcquireRetry()) {
			return;
		}
		this.dispatcher.log()
			.record(LogEvent.ENDPOINT_SUSPECTED, "endpoint", attempt.endpoint().record().id(), "silent_ms",
					silentMillis, "request", this.requestId);
		attempt.stop();
		attempt.endpoint().closeIdle();
		sendNext("stalled");
	}

	CallerResponse response() {
		return this.response;
	}

	Router.Match match() {
		return this.match;
	}

	RequestProfile profile() {
		return this.profile;
	}

	String requestId() {
		return this.requestId;
	}

	boolean done() {
		return this.done;
	}

	long remainingMillis() {
		return this.profile.deadlineMillis() - EventLoop.nowMillis();
	}

	// Records that the request was sent to an endpoint, which may now run it.
	void requestSent() {
		this.mayHaveRun = true;
		this.possibleRuns++;
	}

	// Continues after an endpoint reported that it received but did not run the request.
	void declined(String reason) {
		this.possibleRuns--;
		this.mayHaveRun = this.possibleRuns > 0;
		// An endpoint that isn't the expected one won't be later either.
		boolean triedAgain = this.response.started()
				|| (this.profile.batchSensitive() && !this.currentAttempt.misdirected());
		if (triedAgain && this.currentAttempt != null) {
			Endpoint declining = this.currentAttempt.endpoint();
			if (!this.response.started()) {
				this.decliningEndpoints.add(declining);
			}
			// The timer outlives the request if another endpoint answers it at once.
			List<Set<Endpoint>> exclusions = List.of(this.triedEndpoints, this.decliningEndpoints);
			this.dispatcher.loop()
				.schedule(RESUME_RETRY_MILLIS, () -> exclusions.forEach((excluded) -> excluded.remove(declining)));
		}
		notRun(reason, true);
	}

	// Retries the request at another endpoint after an error response, if allowed.
	boolean tryRetry(String reason) {
		boolean allowed = tryAcquireRetry();
		if (allowed) {
			sendNext(reason);
		}
		return allowed;
	}

}
