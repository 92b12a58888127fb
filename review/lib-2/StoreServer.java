package org.monsoonvalve.review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** A sound store of the platform: keys, watches, transactions and leases that expire. */
public final class StoreServer implements AutoCloseable {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int ANSWER_MILLIS = 2;

	/** The pages give the store 20 s of history. */
	private static final long HISTORY_MILLIS = 20_000;

	private final HttpServer server;

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();

	private final List<Map<String, Object>> events = new ArrayList<>();

	private final List<Long> eventMillis = new ArrayList<>();

	private long forgottenRevision;

	private final Map<Long, Long> leaseEnds = new HashMap<>();

	private final Map<Long, Long> leaseTtls = new HashMap<>();

	private long revision = 1;

	private long lastLease;

	private int lostAnswers;

	private long lateMillis;

	private Log log;

	private StoreServer(HttpServer server) {
		this.server = server;
	}

	public static StoreServer start(String host) throws IOException {
		StoreServer store = new StoreServer(HttpServer.create(new InetSocketAddress(host, 0), 100));
		store.server.setExecutor(store.threads);
		store.server.createContext("/", store::handle);
		store.server.start();
		return store;
	}

	public String address() {
		InetSocketAddress address = this.server.getAddress();
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	public synchronized void put(String key, String json) {
		write(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
		notifyAll();
	}

	public synchronized void remove(String key) {
		delete(key);
		notifyAll();
	}

	/** Gives no answer to the next writes without a lease, and does them late. */
	public synchronized void loseAnswers(int count, long millis, Log record) {
		this.lostAnswers = count;
		this.lateMillis = millis;
		this.log = record;
	}

	private synchronized boolean losesAnswer(String path, JsonNode body) {
		if (this.lostAnswers > 0 && path.equals(Wire.name("path.transaction"))
				&& body.path("writes").path(0).path("lease").asLong() == 0) {
			this.lostAnswers--;
			return true;
		}
		return false;
	}

	/** Returns the keys that begin with a prefix. */
	public synchronized List<String> keys(String prefix) {
		return this.items.keySet().stream().filter((key) -> key.startsWith(prefix)).toList();
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.threads.shutdownNow();
	}

	private void write(String key, String value, long lease) {
		this.revision++;
		Object created = this.items.containsKey(key) ? this.items.get(key).get("created") : this.revision;
		Map<String, Object> item = Map.of("key", key, "value", value, "revision", this.revision, "created", created,
				"lease", lease);
		this.items.put(key, item);
		remember(item);
	}

	private void remember(Map<String, Object> event) {
		long now = System.nanoTime() / 1_000_000;
		this.events.add(event);
		this.eventMillis.add(now);
		while (now - this.eventMillis.get(0) > HISTORY_MILLIS) {
			this.forgottenRevision = (Long) this.events.remove(0).get("revision");
			this.eventMillis.remove(0);
		}
	}

	private void delete(String key) {
		if (this.items.remove(key) != null) {
			this.revision++;
			remember(Map.of("key", key, "revision", this.revision, "deleted", true));
		}
	}

	private void endLease(long lease) {
		this.leaseEnds.remove(lease);
		this.items.values()
			.stream()
			.filter((item) -> ((Long) item.get("lease")) == lease)
			.map((item) -> item.get("key").toString())
			.toList()
			.forEach(this::delete);
		notifyAll();
	}

	private void expireLeases() {
		long now = System.nanoTime() / 1_000_000;
		this.leaseEnds.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() < now)
			.map(Map.Entry::getKey)
			.toList()
			.forEach(this::endLease);
	}

	private void handle(HttpExchange call) throws IOException {
		try {
			Thread.sleep(ANSWER_MILLIS);
			Map<String, String> query = new HashMap<>();
			String raw = call.getRequestURI().getRawQuery();
			for (String part : (raw != null) ? raw.split("&") : new String[0]) {
				int equals = part.indexOf('=');
				query.put(part.substring(0, equals),
						URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
			}
			byte[] body = call.getRequestBody().readAllBytes();
			JsonNode request = (body.length > 0) ? JSON.readTree(body) : JSON.createObjectNode();
			if (losesAnswer(call.getRequestURI().getPath(), request)) {
				this.log.print("the store leaves a write of " + request.path("writes").path(0).path("key").asText()
						+ " unanswered");
				Thread.sleep(this.lateMillis);
				Answer late = answer(call.getRequestURI().getPath(), query, request);
				this.log.print("the store does that write now: " + late.status());
				return;
			}
			Answer answer = answer(call.getRequestURI().getPath(), query,
					request);
			byte[] bytes = JSON.writeValueAsBytes(answer.body());
			call.getResponseHeaders().add("Content-Type", "application/json");
			call.sendResponseHeaders(answer.status(), bytes.length);
			call.getResponseBody().write(bytes);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			call.close();
		}
	}

	private synchronized Answer answer(String path, Map<String, String> query, JsonNode body)
			throws InterruptedException {
		expireLeases();
		if (path.equals(Wire.name("path.range"))) {
			String prefix = query.getOrDefault("prefix", "");
			return new Answer(200,
					Map.of("items",
							this.items.values()
								.stream()
								.filter((item) -> item.get("key").toString().startsWith(prefix))
								.toList(),
							"more_pages", false, "as_of", this.revision));
		}
		if (path.equals(Wire.name("path.key"))) {
			Map<String, Object> item = this.items.get(query.getOrDefault("key", ""));
			return (item != null) ? new Answer(200, item) : new Answer(404, Map.of());
		}
		if (path.equals(Wire.name("path.watch"))) {
			return watch(query.getOrDefault("prefix", ""), Long.parseLong(query.get("after")),
					Long.parseLong(query.getOrDefault("wait_ms", "0")));
		}
		if (path.equals(Wire.name("path.transaction"))) {
			return commit(body);
		}
		if (path.equals(Wire.name("path.lease"))) {
			long lease = ++this.lastLease;
			this.leaseTtls.put(lease, body.path("ttl_ms").asLong());
			this.leaseEnds.put(lease, System.nanoTime() / 1_000_000 + body.path("ttl_ms").asLong());
			return new Answer(200, Map.of("lease", lease, "ttl_ms", body.path("ttl_ms").asLong()));
		}
		if (path.startsWith(Wire.name("path.keep"))) {
			long lease = Long.parseLong(path.substring(Wire.name("path.keep").length()));
			if (!this.leaseEnds.containsKey(lease)) {
				return new Answer(404, Map.of());
			}
			this.leaseEnds.put(lease, System.nanoTime() / 1_000_000 + this.leaseTtls.get(lease));
			return new Answer(200, Map.of("ttl_ms", this.leaseTtls.get(lease)));
		}
		if (path.startsWith(Wire.name("path.leaseEnd"))) {
			endLease(Long.parseLong(path.substring(Wire.name("path.leaseEnd").length())));
			return new Answer(200, Map.of());
		}
		return new Answer(404, Map.of());
	}

	private Answer watch(String prefix, long after, long waitMillis) throws InterruptedException {
		long end = System.nanoTime() / 1_000_000 + waitMillis;
		while (true) {
			if (after < this.forgottenRevision) {
				return new Answer(410, Map.of());
			}
			List<Map<String, Object>> found = this.events.stream()
				.filter((event) -> ((Long) event.get("revision")) > after
						&& event.get("key").toString().startsWith(prefix))
				.toList();
			long left = end - System.nanoTime() / 1_000_000;
			if (!found.isEmpty() || left <= 0) {
				return new Answer(200, Map.of("events", found, "as_of", this.revision));
			}
			wait(Math.min(left, 500));
			expireLeases();
		}
	}

	private Answer commit(JsonNode body) {
		List<Object> current = new ArrayList<>();
		boolean met = true;
		for (JsonNode row : body.path("expected")) {
			String key = row.path("key").asText();
			Map<String, Object> item = this.items.get(key);
			met &= ((item != null) ? (Long) item.get("revision") : 0) == row.path("revision").asLong();
			current.add((item != null) ? item : Map.of("key", key, "revision", 0L));
		}
		if (!met) {
			return new Answer(412, Map.of("items", current));
		}
		for (JsonNode write : body.path("writes")) {
			long lease = write.path("lease").asLong();
			if (lease != 0 && !this.leaseEnds.containsKey(lease)) {
				return new Answer(404, Map.of());
			}
		}
		body.path("writes")
			.forEach((write) -> write(write.path("key").asText(), write.path("value").asText(),
					write.path("lease").asLong()));
		body.path("remove").forEach((key) -> delete(key.asText()));
		notifyAll();
		return new Answer(200, Map.of("revision", this.revision));
	}

	private record Answer(int status, Object body) {
	}

}
