package org.monsoonvalve.gateway.request;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpConnection;
import org.monsoonvalve.core.connection.MemoryBudget;
import org.monsoonvalve.core.connection.ResponseListener;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.connection.Endpoint;

/**
 * One attempt to run a request at one endpoint: sends the request, relays the response
 * and notifies the exchange of the outcome. Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
final class Attempt implements ResponseListener {

	/**
	 * Largest body of a non-streaming response that is buffered until it is complete;
	 * larger bodies are relayed chunk by chunk.
	 */
	private static final int MAX_BUFFERED_BYTES = 64 * 1024;

	/** Largest event of a stream that is kept until it is complete. */
	private static final int MAX_EVENT_BYTES = 256 * 1024;

	/** Interval of stall checks; about a quarter of the shortest stall timeout. */
	private static final long STALL_CHECK_MILLIS = 60;

	private static final int MIN_SERVER_ERROR = 500;

	private static final int MISDIRECTED_REQUEST = 421;

	private static final int OK = 200;

	/** Events after which a stream has begun and goes on soundly. */
	private static final int SOUND_EVENTS = 3;

	private final Exchange exchange;

	private final Dispatcher dispatcher;

	private final Endpoint endpoint;

	private final Optional<AttemptForecast> forecast;

	private CompletableFuture<HttpConnection> connecting;

	private HttpConnection connection;

	private boolean sent;

	private boolean stopped;

	private int status;

	private Headers headers;

	private boolean relaying;

	private ByteArrayOutputStream buffered = new ByteArrayOutputStream();

	private final MemoryBudget.Reservation memory;

	private EventSplitter splitter;

	private long sentMillis;

	private int eventsReceived;

	private long lastProgressMillis;

	private EventLoop.Timer stallCheck;

	Attempt(Exchange exchange, Dispatcher dispatcher, Endpoint endpoint, Optional<AttemptForecast> forecast) {
		this.exchange = exchange;
		this.dispatcher = dispatcher;
		this.endpoint = endpoint;
		this.forecast = forecast;
		this.memory = dispatcher.responseMemory().reservation();
		endpoint.requestStarted();
	}

	Endpoint endpoint() {
		return this.endpoint;
	}

	/**
	 * Returns the number of events received in this attempt that contain data.
	 * @return the number of events
	 */
	int eventsReceived() {
		return this.eventsReceived;
	}

	/**
	 * Tells whether the response has begun and goes on, so that the request is not what
	 * may crash the endpoint.
	 * @return {@code true} if enough events were received
	 */
	boolean sound() {
		return this.eventsReceived >= SOUND_EVENTS;
	}

	/**
	 * Returns the time at which the request was sent to the endpoint.
	 * @return the time of the event loop in milliseconds, 0 if it was not sent
	 */
	long sentMillis() {
		return this.sentMillis;
	}

	/**
	 * Tells whether the endpoint answered that it isn't the expected one.
	 * @return {@code true} if another attempt at it is pointless
	 */
	boolean misdirected() {
		return this.status == MISDIRECTED_REQUEST;
	}

	void connect() {
		this.connecting = this.endpoint.connect(this.exchange::mayUse);
		this.connecting
			.whenComplete((opened, failure) -> this.dispatcher.loop().runInLoop(() -> connected(opened, failure)));
	}

	private void connected(HttpConnection opened, Throwable failure) {
		if (this.stopped) {
			if (opened != null) {
				this.endpoint.release(opened);
			}
			return;
		}
		if (failure != null) {
			stop();
			this.endpoint.suspect();
			this.exchange.notRun("the connection can't be opened", false);
			return;
		}
		this.connection = opened;
		this.exchange.connectionUsed(opened);
		try {
			long remainingMillis = this.exchange.remainingMillis();
			this.sentMillis = EventLoop.nowMillis();
			this.lastProgressMillis = this.sentMillis;
			opened.send(this.exchange.requestFor(this.endpoint), Math.max(1, remainingMillis) + STALL_CHECK_MILLIS,
					this);
			this.sent = true;
			this.exchange.requestSent();
			if (this.exchange.match().route().repeatable()) {
				scheduleStallCheck();
			}
		}
		catch (ServingException ex) {
			stop();
			this.exchange.notRun(ex.getMessage(), false);
		}
	}

	private void scheduleStallCheck() {
		this.stallCheck = this.dispatcher.loop().schedule(STALL_CHECK_MILLIS, this::checkForStall);
	}

	private void checkForStall() {
		if (this.stopped) {
			return;
		}
		long now = EventLoop.nowMillis();
		long silentMillis = Math.min(now - this.lastProgressMillis, this.endpoint.silentMillis(now));
		long stallMillis = this.dispatcher.stallMillis(this.exchange.match(), this.endpoint, this.relaying);
		if (silentMillis > stallMillis) {
			this.exchange.stalled(this, silentMillis);
		}
		if (!this.stopped) {
			scheduleStallCheck();
		}
	}

	// Ends the attempt and closes its connection, as the response is incomplete.
	void stop() {
		cancelStallCheck();
		this.memory.close();
		if (!this.stopped) {
			this.stopped = true;
			this.endpoint.requestEnded();
			this.forecast.ifPresent(AttemptForecast::ended);
			this.dispatcher.waiting().capacityChanged(this.endpoint);
			if (this.connection != null) {
				this.connection.close();
			}
			else if (this.connecting != null) {
				// Its callback refers to the request for as long as it is pending.
				this.connecting.cancel(false);
			}
		}
	}

	private void cancelStallCheck() {
		if (this.stallCheck != null) {
			this.stallCheck.cancel();
		}
	}

	private void finish() {
		cancelStallCheck();
		this.memory.close();
		if (!this.stopped) {
			this.stopped = true;
			this.endpoint.requestEnded();
			this.forecast.ifPresent(AttemptForecast::ended);
			this.dispatcher.waiting().capacityChanged(this.endpoint);
			this.endpoint.release(this.connection);
		}
	}

	@Override
	public void onHeaders(int replyStatus, Headers replyHeaders) {
		this.dispatcher.loop().runInLoop(() -> headersArrived(replyStatus, replyHeaders));
	}

	@Override
	public void onBody(byte[] chunk) {
		this.dispatcher.loop().runInLoop(() -> bodyArrived(chunk));
	}

	@Override
	public void onComplete() {
		this.dispatcher.loop().runInLoop(this::responseCompleted);
	}

	@Override
	public void onFailure(ServingException failure) {
		this.dispatcher.loop().runInLoop(() -> responseFailed(failure));
	}

	private void headersArrived(int replyStatus, Headers replyHeaders) {
		if (this.stopped) {
			return;
		}
		HeaderNames names = this.dispatcher.names();
		if (replyHeaders.count(names.requestId()) != 1
				|| !replyHeaders.get(names.requestId()).filter(this.exchange.requestId()::equals).isPresent()) {
			responseFailed(new ServingException(FailureCode.ENDPOINT_LOST,
					"the response doesn't carry the identifier of the request"));
			return;
		}
		recordProgress();
		this.status = replyStatus;
		this.headers = replyHeaders;
		replyHeaders.get(names.load()).ifPresent(this::recordLoad);
		this.dispatcher.limits().named(this.endpoint.record(), RequestLimit.of(replyHeaders.get(names.requestLimit())));
		if (notRunByEndpoint()) {
			return;
		}
		if (isStream()) {
			this.splitter = new EventSplitter();
			this.exchange.response().offerStreamHeaders(ForwardedHeaders.ofResponse(replyHeaders));
		}
		else if (this.exchange.response().started() && !retryableStatus()) {
			// The caller reads a stream, which nothing but its events may continue.
			responseFailed(new ServingException(FailureCode.ENDPOINT_LOST,
					"the resumed stream was answered with status " + this.status));
		}
	}

	private boolean notRunByEndpoint() {
		return this.status == MISDIRECTED_REQUEST || this.headers.get(this.dispatcher.names().notRun()).isPresent();
	}

	private boolean isStream() {
		return this.status == OK && this.headers.eventStream();
	}

	private void recordLoad(String load) {
		String[] parts = load.split(",");
		if (parts.length >= 2 && parts[0].matches("[0-9]{1,6}") && parts[1].matches("[0-9]{1,6}")) {
			this.endpoint.loadReported(Integer.parseInt(parts[0]) + Integer.parseInt(parts[1]));
			this.dispatcher.waiting().capacityChanged(this.endpoint);
		}
	}

	private void recordProgress() {
		this.lastProgressMillis = EventLoop.nowMillis();
		this.endpoint.responseDataReceived();
	}

	private void bodyArrived(byte[] chunk) {
		if (this.stopped) {
			return;
		}
		if (this.splitter != null) {
			eventsArrived(chunk);
			return;
		}
		recordProgress();
		if (this.relaying) {
			this.exchange.response().write(chunk);
			return;
		}
		this.buffered.writeBytes(chunk);
		if (this.buffered.size() > MAX_BUFFERED_BYTES) {
			bufferFull();
		}
		else {
			reserve(this.buffered.size());
		}
	}

	// A buffer is up to twice as large as its content.
	private void reserve(int bytes) {
		if (!this.memory.resize(2L * bytes)) {
			responseFailed(new ServingException(FailureCode.ENDPOINT_LOST,
					"incomplete responses take too much memory for another one of this size"));
		}
	}

	// Only events are progress, as an endpoint may send comments or parts of an event
	// while its stream stands still.
	private void eventsArrived(byte[] chunk) {
		List<EventSplitter.Event> events = this.splitter.add(chunk);
		int withData = (int) events.stream().filter(EventSplitter.Event::hasData).count();
		if (withData > 0) {
			boolean wasSound = sound();
			this.eventsReceived += withData;
			this.forecast.ifPresent((attempt) -> attempt.eventsArrived(withData, EventLoop.nowMillis()));
			if (sound() && !wasSound) {
				this.exchange.answeredSoundly(this.sentMillis);
			}
			recordProgress();
		}
		events.forEach(this::relay);
		if (this.splitter.partialBytes() > MAX_EVENT_BYTES) {
			responseFailed(new ServingException(FailureCode.ENDPOINT_LOST,
					"an event of the stream is larger than " + MAX_EVENT_BYTES + " bytes"));
		}
		else if (!this.stopped) {
			reserve(this.splitter.partialBytes());
		}
	}

	// The body of a response that may not be passed on can be endless.
	private void bufferFull() {
		if (!retryableStatus()) {
			relayBuffered();
		}
		else if (notRunByEndpoint()) {
			stop();
			this.endpoint.suspect();
			this.exchange.declined("the endpoint responded " + this.status + " without running it");
		}
		else {
			responseFailed(new ServingException(FailureCode.ENDPOINT_LOST,
					"the body of a response with status " + this.status + " is too large"));
		}
	}

	private void relay(EventSplitter.Event event) {
		if (!this.exchange.done() && this.exchange.response().relay(event)) {
			this.relaying = true;
		}
	}

	private void relayBuffered() {
		this.relaying = true;
		byte[] content = this.buffered.toByteArray();
		// The rest of the response may take long, and its beginning is no longer needed.
		this.buffered = new ByteArrayOutputStream();
		this.memory.resize(0);
		this.exchange.response().start(this.status, ForwardedHeaders.ofResponse(this.headers));
		this.exchange.response().write(content);
	}

	private boolean retryableStatus() {
		return notRunByEndpoint() || (this.status >= MIN_SERVER_ERROR && this.exchange.match().route().repeatable());
	}

	private void responseCompleted() {
		if (this.stopped) {
			return;
		}
		if (this.splitter != null && this.splitter.hasPartialEvent()) {
			responseFailed(
					new ServingException(FailureCode.ENDPOINT_LOST, "the stream ended in the middle of an event"));
			return;
		}
		finish();
		if (this.exchange.done()) {
			return;
		}
		if (notRunByEndpoint()) {
			if (this.status == MISDIRECTED_REQUEST || !this.dispatcher.isFull(this.endpoint)) {
				this.endpoint.suspect();
			}
			this.exchange.declined("the endpoint responded " + this.status + " without running it");
		}
		else if (!retryableStatus() || !this.exchange.tryRetry("the endpoint responded " + this.status)) {
			completeResponse();
		}
	}

	private void completeResponse() {
		if (this.status == OK && !sound()) {
			this.exchange.answeredSoundly(this.sentMillis);
		}
		CallerResponse response = this.exchange.response();
		if (this.splitter != null) {
			response.startStream();
			response.finish();
		}
		else if (this.relaying) {
			response.finish();
		}
		else if (response.started()) {
			this.exchange.fail(new ServingException(FailureCode.ENDPOINT_LOST,
					"the resumed stream was answered with status " + this.status));
			return;
		}
		else {
			response.reply(this.status, ForwardedHeaders.ofResponse(this.headers).without("Content-Length"),
					this.buffered.toByteArray());
		}
		this.exchange.completed(this.status);
	}

	private void responseFailed(ServingException failure) {
		if (this.stopped) {
			return;
		}
		stop();
		if (!this.sent) {
			return;
		}
		if (this.headers != null && notRunByEndpoint()) {
			this.exchange.declined("the endpoint responded " + this.status + " without running it");
		}
		else if (this.relaying && this.splitter == null) {
			this.exchange.fail(failure);
		}
		else {
			this.exchange.responseLost(this, failure.getMessage());
		}
	}

}
