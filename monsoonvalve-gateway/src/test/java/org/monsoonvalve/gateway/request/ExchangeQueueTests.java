package org.monsoonvalve.gateway.request;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import org.monsoonvalve.admission.process.EndpointShares;
import org.monsoonvalve.admission.process.ShareLoans;
import org.monsoonvalve.admission.request.WorkSize;
import org.monsoonvalve.admission.version.EngineTimings;
import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.HttpLimits;
import org.monsoonvalve.core.connection.HttpServer;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.gateway.connection.Endpoint;
import org.monsoonvalve.gateway.connection.EndpointSet;
import org.monsoonvalve.gateway.process.CrashEvidence;
import org.monsoonvalve.gateway.process.DecisionLog;
import org.monsoonvalve.gateway.process.EndpointLimits;
import org.monsoonvalve.gateway.process.GatewaySettings;
import org.monsoonvalve.gateway.process.PromptBlock;
import org.monsoonvalve.gateway.version.ClientLimits;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.EngineProfile;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.RequestKind;
import org.monsoonvalve.gateway.version.Route;
import org.monsoonvalve.gateway.version.ServiceProfile;
import org.monsoonvalve.gateway.version.ServingConfiguration;
import org.monsoonvalve.gateway.version.Workspace;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Requests that wait for a place at an endpoint. The endpoints have one slot, and so take
 * three requests of a service without groups.
 */
public class ExchangeQueueTests {

	private static final int PLACES = 3;

	private static final long LONG_TARGET_MILLIS = 3000;

	private static final String OK = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nServed-By: s1\r\nContent-Length: 2\r\n\r\nok";

	private static final String NOT_RUN = "HTTP/1.1 503 Busy\r\nRequest-Id: $ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

	private static final EngineTimings SENSITIVE = new EngineTimings(24, 988_235, 6.07, 0.341, 0.0069, 5, 46, 0.7, 2048,
			200);

	private static final EngineTimings INSENSITIVE = new EngineTimings(14, 988_235, 7.8, 0.135, 0.0069, 5, 46, 0.7,
			2048, 200);

	private final List<ScriptedEndpoint> scriptedEndpoints = new ArrayList<>();

	private final List<Socket> sockets = new ArrayList<>();

	private EventLoop loop;

	private HttpClient client;

	private HttpServer frontend;

	private EndpointSet endpoints;

	private ServingConfiguration configuration;

	private CrashEvidence crashes;

	private final AtomicLong evidenceMillis = new AtomicLong();

	private MetricRegistry registry;

	private Dispatcher dispatcher;

	@BeforeMethod
	public void start() throws IOException {
		this.loop = EventLoop.start((failure) -> {
			throw new IllegalStateException(failure);
		});
		this.client = HttpClient.start(this.loop, 2000);
	}

	@AfterMethod
	public void stop() throws IOException {
		this.dispatcher.stop();
		for (Socket socket : this.sockets) {
			socket.close();
		}
		this.sockets.clear();
		this.frontend.close();
		this.client.close();
		for (ScriptedEndpoint endpoint : this.scriptedEndpoints) {
			endpoint.close();
		}
		this.scriptedEndpoints.clear();
	}

	// An endpoint that doesn't answer its first requests and then responds.
	private ScriptedEndpoint endpoint(int unanswered, String... responses) {
		List<String> all = new ArrayList<>(Collections.nCopies(unanswered, ""));
		all.addAll(List.of(responses));
		ScriptedEndpoint endpoint = ScriptedEndpoint.start(all, ScriptedEndpoint.ConnectionAction.KEEP);
		this.scriptedEndpoints.add(endpoint);
		return endpoint;
	}

