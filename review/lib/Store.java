package org.monsoonvalve.review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonvalve.core.process.Codec;

/** A sound metadata store: items, history, watches, transactions and leases. */
class Store extends Standin {

	private static final long HISTORY_MILLIS = 20_000;

	private static final int MAX_PAGE_ITEMS = 500;

	private static final int MAX_PAGE_BYTES = 1_000_000;

	private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();

	private final Deque<Event> history = new ArrayDeque<>();

	private final Map<Long, Lease> leases = new HashMap<>();

	private long revision = 1;

	private long forgottenRevision;

	private long lastLease = 77_000;

	Store(String ip, int port) throws IOException {
		super(ip, port);
	}

	private record Event(long revision, long atMillis, Map<String, Object> content) {
	}

	private static final class Lease {

		private final long ttlMillis;

		private long endMillis;

		private Lease(long ttlMillis) {
			this.ttlMillis = ttlMillis;
			renew();
		}

		private void renew() {
			this.endMillis = System.currentTimeMillis() + this.ttlMillis;
		}

	}

	/** Writes as the operator or a server does; the return is the acknowledgement. */
	synchronized long put(String key, String value) {
		write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
		notifyAll();
		return this.revision;
	}

	synchronized void remove(String key) {
		delete(key);
		notifyAll();
	}

	synchronized String get(String key) {
		Map<String, Object> item = this.items.get(key);
		return (item != null) ? new String(Base64.getDecoder().decode(item.get("value").toString())) : "";
	}

	synchronized List<String> keys(String prefix) {
		return this.items.keySet().stream().filter((key) -> key.startsWith(prefix)).toList();
	}

	private void write(String key, String value, long lease) {
		this.revision++;
		Map<String, Object> item = new LinkedHashMap<>();
		item.put("key", key);
		item.put("value", value);
		item.put("revision", this.revision);
		Map<String, Object> before = this.items.get(key);
		item.put("created", (before != null) ? before.get("created") : (Object) this.revision);
		item.put("lease", lease);
		this.items.put(key, item);
		record(item);
	}

	private void delete(String key) {
		if (this.items.remove(key) != null) {
			this.revision++;
			record(Map.of("key", key, "revision", this.revision, "deleted", true));
		}
	}

	private void record(Map<String, Object> content) {
		long now = System.currentTimeMillis();
		this.history.addLast(new Event(this.revision, now, content));
		while (now - this.history.peekFirst().atMillis() > HISTORY_MILLIS) {
			this.forgottenRevision = this.history.removeFirst().revision();
		}
	}

