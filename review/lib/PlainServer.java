package org.monsoonvalve.review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;

/** A sound server of the booking service; the hook lets a case change what it sends. */
class PlainServer extends Standin {

	private static final long HEARTBEAT_MILLIS = 1200;

	private static final int SLOTS = 6;

	private static final int QUEUE = 24;

	private final Store store;

	private final String id;

	private final Record record;

	private final long workMillis;

	private final Semaphore places = new Semaphore(SLOTS + QUEUE);

	private final Semaphore slots = new Semaphore(SLOTS, true);

	private final Queue<String> runs = new ConcurrentLinkedQueue<>();

	private final long bornMillis = System.currentTimeMillis();

	private volatile boolean registered;

	private volatile String state = "ready";

	private long sequence;

	PlainServer(String ip, int port, Store store, String id, Record record, long workMillis) throws IOException {
		super(ip, port);
		this.store = store;
		this.id = id;
		this.record = record;
		this.workMillis = workMillis;
	}

	void register() {
		this.registered = true;
		Threads.run(() -> {
			while (this.registered) {
				beat();
				Thread.sleep(HEARTBEAT_MILLIS);
			}
		});
	}

	private synchronized void beat() {
		this.store.put(Wire.name("key.servers") + this.id,
				Wire.template("entry.json",
						Map.of("SERVICE", "depot-app", "ADDRESS", address(), "SLOTS", SLOTS, "STATE", this.state,
								"BORN", this.bornMillis, "MODELS", "", "STAGED", "", "SEQUENCE", ++this.sequence,
								"GROUP", "")));
	}

	/** Reports that it leaves; returns the time of the acknowledgement. */
	long drain() {
		this.state = "draining";
		beat();
		return System.currentTimeMillis();
	}

	String id() {
		return this.id;
	}

	Queue<String> runs() {
		return this.runs;
	}

	@Override
	void handle(Http.Message request, Caller caller) throws IOException {
		String attempt = request.header(Wire.name("header.request"));
		String expected = request.header(Wire.name("header.expected"));
		if (!expected.isEmpty() && !expected.equals(this.id)) {
			caller.reply(421, new byte[0], Wire.name("header.request"), attempt, Wire.name("header.instance"),
					this.id);
			return;
		}
		if (request.path().equals("/healthz")) {
			caller.reply("ready".equals(this.state) ? 200 : 503, new byte[0], Wire.name("header.instance"), this.id);
			return;
		}
		if (!this.places.tryAcquire()) {
			caller.reply(503, new byte[0], Wire.name("header.request"), attempt, Wire.name("header.notRun"), "1");
			return;
		}
		try {
			this.slots.acquireUninterruptibly();
			try {
				this.runs.add(attempt);
				this.record.line("%s runs %s: %s, %d bytes", this.id, attempt, request.startLine(),
						request.body().length);
				run(request, caller, attempt);
			}
			finally {
				this.slots.release();
			}
		}
		finally {
			this.places.release();
		}
	}

	/** Works and answers. */
	void run(Http.Message request, Caller caller, String attempt) throws IOException {
		Threads.sleep(this.workMillis);
		caller.reply(200, body(attempt), headers(attempt));
	}

	byte[] body(String attempt) {
		return ("answer of " + this.id + " to " + attempt + "\n").getBytes(StandardCharsets.US_ASCII);
	}

	String[] headers(String attempt) {
		return new String[] { Wire.name("header.request"), attempt, Wire.name("header.seal"), "seal-" + attempt,
				Wire.name("header.load"), (SLOTS - this.slots.availablePermits()) + ",0," + SLOTS };
	}

}
