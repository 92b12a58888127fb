import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * A few clients send requests with the largest body that the configuration allows, one
 * after the other, beside clients with small requests.
 */
final class LargeBodies {

	private static final int LARGE_CLIENTS = 2;

	private static final int SMALL_CLIENTS = 12;

	/** As max_body_bytes in the configuration. */
	private static final int LARGE_BYTES = 4_194_304;

	private static final int SMALL_BYTES = 600;

	private static final int MAX_LARGE_REQUESTS = 100;

	private static final int ROUNDS = 3;

	private static final long MAX_ROUND_MILLIS = 15_000;

	private static final long WORK_MILLIS = 86;

	private static final Set<String> STARTED = ConcurrentHashMap.newKeySet();

	private static final AtomicInteger LOST = new AtomicInteger();

	private static final AtomicInteger ANSWERED = new AtomicInteger();

	private LargeBodies() {
	}

	// Sends requests on one connection until it ends.
	private static void client(Gateway gateway, String name, String body, int requests, AtomicBoolean ended) {
		String id = name;
		try (Caller caller = new Caller(gateway)) {
			for (int i = 0; i < requests && !ended.get(); i++) {
				id = name + "-" + i;
				caller.send("POST", "/book/lorry", id, Map.of(Wire.name("header.deadline"), "4000"), body);
				Http answer = caller.receive();
				if (answer == null || !answer.complete) {
					lost(id, i, "the connection ended");
					return;
				}
				ANSWERED.incrementAndGet();
				if (answer.status() != 200) {
					Record.line("client gets %s for %s", answer.startLine, id);
				}
			}
		}
		catch (IOException ex) {
			lost(id, 1, ex.toString());
		}
	}

	// A request of a kept connection that was passed on to a server.
	private static void lost(String id, int earlier, String reason) {
		boolean passedOn = STARTED.contains(id);
		Record.line("client has no answer for %s (a server runs it: %s): %s", id, passedOn, reason);
		if (passedOn && earlier > 0) {
			LOST.incrementAndGet();
		}
	}

	public static void main(String[] arguments) {
		Deployment.play(() -> {
			Deployment deployment = new Deployment().configure(Files.readString(Wire.LIB.resolve("planting.json")));
			for (int i = 0; i < 3; i++) {
				String name = "s" + i;
				deployment.server(name, "desk", i, (request, out, socket) -> {
					STARTED.add(request.field(Wire.name("header.id")));
					Wire.sleep(request.body.length > SMALL_BYTES ? 10 : WORK_MILLIS);
					Backend.answer(out, 200, request, Map.of(Wire.name("header.seal"), "seal-" + name,
							Wire.name("header.load"), "1,0," + Deployment.SLOTS), "done");
					return true;
				});
			}
			deployment.beat();
			Gateway gateway = deployment.gateway(1);
			int ends = 0;
			for (int round = 1; round <= ROUNDS; round++) {
				ends += round(gateway, round) ? 1 : 0;
			}
			Record.line("%d answered; the gateway ended by itself %d times; %d requests of kept connections were passed "
					+ "on to a server and not answered", ANSWERED.get(), ends, LOST.get());
			return LOST.get() > 3;
		});
	}

	// Returns whether the gateway ended by itself, after which it is started again, as the
	// platform does.
	private static boolean round(Gateway gateway, int round) throws IOException {
		AtomicBoolean ended = new AtomicBoolean();
		String small = "b".repeat(SMALL_BYTES);
		IntStream.range(0, SMALL_CLIENTS)
			.forEach((i) -> Backend
				.thread(() -> client(gateway, "small-" + round + "-" + i, small, Integer.MAX_VALUE, ended)));
		// Past the time in which a machine counts as just started.
		Wire.sleep(4000);
		String large = Deployment.trouble() ? "b".repeat(LARGE_BYTES) : small;
		Record.line("%d clients send bodies of %d bytes", LARGE_CLIENTS, large.length());
		List<Thread> uploads = IntStream.range(0, LARGE_CLIENTS)
			.mapToObj((i) -> new Thread(
					() -> client(gateway, "large-" + round + "-" + i, large, MAX_LARGE_REQUESTS, ended)))
			.toList();
		long start = Wire.now();
		uploads.forEach(Thread::start);
		while (Wire.now() - start < MAX_ROUND_MILLIS && gateway.process.isAlive()
				&& uploads.stream().anyMatch(Thread::isAlive)) {
			Wire.sleep(50);
		}
		Wire.sleep(500);
		ended.set(true);
		Wire.sleep(500);
		if (gateway.process.isAlive()) {
			return false;
		}
		Record.line("the gateway ended by itself with status %d: %s", gateway.process.exitValue(), lastLine(gateway));
		gateway.run();
		if (!gateway.awaitReady(30_000)) {
			throw new IOException("the gateway is not ready again");
		}
		return true;
	}

	private static String lastLine(Gateway gateway) throws IOException {
		List<String> lines = Files.readAllLines(gateway.directory.resolve("log.txt"));
		return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
	}

}
