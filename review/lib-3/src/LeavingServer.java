import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server is taken away while it is partitioned from the store. It says that it leaves
 * in all its answers, as it can't report it to the store.
 */
final class LeavingServer {

	private static final long DRAIN_MILLIS = 2000;

	private static final long HEARTBEAT_MILLIS = 1200;

	private static final int CLIENTS = 8;

	private static final Map<String, Long> SENT = new ConcurrentHashMap<>();

	private static final Map<Gateway, Long> TOLD = new ConcurrentHashMap<>();

	private static final AtomicInteger LATE = new AtomicInteger();

	private static volatile boolean leaving;

	private LeavingServer() {
	}

	private static void client(Deployment deployment, int number, AtomicBoolean ended) {
		Gateway gateway = deployment.gateways.get(number % deployment.gateways.size());
		for (int i = 0; !ended.get(); i++) {
			String id = gateway.name + "-" + number + "-" + i;
			try (Caller caller = new Caller(gateway)) {
				SENT.put(id, Wire.now());
				caller.send("POST", "/book/lorry", id, Map.of(Wire.name("header.deadline"), "1500"), "one lorry");
				Http answer = caller.receive();
				if (answer != null && answer.field(Wire.name("header.leaving")) != null
						&& TOLD.putIfAbsent(gateway, Wire.now()) == null) {
					Record.line("%s has passed on an answer that says that the server leaves", gateway.name);
				}
				if (answer == null || answer.status() != 200) {
					Record.line("client gets %s for %s", (answer != null) ? answer.startLine : "no answer", id);
				}
			}
			catch (IOException ex) {
				Record.line("client gets no answer for %s: %s", id, ex);
			}
			Wire.sleep(30);
		}
	}

	private static void runs(String id, Deployment deployment) {
		deployment.gateways.stream().filter((gateway) -> id.startsWith(gateway.name + "-")).forEach((gateway) -> {
			Long told = TOLD.get(gateway);
			if (told != null && SENT.get(id) > told + DRAIN_MILLIS) {
				LATE.incrementAndGet();
				Record.line("the leaving server runs %s, sent %d ms after that", id, SENT.get(id) - told);
			}
		});
	}

	public static void main(String[] arguments) {
		Deployment.play(() -> {
			Deployment deployment = new Deployment().configure(Files.readString(Wire.LIB.resolve("booking.json")));
			Backend leaver = deployment.server("s0", "desk", 0, (request, out, socket) -> {
				runs(request.field(Wire.name("header.id")), deployment);
				Wire.sleep(20);
				String load = "1,0," + Deployment.SLOTS;
				Backend.answer(out, 200, request,
						leaving ? Map.of(Wire.name("header.seal"), "seal-s0", Wire.name("header.load"), load,
								Wire.name("header.leaving"), "1")
								: Map.of(Wire.name("header.seal"), "seal-s0", Wire.name("header.load"), load),
						"done");
				return true;
			});
			deployment.server("s1", "desk", 1, Deployment.working("s1", 20));
			deployment.server("s2", "desk", 2, Deployment.working("s2", 20));
			deployment.beat();
			deployment.gateway(1);
			deployment.gateway(2);
			AtomicBoolean ended = new AtomicBoolean();
			for (int i = 0; i < CLIENTS; i++) {
				int number = i;
				Backend.thread(() -> client(deployment, number, ended));
			}
			Wire.sleep(5000);
			if (Deployment.trouble()) {
				// Its last heartbeat was before the partition began.
				leaver.register();
				leaver.registered = false;
				Backend.thread(() -> {
					Wire.sleep(3 * HEARTBEAT_MILLIS);
					Record.line("the store removes the record of s0");
					leaver.deregister();
				});
				Record.line("s0 is partitioned from the store");
			}
			else {
				leaver.record.put("state", "draining");
				leaver.register();
				Record.line("s0 reports that it leaves");
			}
			leaving = true;
			Record.line("s0 says so in all its answers");
			Wire.sleep(6000);
			ended.set(true);
			Wire.sleep(500);
			Record.line("%d requests reached s0 later than %d ms after their gateway had passed that on", LATE.get(),
					DRAIN_MILLIS);
			if (TOLD.isEmpty() && Deployment.trouble()) {
				throw new IOException("no answer said that the server leaves");
			}
			return LATE.get() > 0;
		});
	}

}
