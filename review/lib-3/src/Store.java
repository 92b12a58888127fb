import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Predicate;

/** The platform's store: items, watches, transactions and leases that expire. */
final class Store {

	/** The calls that are turned away with 503, by the address that they arrive at. */
	final Map<String, Predicate<String>> refusals = new ConcurrentHashMap<>();

	private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();

	private final List<Map<String, Object>> events = new ArrayList<>();

	private final Map<Long, long[]> leases = new HashMap<>();

	private long revision = 1000;

	private long lastLease;

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	Store() {
		this.threads.execute(() -> {
			while (true) {
				Wire.sleep(100);
				expire();
			}
		});
	}

	void listen(String host, int port) throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 256);
		server.setExecutor(this.threads);
		server.createContext("/", (exchange) -> {
			try {
				handle(exchange);
			}
			catch (RuntimeException ex) {
				ex.printStackTrace();
			}
			finally {
				exchange.close();
			}
		});
		server.start();
	}

	synchronized long put(String key, Object value) {
		write(key, Base64.getEncoder().encodeToString(Wire.bytes(value)), 0);
		notifyAll();
		return this.revision;
	}

	synchronized void remove(String key) {
		delete(key);
		notifyAll();
	}

	synchronized JsonNode get(String key) {
		Map<String, Object> item = this.items.get(key);
		return (item != null) ? Wire.json(Base64.getDecoder().decode(item.get("value").toString())) : null;
	}

	synchronized String text(String key) {
		Map<String, Object> item = this.items.get(key);
		return (item != null)
				? new String(Base64.getDecoder().decode(item.get("value").toString()), StandardCharsets.UTF_8) : null;
	}

	synchronized List<String> keys(String prefix) {
		return this.items.keySet().stream().filter((key) -> key.startsWith(prefix)).toList();
	}

	private void write(String key, String value, long lease) {
		this.revision++;
		Map<String, Object> item = Map.of("key", key, "value", value, "revision", this.revision, "created",
				this.revision, "lease", lease);
		this.items.put(key, item);
		this.events.add(item);
	}

	private void delete(String key) {
		if (this.items.remove(key) != null) {
			this.revision++;
			this.events.add(Map.of("key", key, "revision", this.revision, "deleted", true));
		}
	}

	private synchronized void expire() {
		long now = Wire.now();
		List<Long> ended = this.leases.entrySet()
			.stream()
			.filter((entry) -> entry.getValue()[0] < now)
			.map(Map.Entry::getKey)
			.toList();
		ended.forEach(this::end);
	}

	private void end(long lease) {
		this.leases.remove(lease);
		List.copyOf(this.items.values())
			.stream()
			.filter((item) -> item.get("lease").equals(lease))
			.forEach((item) -> delete(item.get("key").toString()));
		notifyAll();
	}

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> values = new HashMap<>();
		String query = exchange.getRequestURI().getRawQuery();
		if (query != null) {
			for (String part : query.split("&")) {
				int equals = part.indexOf('=');
				values.put(part.substring(0, equals),
						URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		return values;
	}

	private void handle(HttpExchange exchange) throws IOException {
		String path = exchange.getRequestURI().getPath();
		byte[] body = exchange.getRequestBody().readAllBytes();
		String local = exchange.getLocalAddress().getHostString() + ":" + exchange.getLocalAddress().getPort();
		Map<String, String> query = query(exchange);
		Predicate<String> refused = this.refusals.getOrDefault(local, (any) -> false);
		if (refused.test(path)) {
			reply(exchange, 503, Map.of());
			return;
		}
		if (path.equals(Wire.name("store.watch"))) {
			watch(exchange, Long.parseLong(query.get("after")), Long.parseLong(query.get("wait_ms")),
					query.getOrDefault("prefix", ""), refused, path);
			return;
		}
		Object[] answer = answer(path, query, body);
		reply(exchange, (int) answer[0], answer[1]);
	}

	private synchronized Object[] answer(String path, Map<String, String> query, byte[] body) {
		if (path.equals(Wire.name("store.range"))) {
			String prefix = query.getOrDefault("prefix", "");
			String after = query.getOrDefault("after", "");
			List<Map<String, Object>> found = this.items.values()
				.stream()
				.filter((item) -> item.get("key").toString().startsWith(prefix)
						&& item.get("key").toString().compareTo(after) > 0)
				.toList();
			List<Map<String, Object>> page = found.stream().limit(500).toList();
			return new Object[] { 200,
					Map.of("items", page, "more_pages", page.size() < found.size(), "as_of", this.revision) };
		}
		if (path.equals(Wire.name("store.txn"))) {
			return commit(Wire.json(body));
		}
		if (path.equals(Wire.name("store.lease"))) {
			long ttl = Wire.json(body).path("ttl_ms").asLong();
			this.leases.put(++this.lastLease, new long[] { Wire.now() + ttl, ttl });
			return new Object[] { 200, Map.of("lease", this.lastLease, "ttl_ms", ttl) };
		}
		if (path.startsWith(Wire.name("store.end"))) {
			end(Long.parseLong(path.substring(Wire.name("store.end").length())));
			return new Object[] { 200, Map.of() };
		}
		if (path.startsWith(Wire.name("store.keep"))) {
			long[] lease = this.leases.get(Long.parseLong(path.substring(Wire.name("store.keep").length())));
			if (lease == null) {
				return new Object[] { 404, Map.of() };
			}
			lease[0] = Wire.now() + lease[1];
			return new Object[] { 200, Map.of("ttl_ms", lease[1]) };
		}
		return new Object[] { 404, Map.of() };
	}

	private Object[] commit(JsonNode body) {
		List<Map<String, Object>> current = new ArrayList<>();
		boolean holds = true;
		for (JsonNode row : body.path("expected")) {
			Map<String, Object> item = this.items.get(row.path("key").asText());
			long at = (item != null) ? (long) item.get("revision") : 0;
			holds &= at == row.path("revision").asLong();
			current.add((item != null) ? item : Map.of("key", row.path("key").asText(), "revision", 0L));
		}
		if (!holds) {
			return new Object[] { 412, Map.of("items", current) };
		}
		for (JsonNode row : body.path("writes")) {
			long lease = row.path("lease").asLong();
			if (lease != 0 && !this.leases.containsKey(lease)) {
				return new Object[] { 404, Map.of() };
			}
			write(row.path("key").asText(), row.path("value").asText(), lease);
		}
		body.path("remove").forEach((key) -> delete(key.asText()));
		notifyAll();
		return new Object[] { 200, Map.of("revision", this.revision) };
	}

	private void watch(HttpExchange exchange, long after, long waitMillis, String prefix, Predicate<String> refused,
			String path) throws IOException {
		List<Map<String, Object>> found = new ArrayList<>();
		long asOf;
		synchronized (this) {
			long end = Wire.now() + waitMillis;
			while (true) {
				found.clear();
				this.events.stream()
					.filter((event) -> (long) event.get("revision") > after
							&& event.get("key").toString().startsWith(prefix))
					.forEach(found::add);
				long left = end - Wire.now();
				if (!found.isEmpty() || left <= 0) {
					break;
				}
				try {
					wait(left);
				}
				catch (InterruptedException ex) {
					return;
				}
			}
			asOf = this.revision;
		}
		if (refused.test(path)) {
			reply(exchange, 503, Map.of());
			return;
		}
		reply(exchange, 200, Map.of("events", found, "as_of", asOf));
	}

	private static void reply(HttpExchange exchange, int status, Object body) throws IOException {
		byte[] bytes = Wire.bytes(body);
		exchange.getResponseHeaders().add("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
	}

}
