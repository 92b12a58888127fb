package org.monsoonvalve.review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonvalve.core.process.Codec;

/**
 * A sound model server: reports itself, carries out orders and, as the head of an open group, answers with streams.
 */
final class ModelServer extends Standin {

	private static final long HEARTBEAT_MILLIS = 1200;

	/** Heartbeat intervals of silence after which the store removes an entry. */
	private static final int EXPIRY_HEARTBEATS = 3;

	private static final long LOAD_MILLIS = 1000;

	private static final long JOIN_MILLIS = 500;

	private static final long FORM_MILLIS = 300;

	private static final long STALL_MILLIS = 5000;

	private static final int SLOTS = 12;

	private static final int EVENTS = 30;

	private static final long EVENT_MILLIS = 100;

	private static final Set<String> SERVING = Set.of("open", "closing");

	private final Store store;

	private final String id;

	private final Record record;

	private final Map<String, ModelServer> fleet;

	private final long bornMillis = System.currentTimeMillis();

	private final Set<String> staged = new LinkedHashSet<>();

	private final Set<Integer> streams = ConcurrentHashMap.newKeySet();

	private final Queue<String> violations = new ConcurrentLinkedQueue<>();

	private volatile Group group;

	private volatile CrashingPart crashingPart;

	private volatile boolean ended;

	private volatile boolean cutFromStore;

	private volatile long lastBeatMillis;

	private volatile long standsStillSinceMillis;

	private String model = "";

	private long orders;

	private long beats;

	private int lastStream;

	ModelServer(String ip, int port, Store store, String id, Record record, Map<String, ModelServer> fleet)
			throws IOException {
		super(ip, port);
		this.store = store;
		this.id = id;
		this.record = record;
		this.fleet = fleet;
		fleet.put(id, this);
	}

	/** The membership of one server. */
	private record Group(String name, long epoch, List<String> members, int rank, String state) {

		private Group with(String newState) {
			return new Group(this.name, this.epoch, this.members, this.rank, newState);
		}

	}

	/**
	 * A part of a prompt that crashes each server that begins to write an answer on it.
	 *
	 * @param name the identifier of the part
	 * @param arrivals the times at which requests with the part reached servers, in milliseconds
	 * @param crashes the times of the crashes, in milliseconds
	 * @param onCrash starts a crashed server again
	 */
	record CrashingPart(String name, Queue<Long> arrivals, Queue<Long> crashes, Consumer<ModelServer> onCrash) {

		// The last part belongs to the request itself.
		private boolean isIn(String promptParts) {
			String[] parts = promptParts.split(",");
			return Arrays.stream(parts, 0, parts.length - 1).anyMatch((part) -> part.startsWith(this.name + ":"));
		}

	}

	void crashOn(CrashingPart part) {
		this.crashingPart = part;
	}

	String id() {
		return this.id;
	}

	/** The joins that took this server out of a group whose head was serving. */
	Queue<String> violations() {
		return this.violations;
	}

	boolean serving() {
		Group current = this.group;
		return current != null && current.rank() == 0 && "open".equals(current.state());
	}

	List<String> members() {
		Group current = this.group;
		return (current != null) ? current.members() : List.of();
	}

	boolean hasEntry() {
		return !this.store.get(Wire.name("key.servers") + this.id).isEmpty();
	}

	long lastBeatMillis() {
		return this.lastBeatMillis;
	}

	static void awaitGroups(Map<String, ModelServer> fleet, int count) throws IOException {
		long end = System.currentTimeMillis() + 30_000;
		while (fleet.values().stream().filter(ModelServer::serving).count() < count) {
			if (System.currentTimeMillis() > end) {
				throw new Case.NotRunException("the groups are not open");
			}
			Threads.sleep(50);
		}
	}

	void register() {
		Threads.run(() -> {
			while (!this.ended) {
				beat();
				Thread.sleep(HEARTBEAT_MILLIS);
			}
		});
		Threads.run(() -> {
			while (!this.ended || hasEntry()) {
				Thread.sleep(20);
				if ((this.cutFromStore || this.ended) && hasEntry()
						&& System.currentTimeMillis() - this.lastBeatMillis > EXPIRY_HEARTBEATS * HEARTBEAT_MILLIS) {
					this.store.remove(Wire.name("key.servers") + this.id);
					this.record.line("the store removes the entry of %s", this.id);
				}
				checkMembers();
			}
		});
	}

	/**
	 * Partitions this server from the store, or heals the partition; requests and orders still reach it. The next
	 * heartbeat after the partition writes the entry again.
	 */
	void cutFromStore(boolean cut) {
		this.cutFromStore = cut;
	}

