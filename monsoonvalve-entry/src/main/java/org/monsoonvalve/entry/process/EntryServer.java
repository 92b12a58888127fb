package org.monsoonvalve.entry.process;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.Node;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.core.version.Configuration;
import org.monsoonvalve.core.version.Inventory;
import org.monsoonvalve.core.version.PoolKind;
import org.monsoonvalve.core.version.Rules;
import org.monsoonvalve.entry.request.Caller;
import org.monsoonvalve.entry.request.ChatRequest;
import org.monsoonvalve.entry.request.Claims;
import org.monsoonvalve.entry.request.ModelCall;
import org.monsoonvalve.entry.request.RequestContext;
import org.monsoonvalve.entry.request.RequestEnvironment;
import org.monsoonvalve.entry.request.ServiceCall;

/**
 * Directs the requests of callers, operators and the balancer.
 *
 * @author monsoonvalve maintainers
 */
public final class EntryServer {

	private static final String SERVICES = "/services/";

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private final Node node;

	private final RequestEnvironment environment;

	private final Claims claims;

	private final AdminApi admin;

	private final MetricRegistry metrics;

	private final AtomicBoolean draining = new AtomicBoolean();

	private final AtomicInteger inProgress = new AtomicInteger();

	private EntryServer(Node node, RequestEnvironment environment, AdminApi admin, MetricRegistry metrics) {
		this.node = node;
		this.environment = environment;
		this.claims = Claims.of(node);
		this.admin = admin;
		this.metrics = metrics;
	}

	/**
	 * Creates a server.
	 * @param node this process
	 * @param environment what all requests share
	 * @param admin the administration API
	 * @param metrics the measurements to publish
	 * @return the server
	 */
	public static EntryServer of(Node node, RequestEnvironment environment, AdminApi admin, MetricRegistry metrics) {
		return new EntryServer(node, environment, admin, metrics);
	}

	/**
	 * Answers a request.
	 * @param call the request
	 */
	public void handle(IncomingCall call) {
		String path = call.path();
		if (path.equals("/healthz")) {
			call.reply(OK, Headers.empty(), "ok\n".getBytes(StandardCharsets.UTF_8));
		}
		else if (path.equals("/readyz")) {
			boolean ready = this.node.configuration().ready() && !this.draining.get();
			call.reply(ready ? OK : UNAVAILABLE, Headers.empty(),
					(ready ? "ready\n" : "not ready\n").getBytes(StandardCharsets.UTF_8));
		}
		else if (path.equals("/metrics")) {
			call.reply(OK, Headers.of("Content-Type", "application/json"),
					Codec.JSON.encode(MetricsReport.of(this.metrics)));
		}
		else if (path.equals("/metrics/slo")) {
			call.replyJson(OK, this.environment.slo().report());
		}
		else if (path.startsWith("/admin/")) {
			this.admin.handle(call);
		}
		else {
			serveCaller(call, path);
		}
	}

	/**
	 * Lets readiness fail from now on.
	 */
	public void drain() {
		this.draining.set(true);
	}

	/**
	 * Counts the requests in progress.
	 * @return the number of requests that have no whole answer yet
	 */
	public int inProgress() {
		return this.inProgress.get();
	}

	private void serveCaller(IncomingCall call, String path) {
		Configuration configuration = this.node.configuration();
		Rules.Workspace workspace = Caller.workspace(call.headers(), configuration);
		if (path.equals("/v1/models")) {
			call.replyJson(OK, models(configuration, workspace));
		}
		else if (path.equals("/v1/chat/completions")) {
			chat(call, configuration, workspace);
		}
		else if (path.startsWith(SERVICES)) {
			service(call, configuration, workspace, path.substring(SERVICES.length()));
		}
		else {
			throw new ServingException(FailureCode.NOT_FOUND, "no resource " + path);
		}
	}

	private void chat(IncomingCall call, Configuration configuration, Rules.Workspace workspace) {
		if (!"POST".equals(call.method())) {
			throw new ServingException(FailureCode.NOT_FOUND, "chat completions are asked for with POST");
		}
		ChatRequest request = ChatRequest.of(call.body());
		Inventory.Pool pool = configuration.poolOfModel(request.model())
			.orElseThrow(() -> new ServingException(FailureCode.NOT_FOUND, "no model '" + request.model() + "'"));
		Caller.checkPool(workspace, pool);
		track(call);
		ModelCall.start(this.environment, context(workspace, pool, workspace.id() + request.affinity()), call, request);
	}

	private void service(IncomingCall call, Configuration configuration, Rules.Workspace workspace, String rest) {
		int slash = rest.indexOf('/');
		String poolName = (slash >= 0) ? rest.substring(0, slash) : rest;
		Inventory.Pool pool = configuration.pools().get(poolName);
		if (pool == null || pool.kind() != PoolKind.SERVICE) {
			throw new ServingException(FailureCode.NOT_FOUND, "no plain service '" + poolName + "'");
		}
		Caller.checkPool(workspace, pool);
		track(call);
		ServiceCall.start(this.environment, context(workspace, pool, UUID.randomUUID().toString()), this.claims, call,
				(slash >= 0) ? rest.substring(slash) : "/");
	}

	private RequestContext context(Rules.Workspace workspace, Inventory.Pool pool, String affinity) {
		return RequestContext.of(this.environment, workspace, pool, affinity);
	}

	private void track(IncomingCall call) {
		this.inProgress.incrementAndGet();
		call.onFinished(this.inProgress::decrementAndGet);
	}

	private static ModelList models(Configuration configuration, Rules.Workspace workspace) {
		return new ModelList("list",
				configuration.inventory()
					.pools()
					.stream()
					.filter((pool) -> pool.kind() == PoolKind.MODEL && workspace.pools().contains(pool.id()))
					.map((pool) -> new Model(pool.model(), "model", 0, pool.id()))
					.toList());
	}

	/**
	 * The models that a workspace may use, in the form of the chat API.
	 *
	 * @param object always {@code list}
	 * @param data the models
	 */
	public record ModelList(String object, List<Model> data) {

	}

	/**
	 * A model in the form of the chat API.
	 *
	 * @param id its name
	 * @param object always {@code model}
	 * @param created always 0
	 * @param ownedBy the pool that carries it
	 */
	public record Model(String id, String object, long created,
			@com.fasterxml.jackson.annotation.JsonProperty("owned_by") String ownedBy) {

	}

}