	private FleetView view(long revision, Address... addresses) {
		Map<String, EndpointRecord> records = new HashMap<>();
		IntStream.range(0, addresses.length)
			.forEach((i) -> records.put("vm-" + i, new EndpointRecord("vm-" + i, "s", addresses[i], "near", 1, false, 0,
					1, "", List.of(), List.of(), Optional.empty(), StorePosition.of(revision))));
		return new FleetView(StorePosition.of(revision), Optional.of(this.configuration), StorePosition.of(1), Set.of(),
				records, Map.of(), Map.of(), Map.of());
	}

	private void serve(EngineTimings timings, long targetMillis, Address... addresses) {
		Route route = new Route("r", "h", "/a/", RequestKind.STREAM, 6000, targetMillis, 200, 1, 2, true, false,
				List.of(new Route.Target("s", 1)));
		EngineProfile engine = new EngineProfile(timings, List.of(), 1, 1, 1000, new WorkSize(700, 100), List.of());
		this.configuration = ServingConfiguration.of(1, List.of(route),
				List.of(new ServiceProfile("s", "/health", 100, 0, 0, Optional.of(engine))),
				Map.of("key-1", new Workspace("foremen", 1), "key-0", new Workspace("dispatch", 0)), true,
				new ClientLimits(16384, 100_000, 3000, 15_000));
		DecisionLog log = DecisionLog.start(Clock.systemUTC(), "gateway-1", (line) -> {
		});
		this.endpoints = new EndpointSet("near", (record) -> new Endpoint(record, this.client, () -> {
		}), log);
		this.endpoints.update(view(1, addresses));
		this.registry = new MetricRegistry();
		this.crashes = new CrashEvidence("gateway-1", this.evidenceMillis::get, new NoTrials(), new BlockListener());
		this.dispatcher = new Dispatcher(this.loop, ForwardedHeadersTests.NAMES, this.endpoints,
				new GatewaySettings.Bounds(8000, 0.2, 10_000, 100, 1.5, 5, 5000), () -> 1, log,
				new RequestMetrics(this.registry), (record) -> {
				}, this.crashes, new EndpointLimits("gateway-1", EventLoop::nowMillis, new NoLimitNews()),
				new ShareLoans(new EndpointShares("gateway-1"), new Random(), (question) -> {
				}));
		this.frontend = HttpServer.start(this.loop, new Address("127.0.0.1", 0),
				new HttpLimits(16384, 100_000, 100_000), this.dispatcher::accept);
	}

	private Socket send(String id, String key, String fields) throws IOException {
		Socket socket = new Socket("127.0.0.1", this.frontend.address().port());
		this.sockets.add(socket);
		socket.setSoTimeout(10_000);
		socket.getOutputStream()
			.write(("POST /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nAuthorization: Bearer " + key + "\r\n"
					+ fields + "Connection: close\r\nContent-Length: 4\r\n\r\nbody")
				.getBytes(StandardCharsets.US_ASCII));
		return socket;
	}

	private Socket send(String id) throws IOException {
		return send(id, "key-1", "");
	}

	private static String read(Socket socket) throws IOException {
		return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
	}

