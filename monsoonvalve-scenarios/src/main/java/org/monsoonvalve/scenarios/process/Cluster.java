package org.monsoonvalve.scenarios.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.codec.digest.DigestUtils;
import org.monsoonvalve.controller.process.ControllerMain;
import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.connection.HttpResponse;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.Sleep;
import org.monsoonvalve.core.version.GroupPolicy;
import org.monsoonvalve.core.version.Inventory;
import org.monsoonvalve.core.version.PoolKind;
import org.monsoonvalve.core.version.Rules;
import org.monsoonvalve.entry.process.EntryMain;
import org.monsoonvalve.standins.process.StandinsMain;
import org.monsoonvalve.standins.request.LedgerEntry;

/**
 * The processes of one scenario, on loopback.
 *
 * @author monsoonvalve maintainers
 */
public final class Cluster implements AutoCloseable {

	/** The key of the administration API. */
	public static final String ADMIN_KEY = "scenario-admin-key";

	/** The key of the workspace that sends most requests. */
	public static final String WORKSPACE_KEY = "scenario-workspace-key";

	/** The key of the workspace that sends more than its share. */
	public static final String GREEDY_KEY = "scenario-greedy-key";

	/** The pool of model engines. */
	public static final String MODEL_POOL = "grass-llm";

	/** The pool of plain services. */
	public static final String SERVICE_POOL = "depot-app";

	private static final long START_TIMEOUT_MILLIS = 60_000;

	private static final long CALL_TIMEOUT_MILLIS = 8000;

	private static final int LIMIT_BYTES = 64 * 1024 * 1024;

	private static final int COLD_SLOTS = 2;

	private static final int MAX_QUEUED = 2000;

	private static final int OK = 200;

	private static final List<String> JAVA_OPTIONS = List
		.of(System.getProperty("monsoonvalve.java.options", "-Xmx96m -XX:+UseSerialGC -XX:TieredStopAtLevel=1")
			.split(" "));

	private static final int FIRST_PORT = 20_000;

	private static final int PORTS = 4000;

	private static final AtomicInteger NEXT_PORT = new AtomicInteger(
			(int) (ProcessHandle.current().pid() * 100 % PORTS));

	private final ClusterSpec spec;

	private final Path logs;

	private final HttpClient http = HttpClient.start(CALL_TIMEOUT_MILLIS);

	private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();

	private final List<Inventory.Vm> vms = new ArrayList<>();

	private final List<Address> peerSeeds = new ArrayList<>();

	private final Timeline timeline;

	private final Administration admin = new Administration(this);

	private final Thread endAll = new Thread(this::endAll, "end-processes");

	private Cluster(ClusterSpec spec, Path logs, Timeline timeline) {
		this.spec = spec;
		this.logs = logs;
		this.timeline = timeline;
	}

	/**
	 * Starts the processes of a scenario and waits until they serve.
	 * @param spec what to start
	 * @param logs where the processes write their logs
	 * @param timeline takes the events
	 * @return the cluster
	 */
	public static Cluster start(ClusterSpec spec, Path logs, Timeline timeline) {
		Cluster cluster = new Cluster(spec, logs, timeline);
		try {
			Runtime.getRuntime().addShutdownHook(cluster.endAll);
			clear(logs);
			cluster.startAll();
			return cluster;
		}
		catch (IOException ex) {
			cluster.close();
			throw new UncheckedIOException(ex);
		}
		catch (RuntimeException ex) {
			cluster.close();
			throw ex;
		}
	}

	private static void clear(Path logs) throws IOException {
		Files.createDirectories(logs);
		try (Stream<Path> old = Files.list(logs)) {
			for (Path file : old.toList()) {
				Files.delete(file);
			}
		}
	}

	private void startAll() {
		Address platform = freeAddress();
		add("platform", "platform", "", platform, StandinsMain.class,
				List.of("platform", "--listen", platform.toString()));
		this.spec.zones().forEach(this::addEndpoints);
		List<Runnable> nodes = new ArrayList<>();
		this.spec.zones().forEach((zone) -> nodes.addAll(nodesOf(zone, platform)));
		nodes.forEach(Runnable::run);
		this.processes.values().forEach(ManagedProcess::start);
		this.processes.values().forEach((process) -> this.timeline.note(Timeline.EventKind.STARTED, process.name()));
		entries().forEach((entry) -> await("entry " + entry.name(), () -> ok(entry.address(), "/healthz")));
		await("platform", () -> ok(platform, "/counts"));
		this.admin.apply("inventory", new String(Codec.YAML.encode(inventory()), StandardCharsets.UTF_8));
		this.admin.apply("rules", new String(Codec.YAML.encode(rules()), StandardCharsets.UTF_8));
		entries().forEach((entry) -> await("entry " + entry.name(), () -> ok(entry.address(), "/readyz")));
		if (this.spec.enginesPerZone() > 0 && this.spec.controllersPerZone() > 0) {
			await("replica groups", this::allGroupsComplete);
		}
		processesOf("service").forEach((service) -> await(service.name(), () -> ok(service.address(), "/status")));
	}

