package org.monsoonvalve.entry.request;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.codec.digest.DigestUtils;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.connection.HttpResponse;
import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.process.EventLog;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.process.Mechanism;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.RunState;
import org.monsoonvalve.core.request.ServingException;

/**
 * One request to a plain service. A request that may not be repeated is sent once; from
 * then on its answer is the endpoint's or says that the outcome is unknown.
 *
 * @author monsoonvalve maintainers
 */
public final class ServiceCall {

	private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

	private static final Set<String> HOP_HEADERS = Set.of("connection", "host", "content-length", "transfer-encoding",
			"keep-alive", "te", "trailer", "upgrade", "expect", "authorization", "proxy-authorization", "date",
			"server");

	private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

	private final EventLog log = EventLog.of(ServiceCall.class);

	private final RequestEnvironment environment;

	private final RequestContext context;

	private final Claims claims;

	private final IncomingCall call;

	private final HttpRequest upstream;

	private final boolean repeatable;

	private volatile Optional<Claims.Claim> claim = Optional.empty();

	private volatile boolean sent;

	private ServiceCall(RequestEnvironment environment, RequestContext context, Claims claims, IncomingCall call,
			String path) {
		this.environment = environment;
		this.context = context;
		this.claims = claims;
		this.call = call;
		boolean listed = environment.node()
			.configuration()
			.rules()
			.nonRepeatable()
			.stream()
			.anyMatch((rule) -> rule.matches(context.pool().id(), call.method(), path));
		this.repeatable = !listed && IDEMPOTENT_METHODS.contains(call.method().toUpperCase(Locale.ROOT));
		String target = path + call.target().substring(call.path().length());
		this.upstream = new HttpRequest(call.method(), target, forwarded(call.headers()), call.body())
			.withHeader("X-Request-Id", context.id())
			.withHeader("X-Workspace", context.workspace().id());
	}

	/**
	 * Begins to serve a request.
	 * @param environment what all requests share
	 * @param context the request's context
	 * @param claims claims idempotency keys
	 * @param call the caller's request
	 * @param path the path behind the pool's name
	 */
	public static void start(RequestEnvironment environment, RequestContext context, Claims claims, IncomingCall call,
			String path) {
		ServiceCall served = new ServiceCall(environment, context, claims, call, path);
		environment.budget(context.pool()).deposit();
		context.admit().whenComplete((admitted, failure) -> {
			if (failure != null) {
				served.answerFailure(ServingException.from(failure));
			}
			else {
				served.claimKey();
			}
		});
	}

	private void claimKey() {
		Optional<String> key = this.call.headers().get("Idempotency-Key");
		if (key.isEmpty() || this.repeatable || !Mechanism.CLAIMS.on()) {
			dispatch();
			return;
		}
		String fingerprint = DigestUtils.sha256Hex(this.upstream.method() + " " + this.upstream.target() + "\n"
				+ DigestUtils.sha256Hex(this.upstream.body()));
		this.claims.claim(this.context.workspace().id() + "/" + this.context.pool().id(), key.get(), fingerprint)
			.whenComplete((made, failure) -> {
				if (failure != null) {
					end(ServingException.from(failure));
				}
				else if (made.outcome().isPresent()) {
					answer(made.outcome().get());
				}
				else {
					this.claim = Optional.of(made);
					dispatch();
				}
			});
	}

	private void dispatch() {
		this.context.findTarget().whenComplete((prepared, failure) -> {
			if (failure != null) {
				ServingException cause = ServingException.from(failure);
				end(this.sent ? cause.afterSending() : cause);
				return;
			}
			prepared.exchange(this.upstream, this.environment.limits().serviceMillis(), MAX_ANSWER_BYTES)
				.whenComplete((reply, lost) -> settle(prepared, reply, lost));
		});
	}

	private void settle(Prepared prepared, HttpResponse reply, Throwable failure) {
		if (failure == null) {
			prepared.succeed();
			keepAndAnswer(reply);
			return;
		}
		prepared.fail();
		ServingException cause = ServingException.from(failure);
		switch (cause.code()) {
			case UNREACHABLE -> dispatch();
			case ANSWER_TOO_LARGE -> end(cause);
			default -> {
				this.sent = true;
				prepared.endpoint().failed();
				prepared.endpoint().closeIdle();
				lost(cause);
			}
		}
	}

	private void keepAndAnswer(HttpResponse reply) {
		if (this.claim.isPresent()) {
			this.claims.keepOutcome(this.claim.get(), reply).thenRun(() -> answer(reply));
		}
		else {
			answer(reply);
		}
	}

	private void lost(ServingException failure) {
		boolean mayRepeat = this.repeatable || !Mechanism.AT_MOST_ONCE.on();
		if (mayRepeat && this.environment.budget(this.context.pool()).withdraw()) {
			dispatch();
			return;
		}
		this.log.emit(LogEvent.REQUEST_LOST, this.context.id(), this.context.pool().id(), failure.getMessage());
		end(failure);
	}

	private void end(ServingException failure) {
		if (this.claim.isPresent() && failure.code().run() == RunState.NOT_RUN) {
			this.claims.abandon(this.claim.get()).thenRun(() -> endAnswered(failure));
		}
		else {
			endAnswered(failure);
		}
	}

	private void endAnswered(ServingException failure) {
		this.context.release();
		answerFailure(failure);
	}

	private void answerFailure(ServingException failure) {
		record(failure.code());
		this.call.refuse(failure);
	}

	private void answer(HttpResponse reply) {
		record(null);
		this.context.release();
		this.call.reply(reply.status(), forwarded(reply.headers()), reply.body());
	}

	private void record(FailureCode failure) {
		this.environment.slo().ended(this.context.workspace().id(), this.context.pool().id(), failure);
	}

	private static Headers forwarded(Headers headers) {
		return new Headers(headers.fields()
			.stream()
			.filter((field) -> !HOP_HEADERS.contains(field.name().toLowerCase(Locale.ROOT)))
			.toList());
	}

}