	private static void await(String what, BooleanSupplier condition) {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.nanoTime() < endNanos, what);
			Thread.onSpinWait();
		}
	}

	// Takes all places of an endpoint with requests that it doesn't answer.
	private List<Socket> fill(ScriptedEndpoint endpoint) throws IOException {
		List<Socket> fillers = new ArrayList<>();
		for (int i = 0; i < PLACES; i++) {
			fillers.add(send("filler-" + i));
		}
		await("the endpoint is full", () -> endpoint.requests.size() == PLACES);
		return fillers;
	}

	private int waiting() {
		return (int) this.registry.getGauges().get("requests_waiting").getValue();
	}

	private void awaitWaiting(int count) {
		await("waiting: " + count, () -> waiting() == count);
	}

	// The loop may be in the middle of ending a request whose caller has its response.
	private void awaitInProgress(int count) {
		await("in progress: " + count, () -> this.dispatcher.inProgress() == count);
	}

	private long left(String reason) {
		return this.registry.counter("queue.stream.left." + reason).getCount();
	}

	private static boolean refusedAsNotRun(String response) {
		return response.startsWith("HTTP/1.1 503") && response.contains("\"run\":\"not-run\"")
				&& response.contains("Retry-After: ");
	}

	// Requests were refused although a place became free soon after.
	@Test
	public void aRequestWaitsUntilAnotherOneEnds() throws IOException {
		ScriptedEndpoint endpoint = endpoint(PLACES, OK);
		serve(SENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		List<Socket> fillers = fill(endpoint);
		Socket waiting = send("waiting");
		awaitWaiting(1);
		Assert.assertEquals(endpoint.requests.size(), PLACES);
		fillers.get(0).close();
		Assert.assertTrue(read(waiting).endsWith("ok"));
		Assert.assertEquals(left("placed"), 1);
		Assert.assertEquals(this.registry.timer("queue_wait.stream").getCount(), 1);
	}

	// Guards against other deployments being served differently than before.
	@Test
	public void requestsForOtherEnginesAreRefusedAtOnce() throws IOException {
		ScriptedEndpoint endpoint = endpoint(PLACES, OK);
		serve(INSENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		fill(endpoint);
		long startNanos = System.nanoTime();
		String response = read(send("refused"));
		Assert.assertTrue(refusedAsNotRun(response), response);
		Assert.assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(2));
		Assert.assertEquals(waiting(), 0);
	}

	// Guards against a new request overtaking waiting ones, and against urgent ones
	// waiting behind others.
	@Test
	public void placesGoToUrgentRequestsFirstAndThenToTheOldest() throws IOException {
		ScriptedEndpoint endpoint = endpoint(PLACES, OK);
		serve(SENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		List<Socket> fillers = fill(endpoint);
		List<Socket> waiting = new ArrayList<>();
		waiting.add(send("first"));
		awaitWaiting(1);
		waiting.add(send("second"));
		awaitWaiting(2);
		waiting.add(send("urgent", "key-0", ""));
		awaitWaiting(3);
		// The place of the first one is given on twice, as the responses are immediate.
		fillers.get(0).close();
		for (Socket socket : waiting) {
			Assert.assertTrue(read(socket).endsWith("ok"));
		}
		Assert.assertEquals(endpoint.requests.stream()
			.skip(PLACES)
			.map((request) -> request.lines().filter((line) -> line.startsWith("Request-Id")).findFirst().orElse(""))
			.toList(), List.of("Request-Id: urgent", "Request-Id: first", "Request-Id: second"));
	}

	// No event announces the end of a report's validity.
	@Test
	public void aRequestIsSentWhenAnOldReportOfAFullEndpointIsNoLongerValid() throws IOException {
		ScriptedEndpoint endpoint = endpoint(0, OK.replace("Served-By", "Load: 9,0,1\r\nServed-By"), OK);
		serve(SENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		Assert.assertTrue(read(send("first")).endsWith("ok"));
		Assert.assertTrue(read(send("second")).endsWith("ok"));
	}

	// Guards against requests that go on waiting for an old place when an endpoint joins.
	@Test
	public void aRequestIsSentToAnEndpointThatJoins() throws IOException {
		ScriptedEndpoint endpoint = endpoint(PLACES + 1);
		ScriptedEndpoint joining = endpoint(0, OK);
		serve(SENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		fill(endpoint);
		Socket waiting = send("waiting");
		awaitWaiting(1);
		this.loop.execute(() -> {
			this.endpoints.update(view(2, endpoint.address(), joining.address()));
			this.dispatcher.endpointsChanged();
		});
		Assert.assertTrue(read(waiting).endsWith("ok"));
		Assert.assertEquals(joining.requests.size(), 1);
	}

	// Guards against requests that wait for endpoints that are lost.
	@Test
	public void waitingRequestsAreRefusedAtOnceWhenTheLastEndpointIsLost() throws IOException {
		ScriptedEndpoint endpoint = endpoint(PLACES + 1);
		serve(SENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		fill(endpoint);
		Socket waiting = send("waiting");
		awaitWaiting(1);
		this.loop.execute(() -> {
			this.endpoints.update(view(2));
			this.dispatcher.endpointsChanged();
		});
		String response = read(waiting);
		Assert.assertTrue(refusedAsNotRun(response), response);
		Assert.assertEquals(left("no_endpoint"), 1);
		Assert.assertEquals(endpoint.requests.size(), PLACES);
	}

	// A slow caller that has gone must not take a place.
	@Test
	public void aCallerThatHasGoneWhileWaitingLeavesAtOnce() throws IOException {
		ScriptedEndpoint endpoint = endpoint(PLACES, OK);
		serve(SENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		List<Socket> fillers = fill(endpoint);
		Socket gone = send("gone");
		awaitWaiting(1);
		gone.close();
		awaitWaiting(0);
		await("the departure is counted", () -> left("caller_gone") == 1);
		awaitInProgress(PLACES);
		fillers.get(0).close();
		Assert.assertTrue(read(send("next")).endsWith("ok"));
		Assert.assertEquals(endpoint.requests.size(), PLACES + 1, "the request of the caller was not sent");
	}

	// A process that stops kept callers waiting until it closed their connections.
	@Test
	public void aProcessThatStopsRefusesWaitingRequestsAtOnceAsNotRun() throws IOException {
		ScriptedEndpoint endpoint = endpoint(PLACES, OK);
		serve(SENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		fill(endpoint);
		Socket waiting = send("waiting");
		awaitWaiting(1);
		this.dispatcher.stop();
		String response = read(waiting);
		Assert.assertTrue(refusedAsNotRun(response) && response.contains("not-ready"), response);
		Assert.assertEquals(left("process_stops"), 1);
		awaitInProgress(PLACES);
	}

	@Test
	public void theEndOfAllRequestsIncludesWaitingOnes() throws IOException {
		ScriptedEndpoint endpoint = endpoint(PLACES, OK);
		serve(SENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		List<Socket> fillers = fill(endpoint);
		Socket waiting = send("waiting");
		awaitWaiting(1);
		this.loop.execute(this.dispatcher::endAll);
		String response = read(waiting);
		Assert.assertTrue(refusedAsNotRun(response), response);
		Assert.assertTrue(read(fillers.get(0)).startsWith("HTTP/1.1 502"), "it may have run");
		awaitInProgress(0);
	}

	// A request that waited would crash its endpoint later.
	@Test
	public void aWaitingRequestIsRefusedWhenAPartOfItsPromptIsBlocked() throws IOException {
		ScriptedEndpoint endpoint = endpoint(PLACES, OK);
		serve(SENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		fill(endpoint);
		Socket waiting = send("waiting", "key-1", "Prompt-Parts: 1:40,bad:5,77:1\r\n");
		awaitWaiting(1);
		this.loop.execute(() -> IntStream.range(0, 3).forEach((i) -> {
			this.crashes.lost("crashed-" + i + "@1", "10.0.0." + i + ":1", "s", List.of(new PromptPart(0xbad)),
					this.evidenceMillis.addAndGet(1000));
			this.crashes.crashed("crashed-" + i + "@1");
		}));
		String response = read(waiting);
		Assert.assertTrue(refusedAsNotRun(response) && response.contains("prompt-blocked"), response);
		Assert.assertEquals(endpoint.requests.size(), PLACES);
	}

	// A request that the only endpoint declined while it was full was refused.
	@Test
	public void aRequestThatItsEndpointDeclinedWaitsAndIsSentAgain() throws IOException {
		ScriptedEndpoint endpoint = endpoint(0, NOT_RUN, OK);
		serve(SENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		Assert.assertTrue(read(send("declined")).endsWith("ok"));
		Assert.assertEquals(endpoint.requests.size(), 2);
	}

	// Guards against a late second copy of a rejection that is taken for the answer of
	// the
	// next attempt, which bears the same identifier and runs.
	@Test
	public void aSecondCopyOfARejectionIsNotTheAnswerOfTheNextAttempt() throws IOException {
		ScriptedEndpoint endpoint = endpoint(0, NOT_RUN,
				ScriptedEndpoint.EARLIER_RESPONSE + ScriptedEndpoint.PAUSE + OK);
		serve(SENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		String response = read(send("declined"));
		Assert.assertTrue(response.endsWith("ok"), response);
		Assert.assertEquals(endpoint.requests.size(), 2);
	}

	// Guards against a rejection that names two requests.
	@Test
	public void aRejectionWithTwoIdentifiersDoesNotShowThatTheRequestDidNotRun() throws IOException {
		ScriptedEndpoint endpoint = endpoint(0,
				NOT_RUN.replace("Not-Run", "Request-Id: other\r\nConnection: close\r\nNot-Run"));
		serve(SENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		String response = read(send("declined"));
		Assert.assertTrue(response.startsWith("HTTP/1.1 502"), response);
		Assert.assertEquals(endpoint.requests.size(), 1);
	}

	// Guards against endless attempts at an endpoint that declines everything.
	@Test
	public void aRequestThatIsAlwaysDeclinedIsRefusedAsNotRun() throws IOException {
		ScriptedEndpoint endpoint = endpoint(0, NOT_RUN);
		serve(SENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		String response = read(send("declined"));
		Assert.assertTrue(refusedAsNotRun(response), response);
		Assert.assertEquals(endpoint.requests.size(), 4);
	}

	// Guards against waiting for an endpoint that another one has taken the address of.
	@Test
	public void aRequestThatReachedAnotherEndpointThanExpectedIsNotSentThereAgain() throws IOException {
		ScriptedEndpoint endpoint = endpoint(0, NOT_RUN.replace("503 Busy", "421 Misdirected"));
		serve(SENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		String response = read(send("misdirected"));
		Assert.assertTrue(refusedAsNotRun(response), response);
		Assert.assertEquals(endpoint.requests.size(), 1);
	}

	// Guards against callers that wait in vain, and that return later than they honour.
	@Test
	public void aRequestIsRefusedWhenItsFirstEventWouldBeLateAndNoPlaceIsExpected() throws IOException {
		ScriptedEndpoint endpoint = endpoint(PLACES, OK);
		serve(SENSITIVE, 400, endpoint.address());
		fill(endpoint);
		long startNanos = System.nanoTime();
		String response = read(send("late"));
		long lastedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
		Assert.assertTrue(refusedAsNotRun(response) && response.contains("no place at an endpoint"), response);
		Assert.assertTrue(lastedMillis >= 250 && lastedMillis < 2500, "lasted " + lastedMillis);
		double retryAfterSeconds = response.lines()
			.filter((line) -> line.startsWith("Retry-After: "))
			.mapToDouble((line) -> Double.parseDouble(line.substring(13)))
			.sum();
		Assert.assertTrue(retryAfterSeconds > 0 && retryAfterSeconds < 2, response);
		Assert.assertEquals(endpoint.requests.size(), PLACES);
		Assert.assertEquals(left("no_place_in_time"), 1);
	}

	// The deadline of the caller is before the target.
	@Test
	public void aWaitingRequestIsRefusedBeforeItsDeadline() throws IOException {
		ScriptedEndpoint endpoint = endpoint(PLACES, OK);
		serve(SENSITIVE, LONG_TARGET_MILLIS, endpoint.address());
		fill(endpoint);
		String response = read(send("short", "key-1", "Deadline: 400\r\n"));
		Assert.assertTrue(refusedAsNotRun(response), response);
		awaitInProgress(PLACES);
		Assert.assertEquals(waiting(), 0);
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
			ExchangeQueueTests.this.dispatcher.partBlocked(block);
		}

		@Override
		public void cleared(PromptBlock block) {
		}

	}

}
