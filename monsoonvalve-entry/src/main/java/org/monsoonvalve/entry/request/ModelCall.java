package org.monsoonvalve.entry.request;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.connection.ResponseListener;
import org.monsoonvalve.core.process.EventLog;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.process.Mechanism;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.entry.connection.SlotIssuer;

/**
 * One request to a model. The engine is always asked for a stream, so silence is noticed
 * and a broken stream is resumed after its last whole event, also for callers that want
 * one whole answer.
 *
 * @author monsoonvalve maintainers
 */
public final class ModelCall {

	private static final int HTTP_OK = 200;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVER_ERROR = 500;

	private static final long NO_EVENT = SseEvent.NO_ID;

	private static final Headers STREAM_HEADERS = Headers.of("Content-Type", "text/event-stream")
		.with("Cache-Control", "no-cache");

	private static final int FREE_RESUMES = 3;

	private final EventLog log = EventLog.of(ModelCall.class);

	private final RequestEnvironment environment;

	private final RequestContext context;

	private final IncomingCall call;

	private final ChatRequest request;

	private final ChatAggregate aggregate = ChatAggregate.create();

	private final AtomicBoolean ended = new AtomicBoolean();

	private final AtomicReference<Prepared> current = new AtomicReference<>();

	private volatile long lastEventId = NO_EVENT;

	private volatile long lastTokenMillis;

	private volatile boolean delivered;

	private volatile boolean sent;

	private volatile long resumedAfter = NO_EVENT;

	private volatile int freeResumes = FREE_RESUMES;

	private ModelCall(RequestEnvironment environment, RequestContext context, IncomingCall call, ChatRequest request) {
		this.environment = environment;
		this.context = context;
		this.call = call;
		this.request = request;
	}

	/**
	 * Begins to serve a request.
	 * @param environment what all requests share
	 * @param context the request's context
	 * @param call the caller's request
	 * @param request its checked content
	 */
	public static void start(RequestEnvironment environment, RequestContext context, IncomingCall call,
			ChatRequest request) {
		ModelCall served = new ModelCall(environment, context, call, request);
		call.onAbandoned(served::abandon);
		environment.budget(context.pool()).deposit();
		context.admit().whenComplete((admitted, failure) -> {
			if (failure != null) {
				served.refuse(ServingException.from(failure));
			}
			else {
				served.dispatch();
			}
		});
	}

	private void dispatch() {
		this.context.findTarget().whenComplete((prepared, failure) -> {
			if (failure != null) {
				ServingException cause = ServingException.from(failure);
				fail(this.sent ? cause.afterSending() : cause);
			}
			else if (this.ended.get()) {
				prepared.fail();
			}
			else {
				send(prepared);
			}
		});
	}

	private void send(Prepared prepared) {
		this.current.set(prepared);
		if (this.lastEventId != NO_EVENT) {
			this.log.emit(LogEvent.STREAM_RESUMED, this.context.id(), this.lastEventId, prepared.target().id());
		}
		try {
			prepared.send(upstream(), this.environment.limits().streamSilenceMillis(), new Relay(prepared));
			this.sent = true;
			limitColdTime(prepared);
		}
		catch (ServingException ex) {
			prepared.fail();
			dispatch();
		}
	}

	private HttpRequest upstream() {
		Headers headers = Headers.of("Content-Type", "application/json")
			.with("X-Request-Id", this.context.id())
			.with("X-Priority", String.valueOf(this.context.workspace().priority()));
		Headers resuming = (this.lastEventId != NO_EVENT)
				? headers.with("Last-Event-ID", String.valueOf(this.lastEventId)) : headers;
		return new HttpRequest("POST", "/v1/chat/completions", resuming, this.request.upstreamBody());
	}

	private void limitColdTime(Prepared prepared) {
		if (prepared.cold()) {
			this.environment.node()
				.http()
				.timer()
				.schedule(prepared::fail, SlotIssuer.SLOT_MILLIS * 9 / 10, TimeUnit.MILLISECONDS);
		}
	}

	private void abandon() {
		if (this.ended.compareAndSet(false, true)) {
			Prepared prepared = this.current.get();
			if (prepared != null) {
				prepared.fail();
			}
			this.context.release();
		}
	}

	private void refuse(ServingException failure) {
		if (this.ended.compareAndSet(false, true)) {
			record(failure.code());
			this.call.refuse(failure);
		}
	}