	private void addEndpoints(String zone) {
		for (int i = 1; i <= this.spec.enginesPerZone(); i++) {
			addEndpoint(zone, zone + "-engine-" + i, "engine", MODEL_POOL, i);
		}
		for (int i = 1; i <= this.spec.servicesPerZone(); i++) {
			addEndpoint(zone, zone + "-service-" + i, "service", SERVICE_POOL, i);
		}
	}

	private void addEndpoint(String zone, String name, String kind, String pool, int number) {
		Address address = freeAddress();
		String domain = zone + "-f" + ((number - 1) / Math.max(1, 2 * this.spec.vmsPerGroup()) + 1);
		this.vms.add(new Inventory.Vm(name, zone, domain, pool, address, 8, this.spec.honoursFencing()));
		add(name, kind, zone, address, StandinsMain.class,
				List.of(kind, "--listen", address.toString(), "--vm", name, "--availability-zone", zone,
						"--warm-requests", String.valueOf(this.spec.warmRequests()), "--cold-capacity",
						String.valueOf(COLD_SLOTS), "--token-millis", String.valueOf(this.spec.tokenMillis()),
						"--service-millis", String.valueOf(this.spec.serviceMillis()), "--honours-fencing",
						this.spec.honoursFencing() ? "1" : "0"));
	}

	private List<Runnable> nodesOf(String zone, Address platform) {
		List<Runnable> starts = new ArrayList<>();
		for (int i = 1; i <= this.spec.entriesPerZone(); i++) {
			Address peer = freeAddress();
			this.peerSeeds.add(peer);
			String name = zone + "-entry-" + i;
			starts.add(() -> addNode(name, "entry", zone, platform, peer, EntryMain.class,
					List.of("--admin-key", ADMIN_KEY, "--linger-millis", "1500")));
		}
		for (int i = 1; i <= this.spec.controllersPerZone(); i++) {
			String name = zone + "-controller-" + i;
			starts
				.add(() -> addNode(name, "controller", zone, platform, freeAddress(), ControllerMain.class, List.of()));
		}
		return starts;
	}

	private void addNode(String name, String role, String zone, Address platform, Address peer, Class<?> main,
			List<String> more) {
		Address address = freeAddress();
		List<String> arguments = new ArrayList<>(List.of("--node-id", name, "--availability-zone", zone, "--listen",
				address.toString(), "--peer-listen", peer.toString(), "--platform", platform.toString(), "--peers",
				String.join(",", this.peerSeeds.stream().map(Address::toString).toList())));
		arguments.addAll(more);
		if (!this.spec.mechanismsOff().isBlank()) {
			arguments.addAll(List.of("--test-mechanisms-off", this.spec.mechanismsOff()));
		}
		add(name, role, zone, address, main, arguments);
	}

