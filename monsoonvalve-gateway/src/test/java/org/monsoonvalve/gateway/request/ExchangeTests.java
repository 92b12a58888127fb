package org.monsoonvalve.gateway.request;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.HttpLimits;
import org.monsoonvalve.core.connection.HttpServer;
import org.monsoonvalve.gateway.connection.Endpoint;
import org.monsoonvalve.gateway.connection.EndpointSet;
import org.monsoonvalve.gateway.process.DecisionLog;
import org.monsoonvalve.gateway.process.GatewaySettings;
import org.monsoonvalve.gateway.version.ClientLimits;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.RequestKind;
import org.monsoonvalve.gateway.version.Route;
import org.monsoonvalve.gateway.version.ServiceProfile;
import org.monsoonvalve.gateway.version.ServingConfiguration;
import org.monsoonvalve.gateway.version.Workspace;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ExchangeTests {

	private static final String OK = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSeal: s1\r\nContent-Length: 2\r\n\r\nok";

	private static final String NOT_RUN = "HTTP/1.1 503 Busy\r\nRequest-Id: $ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

	private static final String STREAM = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSeal: s%d\r\nContent-Type: text/event-stream\r\n"
			+ "Transfer-Encoding: chunked\r\n\r\n";

	private final List<ScriptedEndpoint> started = new ArrayList<>();

	private EventLoop loop;

	private HttpClient client;

	private HttpServer frontend;

	private Dispatcher dispatcher;

	private int port;

	private final List<EndpointRecord> stalled = new CopyOnWriteArrayList<>();

	private static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

	private static String event(int id) {
		return "id: " + id + "\ndata: e" + id + "\n\n";
	}

	@BeforeMethod
	public void start() throws IOException {
		this.loop = EventLoop.start((failure) -> {
			throw new IllegalStateException(failure);
		});
		this.client = HttpClient.start(this.loop, 300);
		try (ServerSocket free = new ServerSocket(0)) {
			this.port = free.getLocalPort();
		}
	}

	@AfterMethod
	public void stop() throws IOException {
		if (this.frontend != null) {
			this.frontend.close();
		}
		this.client.close();
		for (ScriptedEndpoint endpoint : this.started) {
			endpoint.close();
		}
		this.started.clear();
		this.stalled.clear();
	}

	private ScriptedEndpoint endpoint(String answer, ScriptedEndpoint.End end) {
		ScriptedEndpoint endpoint = ScriptedEndpoint.start(answer, end);
		this.started.add(endpoint);
		return endpoint;
	}

	private void serve(RequestKind kind, Address... addresses) {
		serve(kind, 0, addresses);
	}

	private void serve(RequestKind kind, double coldRequestsPerSecond, Address... addresses) {
		Route route = new Route("r", "h", "/a/", kind, 1500, 300, 200, 1, 2, kind == RequestKind.STREAM, false,
				List.of(new Route.Target("s", 1)));
		ServingConfiguration configuration = ServingConfiguration.of(1, List.of(route),
				List.of(new ServiceProfile("s", "/health", 100, 0, coldRequestsPerSecond, Optional.empty())),
				Map.of("key-1", new Workspace("foremen", 1)), true, new ClientLimits(16384, 100_000, 3000, 15_000));
		Map<String, EndpointRecord> records = new HashMap<>();
		for (int i = 0; i < addresses.length; i++) {
			String id = "vm-" + i;
			records.put(id, new EndpointRecord(id, "s", addresses[i], (i == 0) ? "near" : "far", 6, false, 0, 1, "",
					List.of(), List.of(), Optional.empty(), 1));
		}
		DecisionLog log = DecisionLog.start(Clock.systemUTC(), "gateway-1", (line) -> {
		});
		EndpointSet endpoints = new EndpointSet("near", (record) -> new Endpoint(record, this.client, () -> {
		}), log);
		endpoints
			.update(new FleetView(1, Optional.of(configuration), 1, Set.of(), records, Map.of(), Map.of(), Map.of()));
		this.dispatcher = new Dispatcher(this.loop, ForwardedHeadersTests.NAMES, endpoints,
				new GatewaySettings.Bounds(8000, 0.2, 10_000, 100, 1.5, 5, 5000), () -> 1, log,
				new RequestMetrics(new MetricRegistry()), this.stalled::add);
		this.frontend = HttpServer.start(this.loop, new Address("127.0.0.1", this.port),
				new HttpLimits(16384, 100_000, 100_000), this.dispatcher::accept);
	}

	private Socket send() throws IOException {
		Socket socket = new Socket("127.0.0.1", this.port);
		socket.setSoTimeout(5000);
		socket.getOutputStream()
			.write(("POST /a/x?q=1 HTTP/1.1\r\nHost: h\r\nRequest-Id: id-1\r\nAuthorization: Bearer key-1\r\n"
					+ "Deadline: 9000\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody")
				.getBytes(StandardCharsets.US_ASCII));
		return socket;
	}

	private String ask() throws IOException {
		try (Socket socket = send()) {
			StringBuilder answer = new StringBuilder();
			try {
				for (int next = socket.getInputStream().read(); next >= 0; next = socket.getInputStream().read()) {
					answer.append((char) next);
				}
			}
			catch (java.net.SocketException ex) {
				return answer + "<reset>";
			}
			return answer.toString();
		}
	}

	@Test
	public void anAnswerIsPassedOnAndTheKeyIsNot() throws IOException {
		ScriptedEndpoint endpoint = endpoint(OK, ScriptedEndpoint.End.KEEP);
		serve(RequestKind.UNSAFE, endpoint.address());
		String answer = ask();
		Assert.assertTrue(answer.startsWith("HTTP/1.1 200") && answer.contains("Seal: s1") && answer.endsWith("ok"),
				answer);
		String seen = endpoint.requests.get(0);
		Assert.assertTrue(seen.startsWith("POST /a/x?q=1 HTTP/1.1"), seen);
		Assert.assertTrue(seen.contains("Workspace: foremen") && seen.contains("Only-At: vm-0"), seen);
		Assert.assertFalse(seen.contains("key-1"), seen);
		long deadlineMillis = seen.lines()
			.filter((line) -> line.startsWith("Deadline: "))
			.mapToLong((line) -> Long.parseLong(line.substring(10)))
			.sum();
		Assert.assertTrue(deadlineMillis > 0 && deadlineMillis <= 1500, "no more than the route's timeout");
	}

	@DataProvider
	public Object[][] lostAnswers() {
		return new Object[][] { { "", ScriptedEndpoint.End.CLOSE }, { "", ScriptedEndpoint.End.RESET },
				{ "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nContent-Length: 9\r\n\r\nok", ScriptedEndpoint.End.CLOSE },
				{ "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\n\r\nok", ScriptedEndpoint.End.RESET },
				{ "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nok", ScriptedEndpoint.End.KEEP },
				{ "rubbish\r\n\r\n", ScriptedEndpoint.End.CLOSE }, { "", ScriptedEndpoint.End.KEEP } };
	}

	@Test(dataProvider = "lostAnswers")
	public void aRequestThatMayRunOnceIsNotSentAgainAndNeverCalledNotRun(String lost, ScriptedEndpoint.End end)
			throws IOException {
		ScriptedEndpoint first = endpoint(lost, end);
		ScriptedEndpoint second = endpoint(OK, ScriptedEndpoint.End.KEEP);
		serve(RequestKind.UNSAFE, first.address(), second.address());
		String answer = ask();
		Assert.assertTrue(answer.startsWith("HTTP/1.1 502") || answer.startsWith("HTTP/1.1 504"), answer);
		Assert.assertEquals(first.requests.size() + second.requests.size(), 1);
	}

	@Test(dataProvider = "lostAnswers")
	public void anIdempotentRequestIsAnsweredByAnotherEndpoint(String lost, ScriptedEndpoint.End end)
			throws IOException {
		ScriptedEndpoint first = endpoint(lost, end);
		ScriptedEndpoint second = endpoint(OK, ScriptedEndpoint.End.KEEP);
		serve(RequestKind.SAFE, first.address(), second.address());
		Assert.assertTrue(ask().endsWith("ok"));
		Assert.assertEquals(second.requests.size(), 1);
	}

	@Test
	public void aRequestThatCertainlyDidNotRunGoesElsewhere() throws IOException {
		ScriptedEndpoint first = endpoint(NOT_RUN, ScriptedEndpoint.End.KEEP);
		ScriptedEndpoint second = endpoint(OK, ScriptedEndpoint.End.KEEP);
		serve(RequestKind.UNSAFE, first.address(), second.address());
		Assert.assertTrue(ask().endsWith("ok"));
	}

	@Test
	public void aRequestThatNoEndpointRanIsRefusedWithATimeToReturn() throws IOException {
		serve(RequestKind.UNSAFE, endpoint(NOT_RUN, ScriptedEndpoint.End.KEEP).address());
		String answer = ask();
		Assert.assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("Retry-After: 0."), answer);
	}

	@Test
	public void aBrokenStreamGoesOnAfterItsLastWholeEvent() throws IOException {
		ScriptedEndpoint first = endpoint(STREAM.formatted(1) + chunk(event(1) + event(2) + "id: 3\nda"),
				ScriptedEndpoint.End.CLOSE);
		ScriptedEndpoint second = endpoint(STREAM.formatted(2) + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n",
				ScriptedEndpoint.End.KEEP);
		serve(RequestKind.STREAM, first.address(), second.address());
		String answer = ask();
		Assert.assertTrue(answer.contains("Seal: s1") && !answer.contains("Seal: s2"), answer);
		Assert.assertEquals(answer.split("data: e").length - 1, 4, answer);
		Assert.assertTrue(answer.endsWith("0\r\n\r\n"), answer);
		Assert.assertTrue(second.requests.get(0).contains("Last-Event-ID: 2"), second.requests.get(0));
	}

	@Test
	public void aSilentStreamGoesOnElsewhere() throws IOException {
		ScriptedEndpoint first = endpoint(STREAM.formatted(1) + chunk(event(1)), ScriptedEndpoint.End.KEEP);
		ScriptedEndpoint second = endpoint(STREAM.formatted(2) + chunk(event(2)) + "0\r\n\r\n",
				ScriptedEndpoint.End.KEEP);
		serve(RequestKind.STREAM, first.address(), second.address());
		Assert.assertEquals(ask().split("data: e").length - 1, 2);
		Assert.assertEquals(this.stalled.get(0).address(), first.address(), "the planner is told");
	}

	@Test
	public void aSilentStreamStaysWhereItIsWithoutAnotherEndpoint() throws IOException {
		ScriptedEndpoint only = endpoint(STREAM.formatted(1) + chunk(event(1)), ScriptedEndpoint.End.KEEP);
		serve(RequestKind.STREAM, only.address());
		long startNanos = System.nanoTime();
		ask();
		long lastedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
		Assert.assertTrue(lastedMillis >= 1400, "it may go on until the route's timeout, lasted " + lastedMillis);
	}

	@Test
	public void aStreamThatCannotGoOnDoesNotLookWhole() throws IOException {
		ScriptedEndpoint first = endpoint(STREAM.formatted(1) + chunk(event(1)), ScriptedEndpoint.End.CLOSE);
		serve(RequestKind.STREAM, first.address());
		String answer = ask();
		Assert.assertFalse(answer.endsWith("0\r\n\r\n"), answer);
	}

	@Test
	public void anEndpointThatMayBeColdGetsNoMoreThanItBearsInASecond() throws IOException {
		ScriptedEndpoint endpoint = endpoint(OK, ScriptedEndpoint.End.KEEP);
		serve(RequestKind.SAFE, 2, endpoint.address());
		long startNanos = System.nanoTime();
		int refused = 0;
		while (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < 800) {
			refused += ask().startsWith("HTTP/1.1 503") ? 1 : 0;
		}
		Assert.assertTrue(endpoint.requests.size() <= 2 * 1.5 + 5, "sent " + endpoint.requests.size());
		Assert.assertTrue(refused > 0, "refused at once");
	}

	@Test
	public void aProcessAboutToStopRefusesWhatItMightNotFinish() throws Exception {
		ScriptedEndpoint endpoint = endpoint(STREAM.formatted(1) + chunk(event(1)), ScriptedEndpoint.End.KEEP);
		serve(RequestKind.UNSAFE, endpoint.address());
		try (Socket begun = send()) {
			while (endpoint.requests.isEmpty()) {
				Thread.onSpinWait();
			}
			this.dispatcher.stop();
			Assert.assertTrue(ask().startsWith("HTTP/1.1 503"));
			Assert.assertEquals(endpoint.requests.size(), 1, "the refused request has not run");
			Assert.assertEquals(this.dispatcher.inProgress(), 1, "the one before goes on");
			Assert.assertFalse(begun.isClosed());
		}
	}

	@Test
	public void anEndpointLearnsThatTheCallerHasLeft() throws Exception {
		ScriptedEndpoint first = endpoint("", ScriptedEndpoint.End.KEEP);
		serve(RequestKind.UNSAFE, first.address());
		Socket socket = send();
		while (first.requests.isEmpty()) {
			Thread.onSpinWait();
		}
		socket.close();
		Assert.assertTrue(first.callerLeft.await(500, TimeUnit.MILLISECONDS));
	}

}