	private synchronized void beat() {
		if (this.cutFromStore || this.ended) {
			return;
		}
		this.lastBeatMillis = System.currentTimeMillis();
		Group current = this.group;
		this.store.put(Wire.name("key.servers") + this.id,
				Wire.template("entry.json",
						Map.of("SERVICE", "grass-llm", "ADDRESS", address(), "SLOTS", SLOTS, "STATE", "ready", "BORN",
								this.bornMillis, "MODELS",
								this.model.isEmpty() ? ""
										: "{\"name\":\"" + this.model + "\",\"version\":1,\"adapters\":[]}",
								"STAGED",
								String.join(",", this.staged.stream().map((each) -> "\"" + each + "\"").toList()),
								"SEQUENCE", ++this.beats, "GROUP",
								(current == null) ? ""
										: ",\"group\":{\"name\":\"%s\",\"epoch\":%d,\"rank\":%d,\"state\":\"%s\"}"
											.formatted(current.name(), current.epoch(), current.rank(),
													current.state()))));
	}

	// The head of a group stands still once a member has left, and is broken after a while.
	private void checkMembers() {
		Group current = this.group;
		if (current == null || current.rank() != 0 || !SERVING.contains(current.state())) {
			this.standsStillSinceMillis = 0;
			return;
		}
		boolean whole = current.members().stream().map(this.fleet::get).allMatch((member) -> {
			Group theirs = member.group;
			return theirs != null && theirs.name().equals(current.name()) && theirs.epoch() == current.epoch();
		});
		if (whole) {
			this.standsStillSinceMillis = 0;
		}
		else if (this.standsStillSinceMillis == 0) {
			this.standsStillSinceMillis = System.currentTimeMillis();
		}
		else if (System.currentTimeMillis() - this.standsStillSinceMillis > STALL_MILLIS) {
			this.record.line("group %s of %s is broken", current.name(), this.id);
			change(current.with("broken"));
		}
	}

	private synchronized void change(Group changed) {
		this.group = changed;
		beat();
	}

	@Override
	void handle(Http.Message request, Caller caller) throws IOException {
		String expected = request.header(Wire.name("header.expected"));
		String attempt = request.header(Wire.name("header.request"));
		if (!expected.isEmpty() && !expected.equals(this.id)) {
			misdirected(caller, attempt);
		}
		else if (request.path().equals(Wire.name("path.report"))) {
			Map<String, Object> report;
			synchronized (this) {
				report = Map.of("stage", "unified", "busy", false, "sequence", this.orders, "queued", 0, "running",
						this.streams.size(), "kv_used", 0, "kv_total", 1_000_000, "handles", 0, "pace", 1.0, "born",
						this.bornMillis);
			}
			caller.reply(200, Codec.JSON.encode(report), "Content-Type", "application/json");
		}
		else if (request.path().equals(Wire.name("path.order"))) {
			JsonNode order = Codec.JSON.tree(request.body());
			int status = order(order);
			this.record.line("%s answers %d to the order %s", this.id, status, order);
			caller.reply(status, "{}".getBytes(StandardCharsets.US_ASCII), "Content-Type", "application/json");
		}
		else {
			stream(request, caller, attempt);
		}
	}

	private void misdirected(Caller caller, String attempt) throws IOException {
		caller.reply(421, new byte[0], Wire.name("header.request"), attempt, Wire.name("header.instance"), this.id);
	}

	private synchronized int order(JsonNode order) {
		if (order.has("expected") && order.path("expected").asLong() != this.orders) {
			return 409;
		}
		int status = switch (order.path("operation").asText()) {
			case "stage" -> stage(order.path("model").asText());
			case "join" -> join(order);
			case "open", "close", "leave" -> ofGroup(order);
			default -> 400;
		};
		if (status == 202) {
			this.orders++;
		}
		return status;
	}

	private int stage(String name) {
		if (this.staged.contains(name)) {
			return 200;
		}
		later(LOAD_MILLIS, () -> {
			this.staged.clear();
			this.staged.add(name);
			beat();
		});
		return 202;
	}

	private int join(JsonNode order) {
		String name = order.path("group").asText();
		long epoch = order.path("epoch").asLong();
		List<String> members = new ArrayList<>();
		order.path("members").forEach((member) -> members.add(member.asText()));
		Group before = this.group;
		if (before != null && before.name().equals(name) && before.epoch() == epoch) {
			return before.members().equals(members) ? 200 : 412;
		}
		if (before != null && epoch < before.epoch()) {
			return 412;
		}
		if (before != null) {
			noteIfServing(before, name);
		}
		this.model = order.path("model").asText();
		Group joined = new Group(name, epoch, List.copyOf(members), members.indexOf(this.id), "joining");
		change(joined);
		later(JOIN_MILLIS, () -> {
			if (this.group == joined) {
				change(joined.with("ready"));
			}
		});
		return 202;
	}

