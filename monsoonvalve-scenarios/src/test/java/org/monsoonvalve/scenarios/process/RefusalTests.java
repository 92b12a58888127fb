package org.monsoonvalve.scenarios.process;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.connection.HttpResponse;
import org.monsoonvalve.core.request.Problem;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RefusalTests {

	private static final ClusterSpec SPEC = new ClusterSpec(List.of("a"), 1, 0, 0, 1, 1, true, 0, 5, 5, 64, null, null);

	private static final String CHAT = "/v1/chat/completions";

	private Cluster cluster;

	private ManagedProcess entry;

	@BeforeClass
	public void start() {
		this.cluster = Cluster.start(SPEC, Path.of("target", "scenario-logs", "refusals"), new Timeline());
		this.entry = this.cluster.entries().get(0);
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		if (this.cluster != null) {
			this.cluster.close();
		}
	}

	private HttpResponse send(String method, String target, String key, String body) {
		return this.cluster.call(this.entry.address(), new HttpRequest(method, target,
				Headers.of("Authorization", "Bearer " + key), body.getBytes(StandardCharsets.UTF_8)));
	}

	@DataProvider
	public Object[][] refused() {
		String good = Cluster.WORKSPACE_KEY;
		String question = "{\"model\":\"grass-llm\",\"messages\":[{\"role\":\"user\",\"content\":\"q\"}]}";
		return new Object[][] { { "POST", CHAT, "wrong", question, 401, "unauthenticated" },
				{ "POST", CHAT, good, "{", 400, "malformed-content" },
				{ "POST", CHAT, good, "{\"model\":7}", 400, "invalid-request" },
				{ "POST", CHAT, good, question.replace("grass-llm", "none"), 404, "not-found" },
				{ "GET", CHAT, good, "", 404, "not-found" }, { "GET", "/nowhere", good, "", 404, "not-found" },
				{ "GET", "/services/none/x", good, "", 404, "not-found" },
				{ "POST", "/services/depot-app/bookings", good, "x".repeat(1024 * 1024 + 1), 413, "body-too-large" },
				{ "POST", CHAT, good, question, 503, "no-capacity" },
				{ "GET", "/admin/v1/status", good, "", 401, "unauthenticated" },
				{ "GET", "/admin/v1/documents/none", Cluster.ADMIN_KEY, "", 404, "not-found" },
				{ "PUT", "/admin/v1/documents/rules", Cluster.ADMIN_KEY, "zonesOut: []", 400, "invalid-request" } };
	}

	@Test(dataProvider = "refused")
	public void everyRefusalIsTypedAndSaysThatNothingRan(String method, String target, String key, String body,
			int status, String code) {
		HttpResponse reply = send(method, target, key, body);
		JsonNode problem = reply.json();
		Assert.assertEquals(problem.path("code").asText(), code);
		Assert.assertEquals(reply.status(), status);
		Assert.assertEquals(reply.headers().get("Content-Type").orElse(""), Problem.MEDIA_TYPE);
		Assert.assertEquals(problem.path("run").asText(), "not-run");
		Assert.assertEquals(reply.headers().get("Retry-After").isPresent(), status == 503);
	}

	@Test
	public void anIdempotencyKeyIsNotTakenForAnotherRequest() {
		Headers headers = Headers.of("Authorization", "Bearer " + Cluster.WORKSPACE_KEY)
			.with("Idempotency-Key", UUID.randomUUID().toString());
		HttpRequest first = new HttpRequest("POST", "/services/depot-app/bookings", headers, new byte[] { '1' });
		HttpRequest other = new HttpRequest("POST", "/services/depot-app/bookings", headers, new byte[] { '2' });
		Assert.assertEquals(this.cluster.call(this.entry.address(), first).status(), 201);
		Assert.assertEquals(this.cluster.call(this.entry.address(), other).json().path("code").asText(), "key-reused");
		HttpResponse again = this.cluster.call(this.entry.address(), first);
		Assert.assertEquals(again.status(), 201);
		Assert.assertTrue(again.headers().get("Idempotency-Replayed").isPresent());
	}

	@Test
	public void aDocumentWithFaultsIsRefusedWholeWithAllOfThem() {
		Headers headers = Headers.of("Authorization", "Bearer " + Cluster.ADMIN_KEY)
			.with("If-Match", "\"" + this.cluster.admin().revision(this.entry, "rules") + "\"");
		String bad = "zonesOut: [nowhere]\nendpointsOut: [nothing]\n";
		HttpResponse reply = this.cluster.call(this.entry.address(),
				new HttpRequest("PUT", "/admin/v1/documents/rules", headers, bad.getBytes(StandardCharsets.UTF_8)));
		Assert.assertEquals(reply.status(), 422);
		Assert.assertEquals(reply.json().path("faults").size(), 2);
	}

	@Test
	public void aHeadRequestIsAnsweredWithoutContent() {
		HttpResponse reply = send("HEAD", "/services/depot-app/stock", Cluster.WORKSPACE_KEY, "");
		Assert.assertEquals(reply.status(), 200);
		Assert.assertEquals(reply.body().length, 0);
	}

	@Test
	public void theBalancersQuestionIsAnswered() {
		Assert.assertEquals(send("GET", "/readyz", "", "").status(), 200);
		Assert.assertEquals(send("GET", "/healthz", "", "").status(), 200);
		Assert.assertTrue(send("GET", "/metrics", "", "").json().path("gauges").has("requests.in-progress"));
	}

}
