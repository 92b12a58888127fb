package org.monsoonvalve.review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** A model server: takes orders, forms a group and answers requests with streams. */
public class ModelServer implements AutoCloseable {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final long STAGE_MILLIS = 400;

	private static final long JOIN_MILLIS = 200;

	private static final long FORM_MILLIS = 100;

	private static final long QUEUE_WAIT_MILLIS = 4000;

	private final String id;

	private final String service;

	private final String zone;

	private final int slots;

	private final int queue;

	private final StoreServer store;

	private final Log log;

	private final ServerSocket listener;

	private final Semaphore places;

	private final AtomicInteger present = new AtomicInteger();

	private final AtomicLong beats = new AtomicLong();

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final long bornMillis = System.currentTimeMillis();

	private final List<String> staged = new ArrayList<>();

	private String model = "";

	private volatile Map<String, Object> group = Map.of();

	private long sequence;

	private String state = "ready";

	private boolean cut;

	private volatile int events = 10;

	private volatile long eventMillis = 50;

	public ModelServer(String id, String service, String zone, String host, int slots, int queue, StoreServer store,
			Log log) throws IOException {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.queue = queue;
		this.store = store;
		this.log = log;
		this.places = new Semaphore(slots, true);
		this.listener = new ServerSocket(0, 200, InetAddress.getByName(host));
	}

	public void start() {
		this.threads.execute(this::accept);
		beat();
	}

	/** Sets the number of events of a stream and the time between two of them. */
	public void stream(int newEvents, long newEventMillis) {
		this.events = newEvents;
		this.eventMillis = newEventMillis;
	}

	public String id() {
		return this.id;
	}

	public Log log() {
		return this.log;
	}

	public boolean serving() {
		return "open".equals(this.group.get("state"));
	}

	/** Loses or regains the path to the store, which removes its record meanwhile. */
	public synchronized void cutFromStore(boolean cut) {
		this.cut = cut;
		if (cut) {
			this.store.remove(Wire.name("key.servers") + this.id);
		}
		else {
			beat();
		}
	}

