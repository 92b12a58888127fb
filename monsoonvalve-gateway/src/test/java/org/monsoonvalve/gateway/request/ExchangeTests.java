package org.monsoonvalve.gateway.request;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import org.awaitility.Awaitility;
import org.monsoonvalve.admission.process.EndpointShares;
import org.monsoonvalve.admission.process.ShareLoans;
import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.HttpLimits;
import org.monsoonvalve.core.connection.HttpServer;
import org.monsoonvalve.core.connection.MessageReaderTests;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.process.SmallHeap;
import org.monsoonvalve.gateway.connection.Endpoint;
import org.monsoonvalve.gateway.connection.EndpointSet;
import org.monsoonvalve.gateway.process.CrashEvidence;
import org.monsoonvalve.gateway.process.DecisionLog;
import org.monsoonvalve.gateway.process.EndpointLimits;
import org.monsoonvalve.gateway.process.GatewaySettings;
import org.monsoonvalve.gateway.process.PromptBlock;
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

	private static final String OK = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nServed-By: s1\r\nContent-Length: 2\r\n\r\nok";

	/** Largest content that the platform's clients send. */
	private static final int LARGE_BYTES = 4 * 1024 * 1024;

	/** Memory that counters and pools may take in proportion to the requests. */
	private static final int KEPT_PER_REQUEST_BYTES = 1024;

	private static final String NOT_RUN = "HTTP/1.1 503 Busy\r\nRequest-Id: $ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

	private static final String STREAM = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nServed-By: s%d\r\nContent-Type: text/event-stream\r\n"
			+ "Transfer-Encoding: chunked\r\n\r\n";

	private final List<ScriptedEndpoint> scriptedEndpoints = new ArrayList<>();

	private long timeoutMillis = 1500;

	private int bodyBytes = 100_000;

	private EventLoop loop;

	private HttpClient client;

	private final AtomicLong evidenceMillis = new AtomicLong();

	private CrashEvidence crashes;

	private HttpServer frontend;

	private Dispatcher dispatcher;

	private final List<EndpointRecord> stalledEndpoints = new CopyOnWriteArrayList<>();

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
		this.timeoutMillis = 1500;
		this.bodyBytes = 100_000;
	}

	@AfterMethod
	public void stop() throws IOException {
		if (this.frontend != null) {
			this.frontend.close();
		}
		this.client.close();
		for (ScriptedEndpoint endpoint : this.scriptedEndpoints) {
			endpoint.close();
		}
		this.scriptedEndpoints.clear();
		this.stalledEndpoints.clear();
	}

	private ScriptedEndpoint endpoint(String response, ScriptedEndpoint.ConnectionAction action) {
		ScriptedEndpoint endpoint = ScriptedEndpoint.start(response, action);
		this.scriptedEndpoints.add(endpoint);
		return endpoint;
	}

	private void serve(RequestKind kind, Address... addresses) {
		serve(kind, 0, addresses);
	}

	private void serve(RequestKind kind, double coldRequestsPerSecond, Address... addresses) {
		Route route = new Route("r", "h", "/a/", kind, this.timeoutMillis, 300, 200, 1, 2, kind == RequestKind.STREAM,
				false, List.of(new Route.Target("s", 1)));
		ServingConfiguration configuration = ServingConfiguration.of(1, List.of(route),
				List.of(new ServiceProfile("s", "/health", 100, 0, coldRequestsPerSecond, Optional.empty())),
				Map.of("key-1", new Workspace("foremen", 1)), true, new ClientLimits(16384, 100_000, 3000, 15_000));
		Map<String, EndpointRecord> records = new HashMap<>();
		for (int i = 0; i < addresses.length; i++) {
			String id = "vm-" + i;
			records.put(id, new EndpointRecord(id, "s", addresses[i], (i == 0) ? "near" : "far", 6, false, 0, 1, "",
					List.of(), List.of(), Optional.empty(), StorePosition.of(1)));
		}
		DecisionLog log = DecisionLog.start(Clock.systemUTC(), "gateway-1", (line) -> {
		});
		EndpointSet endpoints = new EndpointSet("near", (record) -> new Endpoint(record, this.client, () -> {
		}), log);
		endpoints.update(new FleetView(StorePosition.of(1), Optional.of(configuration), StorePosition.of(1), Set.of(),
				records, Map.of(), Map.of(), Map.of()));
		this.crashes = new CrashEvidence("gateway-1", this.evidenceMillis::get, new NoTrials(), new BlockListener());
		this.dispatcher = new Dispatcher(this.loop, ForwardedHeadersTests.NAMES, endpoints,
				new GatewaySettings.Bounds(8000, 0.2, 10_000, 100, 1.5, 5, 5000), () -> 1, log,
				new RequestMetrics(new MetricRegistry()), this.stalledEndpoints::add, this.crashes,
				new EndpointLimits("gateway-1", EventLoop::nowMillis, new NoLimitNews()),
				new ShareLoans(new EndpointShares("gateway-1"), new Random(), (question) -> {
				}));
		// A port that was free some time before may be taken by a connection meanwhile.
		this.frontend = HttpServer.start(this.loop, new Address("127.0.0.1", 0),
				new HttpLimits(16384, this.bodyBytes, 100_000), this.dispatcher::accept);
	}

	private Socket send() throws IOException {
		return send("");
	}

	private Socket send(String fields) throws IOException {
		return send(fields, "id-1");
	}

	private Socket send(String fields, String id) throws IOException {
		Socket socket = new Socket("127.0.0.1", this.frontend.address().port());
		socket.setSoTimeout(5000);
		socket.getOutputStream()
			.write(("POST /a/x?q=1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nAuthorization: Bearer key-1\r\n"
					+ "Deadline: 9000\r\n" + fields + "Connection: close\r\nContent-Length: 4\r\n\r\nbody")
				.getBytes(StandardCharsets.US_ASCII));
		return socket;
	}

	private String sendAndRead() throws IOException {
		return sendAndRead("");
	}

	private String sendAndRead(String fields) throws IOException {
		return sendAndRead(fields, "id-1");
	}

	private String sendAndRead(String fields, String id) throws IOException {
		try (Socket socket = send(fields, id)) {
			StringBuilder response = new StringBuilder();
			try {
				for (int next = socket.getInputStream().read(); next >= 0; next = socket.getInputStream().read()) {
					response.append((char) next);
				}
			}
			catch (java.net.SocketException ex) {
				return response + "<reset>";
			}
			return response.toString();
		}
	}

	@Test
	public void theResponseIsForwardedToTheCallerButTheApiKeyIsNotSentToTheEndpoint() throws IOException {
		ScriptedEndpoint endpoint = endpoint(OK, ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.UNSAFE, endpoint.address());
		String response = sendAndRead();
		Assert.assertTrue(
				response.startsWith("HTTP/1.1 200") && response.contains("Served-By: s1") && response.endsWith("ok"),
				response);
		String seen = endpoint.requests.get(0);
		Assert.assertTrue(seen.startsWith("POST /a/x?q=1 HTTP/1.1"), seen);
		Assert.assertTrue(seen.contains("Workspace: foremen") && seen.contains("Only-At: vm-0"), seen);
		Assert.assertFalse(seen.contains("key-1"), seen);
		long deadlineMillis = seen.lines()
			.filter((line) -> line.startsWith("Deadline: "))
			.mapToLong((line) -> Long.parseLong(line.substring(10)))
			.sum();
		Assert.assertTrue(deadlineMillis > 0 && deadlineMillis <= 1500,
				"the deadline is positive and at most the route's timeout");
	}

	private void endAllAfter(Duration delay) {
		this.loop.execute(() -> this.loop.schedule(delay.toMillis(), this.dispatcher::endAll));
	}

	// The connections of requests in progress were closed without an answer at the end of
	// the grace time.
	@Test
	public void aRequestInProgressIsAnsweredWhenTheProcessEnds() throws IOException {
		serve(RequestKind.UNSAFE, endpoint("", ScriptedEndpoint.ConnectionAction.KEEP).address());
		endAllAfter(Duration.ofMillis(300));
		String response = sendAndRead();
		Assert.assertTrue(response.startsWith("HTTP/1.1 502"), "the request may have run: " + response);
	}

	@Test
	public void aStreamInProgressIsNotCompletedWhenTheProcessEnds() throws IOException {
		serve(RequestKind.STREAM,
				endpoint(
						"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nContent-Type: text/event-stream\r\n"
								+ "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1)),
						ScriptedEndpoint.ConnectionAction.KEEP)
					.address());
		endAllAfter(Duration.ofMillis(300));
		String response = sendAndRead();
		Assert.assertTrue(response.contains("data: e1") && !response.contains("\r\n0\r\n"), response);
		Assert.assertEquals(response.split("HTTP/1.1", -1).length, 2, "no second head: " + response);
	}

	@DataProvider
	public Object[][] lostResponses() {
		return new Object[][] { { "", ScriptedEndpoint.ConnectionAction.CLOSE },
				{ "", ScriptedEndpoint.ConnectionAction.RESET },
				{ "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nContent-Length: 9\r\n\r\nok",
						ScriptedEndpoint.ConnectionAction.CLOSE },
				{ "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\n\r\nok", ScriptedEndpoint.ConnectionAction.RESET },
				{ "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nok",
						ScriptedEndpoint.ConnectionAction.KEEP },
				{ "rubbish\r\n\r\n", ScriptedEndpoint.ConnectionAction.CLOSE },
				{ "", ScriptedEndpoint.ConnectionAction.KEEP } };
	}

	@Test(dataProvider = "lostResponses")
	public void aNonIdempotentRequestWithALostResponseIsNeitherRetriedNorReportedAsNotRun(String lostResponse,
			ScriptedEndpoint.ConnectionAction action) throws IOException {
		ScriptedEndpoint first = endpoint(lostResponse, action);
		ScriptedEndpoint second = endpoint(OK, ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.UNSAFE, first.address(), second.address());
		String response = sendAndRead();
		Assert.assertTrue(response.startsWith("HTTP/1.1 502") || response.startsWith("HTTP/1.1 504"), response);
		Assert.assertEquals(first.requests.size() + second.requests.size(), 1);
	}

	@Test(dataProvider = "lostResponses")
	public void anIdempotentRequestWithALostResponseIsRetriedAtAnotherEndpoint(String lostResponse,
			ScriptedEndpoint.ConnectionAction action) throws IOException {
		ScriptedEndpoint first = endpoint(lostResponse, action);
		ScriptedEndpoint second = endpoint(OK, ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.SAFE, first.address(), second.address());
		Assert.assertTrue(sendAndRead().endsWith("ok"));
		Assert.assertEquals(second.requests.size(), 1);
	}

	@Test
	public void aRequestThatCertainlyDidNotRunIsSentToAnotherEndpoint() throws IOException {
		ScriptedEndpoint first = endpoint(NOT_RUN, ScriptedEndpoint.ConnectionAction.KEEP);
		ScriptedEndpoint second = endpoint(OK, ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.UNSAFE, first.address(), second.address());
		Assert.assertTrue(sendAndRead().endsWith("ok"));
	}

	@Test
	public void aRequestThatNoEndpointRanIsRefusedWithRetryAfter() throws IOException {
		serve(RequestKind.UNSAFE, endpoint(NOT_RUN, ScriptedEndpoint.ConnectionAction.KEEP).address());
		String response = sendAndRead();
		Assert.assertTrue(response.startsWith("HTTP/1.1 503") && response.contains("Retry-After: 0."), response);
	}

	@Test
	public void aBrokenStreamIsResumedAfterItsLastCompleteEvent() throws IOException {
		ScriptedEndpoint first = endpoint(STREAM.formatted(1) + chunk(event(1) + event(2) + "id: 3\nda"),
				ScriptedEndpoint.ConnectionAction.CLOSE);
		ScriptedEndpoint second = endpoint(STREAM.formatted(2) + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n",
				ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.STREAM, first.address(), second.address());
		String response = sendAndRead();
		Assert.assertTrue(response.contains("Served-By: s1") && !response.contains("Served-By: s2"), response);
		Assert.assertEquals(response.split("data: e").length - 1, 4, response);
		Assert.assertTrue(response.endsWith("0\r\n\r\n"), response);
		Assert.assertTrue(second.requests.get(0).contains("Last-Event-ID: 2"), second.requests.get(0));
	}

	@Test
	public void aStalledStreamIsResumedAtAnotherEndpoint() throws IOException {
		ScriptedEndpoint first = endpoint(STREAM.formatted(1) + chunk(event(1)),
				ScriptedEndpoint.ConnectionAction.KEEP);
		ScriptedEndpoint second = endpoint(STREAM.formatted(2) + chunk(event(2)) + "0\r\n\r\n",
				ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.STREAM, first.address(), second.address());
		Assert.assertEquals(sendAndRead().split("data: e").length - 1, 2);
		Assert.assertEquals(this.stalledEndpoints.get(0).address(), first.address(),
				"the stall is reported to the planner");
	}

	@Test
	public void aStalledStreamStaysAtItsEndpointIfThereIsNoOther() throws IOException {
		ScriptedEndpoint only = endpoint(STREAM.formatted(1) + chunk(event(1)), ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.STREAM, only.address());
		long startNanos = System.nanoTime();
		sendAndRead();
		long lastedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
		Assert.assertTrue(lastedMillis >= 1400,
				"the stream stays open until the route's timeout, lasted " + lastedMillis);
	}

	// A stream that broke off was cut towards its caller when all other endpoints were
	// full
	// for a moment.
	@Test
	public void aStreamThatHasBegunWaitsForAnEndpointThatIsFullForAMoment() throws IOException {
		ScriptedEndpoint first = endpoint(STREAM.formatted(1) + chunk(event(1)),
				ScriptedEndpoint.ConnectionAction.CLOSE);
		ScriptedEndpoint second = ScriptedEndpoint.start(
				List.of(NOT_RUN, STREAM.formatted(2) + chunk(event(2)) + "0\r\n\r\n"),
				ScriptedEndpoint.ConnectionAction.KEEP);
		this.scriptedEndpoints.add(second);
		serve(RequestKind.STREAM, first.address(), second.address());
		String response = sendAndRead();
		Assert.assertEquals(response.split("data: e").length - 1, 2, response);
		Assert.assertTrue(response.endsWith("0\r\n\r\n"), response);
		Assert.assertEquals(first.requests.size(), 1);
	}

	@DataProvider
	public Object[][] answersToAResumedStream() {
		String large = "x".repeat(70_000);
		return IntStream.of(200, 204, 301, 400, 404, 429, 500, 503)
			.boxed()
			.flatMap((status) -> Stream.of("", "error", large).map((body) -> new Object[] { status, body }))
			.toArray(Object[][]::new);
	}

	// An answer that is no stream was written into the stream that the caller was
	// reading,
	// with its head, and the stream ended as if it were complete.
	@Test(dataProvider = "answersToAResumedStream")
	public void anAnswerThatIsNoStreamDoesNotGetIntoAStreamThatHasBegun(int status, String body) throws IOException {
		ScriptedEndpoint first = endpoint(STREAM.formatted(1) + chunk(event(1)),
				ScriptedEndpoint.ConnectionAction.CLOSE);
		ScriptedEndpoint second = endpoint(
				"HTTP/1.1 " + status + " X\r\nRequest-Id: $ID\r\nContent-Type: text/plain\r\n"
						+ ((status == 204) ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body),
				ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.STREAM, first.address(), second.address());
		String response = sendAndRead();
		Assert.assertEquals(second.requests.size(), 1, "the stream is resumed");
		Assert.assertTrue(response.startsWith("HTTP/1.1 200") && response.lastIndexOf("HTTP/1.1") == 0, response);
		Assert.assertFalse(response.contains("error") || response.contains("xxx"), response);
		Assert.assertFalse(response.endsWith("0\r\n\r\n"), "the stream looks complete: " + response);
	}

	@DataProvider
	public Object[][] repeatedRefusals() {
		String withId = NOT_RUN;
		String earlier = NOT_RUN.replace("$ID", "id-0");
		String without = NOT_RUN.replace("Request-Id: $ID\r\n", "");
		return new Object[][] { { withId + withId, OK, false }, { withId + earlier, OK, false },
				{ withId + without, OK, false }, { withId + ScriptedEndpoint.PAUSE + withId, OK, true },
				{ withId, earlier + OK, true }, { withId, without + OK, true },
				{ withId, earlier + ScriptedEndpoint.PAUSE + OK, true } };
	}

	// A refusal that an endpoint wrote once more was taken for that of the next request,
	// which the endpoint was running.
	@Test(dataProvider = "repeatedRefusals")
	public void aRefusalThatIsWrittenTwiceIsNotBelievedForTheNextRequest(String firstResponse, String secondResponse,
			boolean pauseBetween) throws Exception {
		ScriptedEndpoint faulty = ScriptedEndpoint.start(List.of(firstResponse, secondResponse),
				ScriptedEndpoint.ConnectionAction.KEEP);
		this.scriptedEndpoints.add(faulty);
		serve(RequestKind.UNSAFE, faulty.address());
		Assert.assertTrue(sendAndRead().startsWith("HTTP/1.1 503"), "the first one was refused");
		if (pauseBetween) {
			Thread.sleep(300);
		}
		String response = sendAndRead("", "id-2");
		Assert.assertEquals(faulty.requests.size(), 2, "the second request reached the endpoint");
		Assert.assertTrue(response.endsWith("ok") || response.startsWith("HTTP/1.1 502"), response);
	}

	@DataProvider
	public Object[][] brokenHeads() {
		String head = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nServed-By: s1\r\nConnection: close\r\n\r\n";
		String trailers = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n";
		return Stream.of(ScriptedEndpoint.ConnectionAction.CLOSE, ScriptedEndpoint.ConnectionAction.RESET)
			.flatMap((action) -> Stream.of(new Object[] { prefixes(head, 1), action },
					new Object[] { prefixes("HTTP/1.1 100 Continue\r\n\r\n" + head, 1), action },
					new Object[] { prefixes(trailers, trailers.indexOf("2\r\nok")), action }))
			.toArray(Object[][]::new);
	}

	private static List<String> prefixes(String text, int minLength) {
		return IntStream.range(minLength, text.length()).mapToObj((length) -> text.substring(0, length)).toList();
	}

	// A head that broke off reached the caller as a complete response without content.
	@Test(dataProvider = "brokenHeads")
	public void aHeadThatBreaksOffIsNoResponse(List<String> prefixes, ScriptedEndpoint.ConnectionAction action)
			throws Exception {
		for (String prefix : prefixes) {
			for (List<String> responses : List.of(List.of(prefix), List.of(OK, prefix))) {
				start();
				ScriptedEndpoint broken = ScriptedEndpoint.start(responses, action);
				this.scriptedEndpoints.add(broken);
				serve(RequestKind.UNSAFE, broken.address());
				String response = "";
				for (int i = 0; i < responses.size(); i++) {
					response = sendAndRead("", "id-" + i);
				}
				Assert.assertTrue(response.startsWith("HTTP/1.1 502"), "after " + prefix + ": " + response);
				stop();
			}
		}
	}

	// Guards against a response with status 000, with a spoilt length, or with a line
	// that
	// is no field: callers got it as a complete response.
	@Test(dataProvider = "malformedResponses", dataProviderClass = MessageReaderTests.class)
	public void aMalformedResponseIsNotPassedOn(String malformed) throws IOException {
		for (ScriptedEndpoint.ConnectionAction action : List.of(ScriptedEndpoint.ConnectionAction.KEEP,
				ScriptedEndpoint.ConnectionAction.CLOSE)) {
			ScriptedEndpoint endpoint = endpoint(malformed, action);
			serve(RequestKind.UNSAFE, endpoint.address());
			String response = sendAndRead();
			Assert.assertTrue(response.startsWith("HTTP/1.1 502"), response);
			this.frontend.close();
		}
	}

	@Test
	public void aStreamThatCannotBeResumedDoesNotLookComplete() throws IOException {
		ScriptedEndpoint first = endpoint(STREAM.formatted(1) + chunk(event(1)),
				ScriptedEndpoint.ConnectionAction.CLOSE);
		serve(RequestKind.STREAM, first.address());
		String response = sendAndRead();
		Assert.assertFalse(response.endsWith("0\r\n\r\n"), response);
	}

	@Test
	public void anEndpointThatMayBeColdGetsNoMoreThanItsColdRequestRate() throws IOException {
		ScriptedEndpoint endpoint = endpoint(OK, ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.SAFE, 2, endpoint.address());
		long startNanos = System.nanoTime();
		int refused = 0;
		while (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < 800) {
			refused += sendAndRead().startsWith("HTTP/1.1 503") ? 1 : 0;
		}
		Assert.assertTrue(endpoint.requests.size() <= 2 * 1.5 + 5, "sent " + endpoint.requests.size());
		Assert.assertTrue(refused > 0, "requests over the limit are refused");
	}

	@Test
	public void aProcessAboutToStopRefusesRequestsItMightNotFinish() throws Exception {
		ScriptedEndpoint endpoint = endpoint(STREAM.formatted(1) + chunk(event(1)),
				ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.UNSAFE, endpoint.address());
		try (Socket earlier = send()) {
			while (endpoint.requests.isEmpty()) {
				Thread.onSpinWait();
			}
			this.dispatcher.stop();
			Assert.assertTrue(sendAndRead().startsWith("HTTP/1.1 503"));
			Assert.assertEquals(endpoint.requests.size(), 1, "the refused request was not sent to the endpoint");
			Assert.assertEquals(this.dispatcher.inProgress(), 1, "the earlier request continues");
			Assert.assertFalse(earlier.isClosed());
		}
	}

	@Test
	public void anEndpointIsDisconnectedWhenTheCallerHasLeft() throws Exception {
		ScriptedEndpoint first = endpoint("", ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.UNSAFE, first.address());
		Socket socket = send();
		while (first.requests.isEmpty()) {
			Thread.onSpinWait();
		}
		socket.close();
		Assert.assertTrue(first.callerDisconnected.await(500, TimeUnit.MILLISECONDS));
	}

	// A process that starts under load reads requests late. A caller that gave up in the
	// meantime has closed its connection, which is known only after the request was read.
	@Test
	public void aRequestWhoseCallerLeftBeforeItWasReadIsNotSentToAnEndpoint() throws Exception {
		ScriptedEndpoint endpoint = endpoint(OK, ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.SAFE, endpoint.address());
		CountDownLatch busy = new CountDownLatch(1);
		this.loop.execute(() -> awaitUninterruptibly(busy));
		for (int i = 0; i < 20; i++) {
			send().close();
		}
		busy.countDown();
		Assert.assertTrue(sendAndRead().endsWith("ok"), "a caller that waits gets its response");
		Assert.assertEquals(endpoint.requests.size(), 1);
	}

	private static void awaitUninterruptibly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@DataProvider
	public Object[][] endlessResponses() {
		String head = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\n";
		String chunked = "Request-Id: $ID\r\nTransfer-Encoding: chunked\r\n\r\n";
		return new Object[][] { { "", ScriptedEndpoint.ConnectionAction.ENDLESS_LETTERS },
				{ head + "X-A: ", ScriptedEndpoint.ConnectionAction.ENDLESS_LETTERS },
				{ head, ScriptedEndpoint.ConnectionAction.ENDLESS_LINES },
				{ "", ScriptedEndpoint.ConnectionAction.ENDLESS_INTERIM_RESPONSES },
				{ "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" + chunked, ScriptedEndpoint.ConnectionAction.ENDLESS_CHUNKS },
				{ "HTTP/1.1 500 Failed\r\n" + chunked, ScriptedEndpoint.ConnectionAction.ENDLESS_CHUNKS },
				{ STREAM.formatted(1), ScriptedEndpoint.ConnectionAction.ENDLESS_CHUNKS },
				{ STREAM.formatted(1) + "5;", ScriptedEndpoint.ConnectionAction.ENDLESS_LETTERS },
				{ STREAM.formatted(1) + "0\r\n", ScriptedEndpoint.ConnectionAction.ENDLESS_LINES } };
	}

	// The endpoint sends as fast as the connection takes it, for as long as it is open.
	// The
	// buffers of both sockets hold some megabytes.
	@Test(dataProvider = "endlessResponses")
	public void anEndlessResponseIsCutOffAndItsRequestSentToAnotherEndpoint(String response,
			ScriptedEndpoint.ConnectionAction action) throws Exception {
		ScriptedEndpoint first = endpoint(response, action);
		ScriptedEndpoint second = endpoint(STREAM.formatted(2) + chunk(event(1)) + "0\r\n\r\n",
				ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.STREAM, first.address(), second.address());
		String answer = sendAndRead();
		Assert.assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n"), answer);
		Assert.assertEquals(answer.split("data: e").length - 1, 1, answer);
		Assert.assertTrue(first.callerDisconnected.await(1, TimeUnit.SECONDS), "the connection is closed");
		Assert.assertTrue(first.repeatedBytes.get() < 16_000_000, "sent " + first.repeatedBytes.get());
	}

	// Guards against endpoints whose bytes stay below the limit of a response, and
	// together
	// exhaust the heap.
	@Test
	public void partialEventsOfManyEndpointsFitASmallHeap() throws Exception {
		Assert.assertEquals(SmallHeap.run(PartialEvents.class, 32), "served");
	}

	@DataProvider
	public Object[][] endedRequests() {
		return Arrays.stream(RequestEnd.values())
			.flatMap((end) -> Stream.of(new Object[] { end, LARGE_BYTES, 20 }, new Object[] { end, 1, 200 }))
			.toArray(Object[][]::new);
	}

	// Cancelled timers kept the requests that had ended, with their content, until the
	// deadline, and the process ran out of memory.
	@Test(dataProvider = "endedRequests")
	public void aRequestThatHasEndedTakesNoMemory(RequestEnd end, int bytes, int count) throws Exception {
		this.timeoutMillis = 60_000;
		this.bodyBytes = LARGE_BYTES;
		this.client.timer().shutdownNow();
		this.client = HttpClient.start(this.loop, this.timeoutMillis);
		ScriptedEndpoint endpoint = endpoint(end.response, end.connectionAction);
		List<Socket> unaccepted = new ArrayList<>();
		if (end == RequestEnd.CUT_WHILE_CONNECTING) {
			endpoint.stopAccepting(unaccepted);
		}
		serve(RequestKind.UNSAFE, (end == RequestEnd.REFUSED) ? new Address[0] : new Address[] { endpoint.address() });
		byte[] content = new byte[bytes];
		// An earlier timer, as those of other requests are.
		this.loop.execute(() -> this.loop.schedule(this.timeoutMillis / 2, () -> {
		}));
		sendAndEnd(end, content);
		long before = usedHeapBytes(endpoint);
		for (int i = 0; i < count; i++) {
			sendAndEnd(end, content);
		}
		long perRequest = (usedHeapBytes(endpoint) - before) / count;
		Assert.assertTrue(perRequest < KEPT_PER_REQUEST_BYTES + bytes / 10, "kept by each request: " + perRequest);
		for (Socket socket : unaccepted) {
			socket.close();
		}
	}

	private void sendAndEnd(RequestEnd end, byte[] content) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.frontend.address().port())) {
			socket.setSoTimeout(5000);
			socket.getOutputStream()
				.write(("POST /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: id-1\r\nAuthorization: Bearer key-1\r\nDeadline: "
						+ end.deadlineMillis + "\r\nConnection: close\r\nContent-Length: " + content.length
						+ "\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			socket.getOutputStream().write(content);
			if (end.status.isEmpty()) {
				await(() -> this.dispatcher.inProgress() > 0);
			}
			else {
				String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
				Assert.assertTrue(response.startsWith("HTTP/1.1 " + end.status), response);
			}
		}
		await(() -> this.dispatcher.inProgress() == 0 && this.frontend.callsInProgress() == 0);
	}

	private static void await(BooleanSupplier condition) {
		Awaitility.await().pollInterval(1, TimeUnit.MILLISECONDS).until(condition::getAsBoolean);
	}

	private static long usedHeapBytes(ScriptedEndpoint endpoint) throws InterruptedException {
		// The endpoint closes its connections a moment after the requests have ended.
		Thread.sleep(300);
		endpoint.requests.clear();
		long used = Long.MAX_VALUE;
		for (int i = 0; i < 4; i++) {
			System.gc();
			used = Math.min(used, ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
		}
		return used;
	}

	@DataProvider
	public Object[][] tricklingStreams() {
		return new Object[][] { { ScriptedEndpoint.ConnectionAction.COMMENTS_NOW_AND_THEN },
				{ ScriptedEndpoint.ConnectionAction.LETTERS_NOW_AND_THEN } };
	}

	@Test(dataProvider = "tricklingStreams")
	public void aStreamThatSendsBytesButNoEventsIsStalled(ScriptedEndpoint.ConnectionAction action) throws IOException {
		ScriptedEndpoint first = endpoint(STREAM.formatted(1) + chunk(event(1)), action);
		ScriptedEndpoint second = endpoint(STREAM.formatted(2) + chunk(event(2)) + "0\r\n\r\n",
				ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.STREAM, first.address(), second.address());
		String answer = sendAndRead();
		Assert.assertEquals(answer.split("data: e").length - 1, 2, answer);
		Assert.assertTrue(answer.endsWith("0\r\n\r\n"), answer);
	}

	// A response to an earlier request may arrive where this one's is due.
	@Test
	public void aResponseWithoutTheRequestsIdentifierIsNotPassedOn() throws IOException {
		ScriptedEndpoint first = endpoint(OK.replace("Request-Id: $ID\r\n", ""),
				ScriptedEndpoint.ConnectionAction.KEEP);
		ScriptedEndpoint second = endpoint(OK, ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.SAFE, first.address(), second.address());
		Assert.assertTrue(sendAndRead().endsWith("ok"));
		Assert.assertEquals(second.requests.size(), 1);
	}

	@Test
	public void aRefusalWithoutTheRequestsIdentifierDoesNotShowThatTheRequestDidNotRun() throws IOException {
		ScriptedEndpoint first = endpoint(NOT_RUN.replace("Request-Id: $ID\r\n", ""),
				ScriptedEndpoint.ConnectionAction.KEEP);
		ScriptedEndpoint second = endpoint(OK, ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.UNSAFE, first.address(), second.address());
		Assert.assertTrue(sendAndRead().startsWith("HTTP/1.1 502"));
		Assert.assertEquals(second.requests.size(), 0);
	}

	// Makes three endpoints crash one after the other under a part of a prompt.
	private void crashEndpoints(PromptPart part) {
		for (int i = 0; i < 3; i++) {
			String endpoint = "crashed-" + i + "@1";
			this.evidenceMillis.addAndGet(1000);
			this.crashes.lost(endpoint, "10.0.0." + i + ":1", "s", List.of(part), this.evidenceMillis.get());
			this.crashes.crashed(endpoint);
		}
	}

	@Test
	public void aRequestWithAPartThatCrashesEndpointsIsRefusedAtOnceAndNotSent() throws IOException {
		ScriptedEndpoint endpoint = endpoint(OK, ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.STREAM, endpoint.address());
		crashEndpoints(new PromptPart(0xbad));
		String response = sendAndRead("Prompt-Parts: 1:40,bad:5,77:1\r\n");
		Assert.assertTrue(response.startsWith("HTTP/1.1 503") && response.contains("prompt-blocked")
				&& response.contains("Retry-After: 600"), response);
		Assert.assertEquals(endpoint.requests.size(), 0);
		Assert.assertTrue(sendAndRead("Prompt-Parts: 1:40,2:5,bad:1\r\n").endsWith("ok"),
				"the last part belongs to the request alone");
	}

	@Test
	public void aRequestThatWaitsWhenItsPartIsBlockedIsCancelledAtItsEndpoint() throws Exception {
		ScriptedEndpoint endpoint = endpoint("", ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.STREAM, endpoint.address());
		try (Socket waiting = send("Prompt-Parts: 1:40,bad:5,77:1\r\n")) {
			while (endpoint.requests.isEmpty()) {
				Thread.onSpinWait();
			}
			this.loop.execute(() -> crashEndpoints(new PromptPart(0xbad)));
			Assert.assertTrue(endpoint.callerDisconnected.await(500, TimeUnit.MILLISECONDS));
			Assert.assertEquals(new String(waiting.getInputStream().readNBytes(12), StandardCharsets.US_ASCII),
					"HTTP/1.1 502", "it may have run");
		}
	}

	// An endpoint that accepts connections after it lost a response has not crashed.
	@Test
	public void lostResponsesOfAnEndpointThatLivesBlockNothing() throws IOException {
		ScriptedEndpoint first = endpoint("", ScriptedEndpoint.ConnectionAction.CLOSE);
		ScriptedEndpoint second = endpoint("", ScriptedEndpoint.ConnectionAction.RESET);
		serve(RequestKind.STREAM, first.address(), second.address());
		for (int i = 0; i < 6; i++) {
			this.evidenceMillis.addAndGet(1000);
			sendAndRead("Prompt-Parts: 1:40,2:5,77:1\r\n");
		}
		Assert.assertEquals(this.crashes.blockedParts(), 0);
	}

	@Test
	public void anEndpointAtItsLimitIsPassedOver() throws IOException {
		String limited = OK.replace("Served-By", "Request-Limit: 0.5\r\nServed-By");
		ScriptedEndpoint first = endpoint(limited, ScriptedEndpoint.ConnectionAction.KEEP);
		ScriptedEndpoint second = endpoint(OK, ScriptedEndpoint.ConnectionAction.KEEP);
		serve(RequestKind.SAFE, first.address(), second.address());
		for (int i = 0; i < 10; i++) {
			Assert.assertTrue(sendAndRead().endsWith("ok"));
		}
		Assert.assertTrue(first.requests.size() <= 3, "sent " + first.requests.size());
	}

	/**
	 * The ways in which a request ends.
	 */
	public enum RequestEnd {

		/** The endpoint answers. */
		ANSWERED(OK, ScriptedEndpoint.ConnectionAction.KEEP, 60_000, "200"),

		/** There is no endpoint. */
		REFUSED("", ScriptedEndpoint.ConnectionAction.KEEP, 60_000, "503"),

		/** The endpoint closes the connection. */
		CUT_BY_ENDPOINT("", ScriptedEndpoint.ConnectionAction.CLOSE, 60_000, "502"),

		/** The caller closes the connection. */
		CUT_BY_CALLER("", ScriptedEndpoint.ConnectionAction.KEEP, 60_000, ""),

		/** The caller closes the connection while the one to the endpoint is opened. */
		CUT_WHILE_CONNECTING("", ScriptedEndpoint.ConnectionAction.KEEP, 60_000, ""),

		/** The endpoint doesn't answer. */
		TIMED_OUT("", ScriptedEndpoint.ConnectionAction.KEEP, 30, "504"),

		/** The endpoint reads nothing. */
		UNREAD_BY_ENDPOINT("", ScriptedEndpoint.ConnectionAction.UNREAD, 30, "504");

		private final String response;

		private final ScriptedEndpoint.ConnectionAction connectionAction;

		private final long deadlineMillis;

		private final String status;

		RequestEnd(String response, ScriptedEndpoint.ConnectionAction connectionAction, long deadlineMillis,
				String status) {
			this.response = response;
			this.connectionAction = connectionAction;
			this.deadlineMillis = deadlineMillis;
			this.status = status;
		}

	}

	/**
	 * Many callers of endpoints that send parts of large events, and then one of an
	 * endpoint that is sound.
	 */
	public static final class PartialEvents {

		private static final int CALLERS = 150;

		private PartialEvents() {
		}

		public static void main(String[] arguments) throws Exception {
			ExchangeTests tests = new ExchangeTests();
			tests.start();
			ScriptedEndpoint endless = tests.endpoint(STREAM.formatted(1),
					ScriptedEndpoint.ConnectionAction.SOME_CHUNKS);
			tests.serve(RequestKind.STREAM, Collections.nCopies(20, endless.address()).toArray(Address[]::new));
			List<Socket> callers = new ArrayList<>();
			for (int i = 0; i < CALLERS; i++) {
				callers.add(tests.send("", "id-" + i));
			}
			for (Socket caller : callers) {
				caller.getInputStream().read();
			}
			ScriptedEndpoint sound = tests.endpoint(OK, ScriptedEndpoint.ConnectionAction.KEEP);
			tests.serve(RequestKind.SAFE, sound.address());
			String response = tests.sendAndRead();
			System.out.print(response.endsWith("ok") ? "served" : response);
			System.exit(0);
		}

	}

	/**
	 * Lets no process try a blocked part again.
	 */
	private static final class NoTrials implements CrashEvidence.TrialSchedule {

		@Override
		public boolean mayTry(PromptBlock block, long nowMillis) {
			return false;
		}

		@Override
		public void tried(PromptBlock block) {
		}

	}

	/**
	 * Ignores changes of limits.
	 */
	private static final class NoLimitNews implements EndpointLimits.Listener {

		@Override
		public void news() {
		}

		@Override
		public void changed(String endpoint, OptionalDouble perSecond) {
		}

	}

	/**
	 * Passes blocks on to the dispatcher, as the gateway does.
	 */
	private final class BlockListener implements CrashEvidence.Listener {

		@Override
		public void news() {
		}

		@Override
		public void crashed(String endpoint, Collection<PromptPart> suspects) {
		}

		@Override
		public void blocked(PromptBlock block) {
			ExchangeTests.this.dispatcher.partBlocked(block);
		}

		@Override
		public void cleared(PromptBlock block) {
		}

	}

}