	private void noteIfServing(Group before, String next) {
		ModelServer head = this.fleet.get(before.members().get(0));
		Group theirs = head.group;
		boolean same = theirs != null && theirs.name().equals(before.name()) && theirs.epoch() == before.epoch();
		if (same && SERVING.contains(theirs.state())) {
			String text = this.id + " takes a join of " + next + " while " + head.id + ", the head of its group "
					+ before.name() + ", is " + theirs.state() + " and runs " + head.streams.size() + " streams";
			this.violations.add(text);
			this.record.line("BROKEN: %s", text);
		}
	}

	private int ofGroup(JsonNode order) {
		Group current = this.group;
		boolean matches = current != null && current.name().equals(order.path("group").asText())
				&& current.epoch() == order.path("epoch").asLong();
		String operation = order.path("operation").asText();
		if (!matches) {
			return "leave".equals(operation) ? 200 : 409;
		}
		if ("leave".equals(operation)) {
			change(null);
			return 202;
		}
		if ("open".equals(operation)) {
			return open(current);
		}
		return close(current, "evict".equals(order.path("close_mode").asText()));
	}

	private int open(Group current) {
		if ("open".equals(current.state())) {
			return 200;
		}
		if (!"ready".equals(current.state()) || current.rank() != 0) {
			return 409;
		}
		later(FORM_MILLIS, () -> {
			if (this.group == current) {
				change(current.with("open"));
			}
		});
		return 202;
	}

	private int close(Group current, boolean evict) {
		if ("ready".equals(current.state())) {
			return 200;
		}
		if (!"open".equals(current.state())) {
			return 409;
		}
		Group closing = current.with("closing");
		change(closing);
		if (evict) {
			this.streams.clear();
		}
		Threads.run(() -> {
			while (!this.streams.isEmpty()) {
				Thread.sleep(10);
			}
			if (this.group == closing) {
				change(closing.with("ready"));
			}
		});
		return 202;
	}

	private static void later(long millis, Runnable task) {
		Threads.run(() -> {
			Thread.sleep(millis);
			task.run();
		});
	}

	private void stream(Http.Message request, Caller caller, String attempt) throws IOException {
		if (!serving()) {
			misdirected(caller, attempt);
			return;
		}
		CrashingPart crashing = this.crashingPart;
		if (crashing != null && crashing.isIn(request.header(Wire.name("header.prefix")))) {
			crashing.arrivals().add(System.currentTimeMillis());
			this.record.line("%s with the crashing part reaches %s", attempt, this.id);
			Threads.sleep(EVENT_MILLIS);
			crash(crashing);
			return;
		}
		int stream;
		synchronized (this) {
			if (this.streams.size() >= SLOTS) {
				caller.reply(503, new byte[0], Wire.name("header.request"), attempt, Wire.name("header.notRun"), "1");
				return;
			}
			stream = ++this.lastStream;
			this.streams.add(stream);
		}
		try {
			String after = request.header(Wire.name("header.lastEvent"));
			int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
			this.record.line("%s runs %s from event %d", this.id, attempt, first);
			caller.out()
				.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
						+ Wire.name("header.request") + ": " + attempt + "\r\n" + Wire.name("header.seal") + ": seal-"
						+ attempt + "\r\n" + Wire.name("header.load") + ": " + this.streams.size() + ",0," + SLOTS
						+ "\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			for (int number = first; number <= EVENTS; number++) {
				writeEvent(caller, stream, attempt, number);
			}
			caller.out().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			caller.out().flush();
		}
		finally {
			this.streams.remove(stream);
		}
	}

	private void crash(CrashingPart crashing) {
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.ended = true;
		}
		this.record.line("%s crashes", this.id);
		crashing.crashes().add(System.currentTimeMillis());
		close();
		crashing.onCrash().accept(this);
	}

	private void writeEvent(Caller caller, int stream, String attempt, int number) throws IOException {
		Threads.sleep(EVENT_MILLIS);
		while (this.standsStillSinceMillis > 0 && this.streams.contains(stream)) {
			Threads.sleep(20);
		}
		Group current = this.group;
		if (!this.streams.contains(stream) || current == null || !SERVING.contains(current.state())) {
			Threads.close(caller.socket());
			throw new IOException("the group no longer serves");
		}
		String event = "id: " + number + "\ndata: " + attempt + "-" + number + "\n\n";
		caller.out()
			.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.US_ASCII));
		caller.out().flush();
	}

}