	private void add(String name, String role, String zone, Address address, Class<?> main, List<String> arguments) {
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
						System.getProperty("java.class.path"), main.getName()));
		command.addAll(1, JAVA_OPTIONS);
		command.addAll(arguments);
		this.processes.put(name,
				new ManagedProcess(name, role, zone, address, command, this.logs.resolve(name + ".log")));
	}

	private Inventory inventory() {
		return new Inventory(
				this.spec.zones()
					.stream()
					.map((zone) -> new Inventory.Zone(zone, "region", zone + "-entry-1"))
					.toList(),
				this.vms,
				List.of(new Inventory.Pool(MODEL_POOL, PoolKind.MODEL, MODEL_POOL, "1", this.spec.vmsPerGroup(),
						COLD_SLOTS, this.spec.maxConcurrent(), 0),
						new Inventory.Pool(SERVICE_POOL, PoolKind.SERVICE, null, null, 1, COLD_SLOTS,
								this.spec.maxConcurrent(), 0)));
	}

	private Rules rules() {
		List<String> pools = List.of(MODEL_POOL, SERVICE_POOL);
		return new Rules(List.of(), List.of(),
				List.of(new Rules.Workspace("foremen", DigestUtils.sha256Hex(WORKSPACE_KEY), pools, 1, 1, MAX_QUEUED),
						new Rules.Workspace("greedy", DigestUtils.sha256Hex(GREEDY_KEY), pools, 1, 1, MAX_QUEUED)),
				List.of(new Rules.NonRepeatable(SERVICE_POOL, "POST", "/bookings")), List.of(),
				GroupPolicy.of(this.spec.policy()));
	}

	private boolean allGroupsComplete() {
		int expected = this.spec.zones().size() * (this.spec.enginesPerZone() / this.spec.vmsPerGroup());
		ManagedProcess entry = entries().get(0);
		int groups = 0;
		for (JsonNode table : this.admin.status(entry).path("groups")) {
			groups += table.path("groups").size();
		}
		long complete = processesOf("engine").stream()
			.filter((engine) -> get(engine.address(), "/status").json().path("groupComplete").asBoolean())
			.count();
		return groups >= expected && complete >= (long) expected * this.spec.vmsPerGroup();
	}

	/**
	 * Finds a process.
	 * @param name its name
	 * @return the process
	 */
	public ManagedProcess process(String name) {
		ManagedProcess process = this.processes.get(name);
		if (process == null) {
			throw new IllegalArgumentException("no process '" + name + "' in " + this.processes.keySet());
		}
		return process;
	}

	/**
	 * Returns all processes.
	 * @return the processes in the order of their start
	 */
	public Collection<ManagedProcess> processes() {
		return this.processes.values();
	}

	/**
	 * Returns the entries.
	 * @return the entries in order
	 */
	public List<ManagedProcess> entries() {
		return processesOf("entry");
	}

	/**
	 * Returns the processes of a role.
	 * @param role the role
	 * @return the processes in order
	 */
	public List<ManagedProcess> processesOf(String role) {
		return this.processes.values().stream().filter((process) -> process.role().equals(role)).toList();
	}

	/**
	 * Sends a request to any process.
	 * @param address the address
	 * @param call the request
	 * @return the answer
	 */
	public HttpResponse call(Address address, HttpRequest call) {
		return call(address, call, CALL_TIMEOUT_MILLIS);
	}

	HttpResponse call(Address address, HttpRequest call, long timeoutMillis) {
		return this.http.exchangeOnNewConnection(address, call, timeoutMillis, LIMIT_BYTES).join();
	}

	/**
	 * Returns the operators' access to the entries.
	 * @return the administration
	 */
	public Administration admin() {
		return this.admin;
	}

	/**
	 * Reads the ledgers of all endpoints, also of those that have ended.
	 * @return the executions in order of time
	 */
	public List<LedgerEntry> ledger() {
		List<LedgerEntry> all = new ArrayList<>();
		this.processes.values()
			.stream()
			.filter((process) -> List.of("engine", "service").contains(process.role()))
			.forEach((process) -> all.addAll(process.ledger()));
		return all.stream().sorted(java.util.Comparator.comparingLong(LedgerEntry::timeMillis)).toList();
	}

	/**
	 * Waits until something holds.
	 * @param what what is waited for
	 * @param holds tells whether it holds
	 */
	public static void await(String what, BooleanSupplier holds) {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
		while (!safely(holds)) {
			if (System.nanoTime() - deadlineNanos > 0) {
				throw new IllegalStateException(what + " did not come up in " + START_TIMEOUT_MILLIS + " ms");
			}
			Sleep.millis(50);
		}
	}

	@Override
	public void close() {
		endAll();
		this.http.close();
		Runtime.getRuntime().removeShutdownHook(this.endAll);
	}

	private void endAll() {
		this.processes.values().forEach(ManagedProcess::end);
	}

	private boolean ok(Address address, String path) {
		return get(address, path).status() == OK;
	}

	private HttpResponse get(Address address, String path) {
		return call(address, HttpRequest.get(path));
	}

	private static boolean safely(BooleanSupplier holds) {
		try {
			return holds.getAsBoolean();
		}
		catch (CompletionException ex) {
			return false;
		}
	}

	private static Address freeAddress() {
		while (true) {
			int port = FIRST_PORT + NEXT_PORT.getAndIncrement() % PORTS;
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
				return new Address("127.0.0.1", socket.getLocalPort());
			}
			catch (BindException ex) {
				continue;
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}
	}

}