	private void expireLeases() {
		long now = System.currentTimeMillis();
		List<Long> ended = this.leases.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().endMillis < now)
			.map(Map.Entry::getKey)
			.toList();
		ended.forEach(this::endLease);
	}

	private void endLease(long lease) {
		this.leases.remove(lease);
		this.items.values()
			.stream()
			.filter((item) -> item.get("lease").equals(lease))
			.map((item) -> item.get("key").toString())
			.toList()
			.forEach(this::delete);
		notifyAll();
	}

	@Override
	void handle(Http.Message request, Caller caller) throws IOException {
		String path = request.path();
		if (path.equals(Wire.name("path.watch"))) {
			watch(request, caller);
			return;
		}
		Answer answer;
		synchronized (this) {
			expireLeases();
			answer = answer(request, path);
		}
		reply(caller, answer);
	}

	private record Answer(int status, Object body) {
	}

	private void reply(Caller caller, Answer answer) throws IOException {
		caller.reply(answer.status(), Codec.JSON.encode(answer.body()), "Content-Type", "application/json");
	}

	private Answer answer(Http.Message request, String path) {
		if (path.equals(Wire.name("path.range"))) {
			return range(request.query("prefix", ""), request.query("after", ""));
		}
		if (path.equals(Wire.name("path.item"))) {
			Map<String, Object> item = this.items.get(request.query("key", ""));
			return new Answer((item != null) ? 200 : 404, (item != null) ? item : Map.of());
		}
		if (path.equals(Wire.name("path.commit"))) {
			return commit(Codec.JSON.tree(request.body()));
		}
		if (path.equals(Wire.name("path.lease"))) {
			Lease lease = new Lease(Codec.JSON.tree(request.body()).path("ttl_ms").asLong());
			this.leases.put(++this.lastLease, lease);
			return new Answer(200, Map.of("lease", this.lastLease, "ttl_ms", lease.ttlMillis));
		}
		if (path.startsWith(Wire.name("path.endLease"))) {
			endLease(Long.parseLong(path.substring(Wire.name("path.endLease").length())));
			return new Answer(200, Map.of());
		}
		if (path.startsWith(Wire.name("path.renew"))) {
			Lease lease = this.leases.get(Long.parseLong(path.substring(Wire.name("path.renew").length())));
			if (lease == null) {
				return new Answer(404, Map.of());
			}
			lease.renew();
			return new Answer(200, Map.of("ttl_ms", lease.ttlMillis));
		}
		return new Answer(404, Map.of());
	}

	private Answer range(String prefix, String after) {
		List<Map<String, Object>> page = new ArrayList<>();
		long bytes = 0;
		boolean more = false;
		for (Map<String, Object> item : this.items.tailMap(after, false).values()) {
			if (!item.get("key").toString().startsWith(prefix)) {
				continue;
			}
			bytes += item.get("value").toString().length();
			if (page.size() >= MAX_PAGE_ITEMS || (bytes > MAX_PAGE_BYTES && !page.isEmpty())) {
				more = true;
				break;
			}
			page.add(item);
		}
		return new Answer(200, Map.of("items", page, "more_pages", more, "as_of", this.revision));
	}

	private Answer commit(JsonNode call) {
		List<Map<String, Object>> current = new ArrayList<>();
		boolean matches = true;
		for (JsonNode row : call.path("expected")) {
			String key = row.path("key").asText();
			Map<String, Object> item = this.items.get(key);
			matches &= row.path("revision").asLong() == ((item != null) ? (long) item.get("revision") : 0);
			current.add((item != null) ? item : Map.of("key", key, "revision", 0));
		}
		if (!matches) {
			return new Answer(412, Map.of("items", current));
		}
		for (JsonNode row : call.path("writes")) {
			long lease = row.path("lease").asLong();
			if (lease != 0 && !this.leases.containsKey(lease)) {
				return new Answer(404, Map.of());
			}
		}
		call.path("writes")
			.forEach((row) -> write(row.path("key").asText(), row.path("value").asText(), row.path("lease").asLong()));
		call.path("remove").forEach((key) -> delete(key.asText()));
		notifyAll();
		return new Answer(200, Map.of("revision", this.revision));
	}

	private void watch(Http.Message request, Caller caller) throws IOException {
		String prefix = request.query("prefix", "");
		long after = Long.parseLong(request.query("after", "0"));
		long end = System.currentTimeMillis() + Long.parseLong(request.query("wait_ms", "0"));
		Answer answer;
		synchronized (this) {
			List<Map<String, Object>> events = eventsAfter(after, prefix);
			for (long now = System.currentTimeMillis(); events.isEmpty() && now < end; now = System
				.currentTimeMillis()) {
				try {
					wait(Math.min(100, end - now));
				}
				catch (InterruptedException ex) {
					throw new IOException(ex);
				}
				expireLeases();
				events = eventsAfter(after, prefix);
			}
			answer = (after < this.forgottenRevision) ? new Answer(410, Map.of())
					: new Answer(200, Map.of("events", events, "as_of", this.revision));
		}
		reply(caller, answer);
	}

	private List<Map<String, Object>> eventsAfter(long after, String prefix) {
		return this.history.stream()
			.filter((event) -> event.revision() > after)
			.map(Event::content)
			.filter((content) -> content.get("key").toString().startsWith(prefix))
			.toList();
	}

}
