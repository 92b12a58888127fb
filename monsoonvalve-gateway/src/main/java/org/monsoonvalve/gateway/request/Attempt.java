package org.monsoonvalve.gateway.request;

import java.io.ByteArrayOutputStream;

import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpConnection;
import org.monsoonvalve.core.connection.ResponseListener;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.connection.Endpoint;

/**
 * One request at one endpoint: sends it, follows the answer and tells the exchange how it
 * ended. Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
final class Attempt implements ResponseListener {

	/**
	 * Content of a plain answer that is held until it is whole; larger ones are relayed.
	 */
	private static final int HELD_BYTES = 64 * 1024;

	/** Time between two looks at a stream; a quarter of the shortest stall. */
	private static final long LOOK_MILLIS = 60;

	private static final int SERVER_ERROR = 500;

	private static final int MISDIRECTED = 421;

	private static final int OK = 200;

	private final Exchange exchange;

	private final Dispatcher dispatcher;

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

	private EventLoop.Timer look;

	Attempt(Exchange exchange, Dispatcher dispatcher, Endpoint endpoint) {
		this.exchange = exchange;
		this.dispatcher = dispatcher;
		this.endpoint = endpoint;
		endpoint.begin();
	}

	Endpoint endpoint() {
		return this.endpoint;
	}

	void connect() {
		this.endpoint.connect()
			.whenComplete((opened, failure) -> this.dispatcher.loop().runInLoop(() -> connected(opened, failure)));
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
			this.exchange.notRun("can't connect", false);
			return;
		}
		this.connection = opened;
		try {
			long leftMillis = this.exchange.leftMillis();
			this.progressMillis = EventLoop.nowMillis();
			opened.send(this.exchange.callFor(this.endpoint), Math.max(1, leftMillis) + LOOK_MILLIS, this);
			this.sent = true;
			this.exchange.sent();
			if (this.exchange.match().route().repeatable()) {
				lookLater();
			}
		}
		catch (ServingException ex) {
			stop();
			this.exchange.notRun(ex.getMessage(), false);
		}
	}

	private void lookLater() {
		this.look = this.dispatcher.loop().schedule(LOOK_MILLIS, this::look);
	}

	private void look() {
		if (this.stopped) {
			return;
		}
		long now = EventLoop.nowMillis();
		long silentMillis = Math.min(now - this.progressMillis, this.endpoint.silentMillis(now));
		long bound = this.dispatcher.stallMillis(this.exchange.match(), this.endpoint, this.relaying);
		if (silentMillis > bound) {
			this.exchange.stalled(this, silentMillis);
		}
		if (!this.stopped) {
			lookLater();
		}
	}

	// Ends the attempt; an answer that is not whole closes its connection.
	void stop() {
		cancelLook();
		if (!this.stopped) {
			this.stopped = true;
			this.endpoint.end();
			if (this.connection != null) {
				this.connection.close();
			}
		}
	}

	private void cancelLook() {
		if (this.look != null) {
			this.look.cancel();
		}
	}

	private void complete() {
		cancelLook();
		if (!this.stopped) {
			this.stopped = true;
			this.endpoint.end();
			this.endpoint.keep(this.connection);
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
		this.dispatcher.loop().runInLoop(this::completed);
	}

	@Override
	public void onFailure(ServingException failure) {
		this.dispatcher.loop().runInLoop(() -> failed(failure));
	}

	private void headersArrived(int replyStatus, Headers replyHeaders) {
		if (this.stopped) {
			return;
		}
		progressed();
		HeaderNames names = this.dispatcher.names();
		if (replyHeaders.get(names.requestId()).filter((id) -> !id.equals(this.exchange.requestId())).isPresent()) {
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
			this.exchange.answer().offerStreamHead(ForwardedHeaders.ofAnswer(replyHeaders));
		}
	}

	private boolean ranNot() {
		return this.status == MISDIRECTED || this.headers.get(this.dispatcher.names().notRun()).isPresent();
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
			this.exchange.answer().write(chunk);
		}
		else {
			this.held.writeBytes(chunk);
			if (this.held.size() > HELD_BYTES && !retryableStatus()) {
				relayHeld();
			}
		}
	}

	private void relay(EventSplitter.Event event) {
		if (!this.exchange.done() && this.exchange.answer().relay(event)) {
			this.relaying = true;
		}
	}

	private void relayHeld() {
		this.relaying = true;
		this.exchange.answer().begin(this.status, ForwardedHeaders.ofAnswer(this.headers));
		this.exchange.answer().write(this.held.toByteArray());
	}

	private boolean retryableStatus() {
		return ranNot() || (this.status >= SERVER_ERROR && this.exchange.match().route().repeatable());
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
		if (this.exchange.done()) {
			return;
		}
		if (ranNot()) {
			if (this.status == MISDIRECTED || !this.dispatcher.full(this.endpoint)) {
				this.endpoint.suspect();
			}
			this.exchange.declined("answered " + this.status + " without running it");
		}
		else if (!retryableStatus() || !this.exchange.trySendAgain("answered " + this.status)) {
			deliver();
		}
	}

	private void deliver() {
		CallerAnswer answer = this.exchange.answer();
		if (this.splitter != null) {
			answer.beginStream();
			answer.finish();
		}
		else if (this.relaying) {
			answer.finish();
		}
		else if (answer.begun()) {
			this.exchange
				.giveUp(new ServingException(FailureCode.ENDPOINT_LOST, "the stream was answered " + this.status));
			return;
		}
		else {
			answer.reply(this.status, ForwardedHeaders.ofAnswer(this.headers).without("Content-Length"),
					this.held.toByteArray());
		}
		this.exchange.answered(this.status);
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
			this.exchange.declined("answered " + this.status + " without running it");
		}
		else if (this.relaying && this.splitter == null) {
			this.exchange.giveUp(failure);
		}
		else {
			this.exchange.lost(this, failure.getMessage());
		}
	}

}