	/** Writes the record in the store, as after each change. */
	protected final synchronized void beat() {
		if (this.cut) {
			return;
		}
		try {
			Map<String, Object> record = new HashMap<>();
			JSON.readTree(Wire.shared("server.json", "service", this.service, "address",
					this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort(), "zone",
					this.zone, "slots", this.slots, "state", this.state, "sequence", this.beats.incrementAndGet(), "born",
					this.bornMillis))
				.fields()
				.forEachRemaining((field) -> record.put(field.getKey(), field.getValue()));
			addState(record);
			this.store.put(Wire.name("key.servers") + this.id, JSON.writeValueAsString(record));
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void addState(Map<String, Object> target) {
		target.put("stage", "unified");
		target.put("domain", "fabric-1");
		target.put("staged", List.copyOf(this.staged));
		target.put("models", this.model.isEmpty() ? List.of()
				: List.of(Map.of("name", this.model, "version", 1, "adapters", List.of())));
		if (!this.group.isEmpty()) {
			target.put("group", this.group);
		}
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				this.sockets.add(socket);
				this.threads.execute(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		Channel channel = new Channel();
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			channel.out = socket.getOutputStream();
			for (Http.Head head = Http.head(in); head != null; head = Http.head(in)) {
				byte[] body = Http.body(in, head);
				handle(head, body, channel);
				channel.out.flush();
				if (head.closes()) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The caller or this server has closed the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	private void handle(Http.Head head, byte[] body, Channel channel) throws IOException, InterruptedException {
		String path = head.line().split(" ")[1];
		String expected = head.header(Wire.name("header.expected"));
		if (!expected.isEmpty() && !expected.equals(this.id)) {
			plain(channel, head, "421 Misdirected Request", Wire.name("header.notRun") + ": 1\r\n", "");
		}
		else if (path.equals(Wire.name("path.report"))) {
			plain(channel, head, "200 OK", "Content-Type: application/json\r\n", report());
		}
		else if (path.equals(Wire.name("path.order"))) {
			JsonNode order = JSON.readTree(body);
			String outcome = order(order);
			this.log.add("server " + this.id + " answers " + outcome + " to the order " + order);
			plain(channel, head, outcome, "Content-Type: application/json\r\n", "{}");
		}
		else {
			request(head, channel);
		}
	}

	private synchronized String report() throws IOException {
		Map<String, Object> report = new HashMap<>(
				Map.of("busy", false, "sequence", this.sequence, "queued", Math.max(0, this.present.get() - this.slots),
						"running", Math.min(this.slots, this.present.get()), "kv_used", 0, "kv_total", 1_312_941,
						"handles", 0, "pace", 1.0));
		addState(report);
		return JSON.writeValueAsString(report);
	}

	private synchronized String order(JsonNode order) {
		String conflict = "409 Conflict";
		if (order.has("expected") && order.path("expected").asLong() != this.sequence) {
			return conflict;
		}
		String operation = order.path("operation").asText();
		boolean own = order.path("group").asText().equals(this.group.get("name"))
				&& Long.valueOf(order.path("epoch").asLong()).equals(this.group.get("epoch"));
		String groupState = String.valueOf(this.group.get("state"));
		switch (operation) {
			case "stage" -> {
				String wanted = order.path("model").asText();
				if (this.staged.contains(wanted)) {
					return "200 OK";
				}
				later(STAGE_MILLIS, () -> {
					this.staged.clear();
					this.staged.add(wanted);
				});
			}
			case "join" -> {
				if (own) {
					return "200 OK";
				}
				joining(order);
				this.model = order.path("model").asText();
				int rank = 0;
				while (!order.path("members").path(rank).asText().equals(this.id)) {
					rank++;
				}
				setGroup(order, rank, "joining");
				Map<String, Object> joined = this.group;
				later(JOIN_MILLIS, () -> {
					if (this.group.equals(joined)) {
						setState("ready");
					}
				});
			}
			case "open" -> {
				if (!own || !groupState.equals("ready")) {
					return (own && groupState.equals("open")) ? "200 OK" : conflict;
				}
				Map<String, Object> opened = this.group;
				later(FORM_MILLIS, () -> {
					if (this.group.equals(opened)) {
						setState("open");
					}
				});
			}
			case "close" -> {
				if (!own || !groupState.equals("open")) {
					return own ? "200 OK" : conflict;
				}
				setState("ready");
			}
			case "leave" -> {
				if (!own) {
					return conflict;
				}
				this.group = Map.of();
			}
			default -> {
				return "400 Bad Request";
			}
		}
		this.sequence++;
		beat();
		return "202 Accepted";
	}

	private void setGroup(JsonNode order, int rank, String groupState) {
		this.group = Map.of("name", order.path("group").asText(), "epoch", order.path("epoch").asLong(), "rank", rank,
				"state", groupState);
	}

	private void setState(String groupState) {
		Map<String, Object> changed = new HashMap<>(this.group);
		changed.put("state", groupState);
		this.group = Map.copyOf(changed);
	}

	private void later(long millis, Runnable change) {
		this.timer.schedule(() -> {
			synchronized (this) {
				change.run();
				beat();
			}
		}, millis, TimeUnit.MILLISECONDS);
	}

	private void request(Http.Head head, Channel channel) throws IOException, InterruptedException {
		String request = head.header(Wire.name("header.request"));
		if (!serving()) {
			plain(channel, head, "503 Service Unavailable", Wire.name("header.notRun") + ": 1\r\n", "");
			return;
		}
		if (this.present.incrementAndGet() > this.slots + this.queue) {
			this.present.decrementAndGet();
			rejected(request);
			plain(channel, head, "503 Service Unavailable", Wire.name("header.notRun") + ": 1\r\n", "");
			return;
		}
		try {
			if (!this.places.tryAcquire(QUEUE_WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
				plain(channel, head, "503 Service Unavailable", Wire.name("header.notRun") + ": 1\r\n", "");
				return;
			}
			try {
				stream(head, request, channel);
			}
			finally {
				this.places.release();
			}
		}
		finally {
			this.present.decrementAndGet();
		}
	}

	private void stream(Http.Head head, String request, Channel channel) throws IOException, InterruptedException {
		// A request runs once its first token is made.
		Thread.sleep(this.eventMillis);
		ran(request);
		beforeAnswer(channel);
		channel.out.write((answerHead(request, "200 OK")
				+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		String last = head.header(Wire.name("header.lastEvent"));
		int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
		for (int event = first; event <= this.events; event++) {
			byte[] bytes = ("id: " + event + "\ndata: " + request + " " + event + "\n\n")
				.getBytes(StandardCharsets.ISO_8859_1);
			channel.out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
			channel.out.write(bytes);
			channel.out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
			channel.out.flush();
			if (event < this.events) {
				Thread.sleep(this.eventMillis);
			}
		}
		channel.out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
	}

	private String answerHead(String request, String status) {
		int now = this.present.get();
		return String.format(Locale.ROOT, "HTTP/1.1 %s\r\n%s: %s\r\n%s: %s.%x\r\n%s: %d,%d,%d\r\n", status,
				Wire.name("header.request"), request, Wire.name("header.seal"), this.id, request.hashCode(),
				Wire.name("header.load"), Math.min(this.slots, now), Math.max(0, now - this.slots), this.slots);
	}

	private void plain(Channel channel, Http.Head head, String status, String more, String content) throws IOException {
		beforeAnswer(channel);
		byte[] answer = (answerHead(head.header(Wire.name("header.request")), status) + more + "Content-Length: "
				+ content.length() + "\r\n\r\n" + content).getBytes(StandardCharsets.ISO_8859_1);
		channel.out.write(answer);
		afterAnswer(channel, status, answer);
	}

	/** Returns the membership that it has now, empty without one. */
	public Map<String, Object> group() {
		return this.group;
	}

	/** Called before a join replaces the membership. */
	protected void joining(JsonNode order) {
		// Only some cases look at joins.
	}

	/** Called when a request begins to run. */
	protected void ran(String request) {
		this.log.add("server " + this.id + " runs " + request);
	}

	/** Called when a request is rejected because the server is full. */
	protected void rejected(String request) {
		this.log.add("server " + this.id + " is full and rejects " + request);
	}

	/** Called before an answer is written. */
	protected void beforeAnswer(Channel channel) throws IOException {
		// Sound servers write nothing else.
	}

	/** Called after an answer with a length was written. */
	protected void afterAnswer(Channel channel, String status, byte[] answer) throws IOException {
		// Sound servers write nothing else.
	}

	@Override
	public void close() {
		try {
			this.listener.close();
			for (Socket socket : this.sockets) {
				socket.close();
			}
		}
		catch (IOException ex) {
			this.log.add("server " + this.id + ": " + ex.getMessage());
		}
		this.threads.shutdownNow();
		this.timer.shutdownNow();
	}

	/** A connection of this server. */
	protected static final class Channel {

		OutputStream out;

		/** A copy of an answer, which follows late. */
		byte[] lateCopy;

	}

}