	private void fail(ServingException failure) {
		if (!this.ended.compareAndSet(false, true)) {
			return;
		}
		record(failure.code());
		this.context.release();
		if (this.call.answered()) {
			this.call.abort();
		}
		else {
			this.call.refuse(failure);
		}
	}

	private void complete() {
		if (!this.ended.compareAndSet(false, true)) {
			return;
		}
		record(null);
		this.context.release();
		if (this.request.stream()) {
			this.call.write(("data: " + SseEvent.DONE + "\n\n").getBytes(StandardCharsets.UTF_8));
			this.call.finish();
		}
		else {
			this.call.replyJson(HTTP_OK, this.aggregate.answer());
		}
	}

	private void record(FailureCode failure) {
		this.environment.slo().ended(this.context.workspace().id(), this.context.pool().id(), failure);
	}

	private void retry(ServingException failure) {
		if (this.ended.get()) {
			return;
		}
		if (mayDispatchAgain()) {
			dispatch();
		}
		else {
			this.log.emit(LogEvent.REQUEST_LOST, this.context.id(), this.context.pool().id(), failure.getMessage());
			fail(failure);
		}
	}

	/**
	 * Tells whether the request may be sent again. A stream that got further since it was
	 * last sent may be resumed a few times without the budget; everything else is charged
	 * to it.
	 * @return {@code true} if it may
	 */
	private boolean mayDispatchAgain() {
		boolean resumable = this.lastEventId != NO_EVENT && Mechanism.STREAM_RESUME.on();
		if (this.delivered && !resumable) {
			return false;
		}
		boolean progressed = this.lastEventId > this.resumedAfter;
		this.resumedAfter = this.lastEventId;
		if (progressed && this.freeResumes > 0) {
			this.freeResumes = this.freeResumes - 1;
			return true;
		}
		return this.environment.budget(this.context.pool()).withdraw();
	}

	private void deliver(SseEvent event) {
		long id = event.id();
		if (id != NO_EVENT && id <= this.lastEventId) {
			return;
		}
		if (this.lastEventId != NO_EVENT && id != this.lastEventId + 1) {
			throw new ServingException(FailureCode.ENDPOINT_LOST,
					"event " + id + " follows event " + this.lastEventId + " of the stream");
		}
		this.delivered = true;
		measure();
		if (this.request.stream()) {
			this.call.begin(HTTP_OK, STREAM_HEADERS);
			this.call.write(event.raw());
		}
		else {
			this.aggregate.add(event.data());
		}
		this.lastEventId = Math.max(this.lastEventId, id);
	}

	private void measure() {
		long nowMillis = this.context.elapsedMillis();
		String workspace = this.context.workspace().id();
		String pool = this.context.pool().id();
		if (this.lastEventId == NO_EVENT) {
			this.environment.slo().firstToken(workspace, pool, nowMillis);
		}
		else {
			this.environment.slo().tokenGap(workspace, pool, nowMillis - this.lastTokenMillis);
		}
		this.lastTokenMillis = nowMillis;
	}

	private final class Relay implements ResponseListener {

		private final Prepared prepared;

		private final SseParser parser = SseParser.create();

		private int status;

		private boolean done;

		private Relay(Prepared prepared) {
			this.prepared = prepared;
		}

		@Override
		public void onHeaders(int status, Headers headers) {
			this.status = status;
		}

		@Override
		public void onBody(byte[] chunk) {
			if (this.status != HTTP_OK) {
				return;
			}
			try {
				this.parser.feed(chunk).forEach(this::take);
			}
			catch (ServingException ex) {
				this.prepared.fail();
			}
		}

		private void take(SseEvent event) {
			if (event.last()) {
				this.done = true;
			}
			else {
				deliver(event);
			}
		}

		@Override
		public void onComplete() {
			if (this.status == HTTP_OK && this.done) {
				this.prepared.succeed();
				complete();
				return;
			}
			this.prepared.fail();
			boolean busy = this.status == TOO_MANY_REQUESTS || this.status >= SERVER_ERROR;
			if (this.status == HTTP_OK || busy) {
				this.prepared.endpoint().failed();
				retry(new ServingException(FailureCode.ENDPOINT_LOST, "the engine ended its stream early"));
			}
			else {
				ModelCall.this.fail(new ServingException(FailureCode.ENDPOINT_REFUSED,
						"the engine refused the request with status " + this.status));
			}
		}

		@Override
		public void onFailure(ServingException failure) {
			this.prepared.fail();
			this.prepared.endpoint().failed();
			this.prepared.endpoint().closeIdle();
			retry(failure);
		}

	}

}
