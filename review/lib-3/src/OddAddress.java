import java.io.IOException;
import java.nio.file.Files;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Another writer leaves one entry among those of the servers whose address is no address,
 * and the operator adds a route a second later.
 */
final class OddAddress {

	private static final long CONFIG_APPLY_MILLIS = 2000;

	private static final long WATCHED_MILLIS = 15_000;

	/** The entry stays below value_bytes, 1,048,576. */
	private static final int ADDRESS_LENGTH = 500_000;

	private static int stale;

	private OddAddress() {
	}

	// Returns the status of a request on a route.
	private static int ask(Gateway gateway, String prefix, String id) throws IOException {
		try (Caller caller = new Caller(gateway)) {
			caller.send("GET", prefix + "stock", id, Map.of(Wire.name("header.deadline"), "1500"), null);
			Http answer = caller.receive();
			return (answer != null) ? answer.status() : 0;
		}
	}

	public static void main(String[] arguments) {
		Deployment.play(() -> {
			String config = Files.readString(Wire.LIB.resolve("booking.json"));
			Deployment deployment = new Deployment().configure(config);
			for (int i = 0; i < 3; i++) {
				deployment.server("s" + i, "desk", i, Deployment.working("s" + i, 20));
			}
			deployment.beat();
			deployment.gateway(1);
			deployment.gateway(2);
			// Past the time in which a machine counts as just started.
			Wire.sleep(5000);
			Map<String, Object> odd = new HashMap<>(deployment.servers.get(0).record);
			odd.put("sequence", 1);
			odd.put("address", ":".repeat(Deployment.trouble() ? ADDRESS_LENGTH : 10) + "none:80");
			deployment.store.put(Wire.name("key.server") + "odd", odd);
			Record.line("another writer leaves an entry of %d bytes", Wire.bytes(odd).length);
			Wire.sleep(1000);
			deployment.configure(config.replace("\"version\":1", "\"version\":2")
				.replace("\"routes\":[", "\"routes\":[{\"name\":\"new\",\"host\":\"h.example\",\"prefix\":\"/new/\","
						+ "\"service\":\"desk\",\"kind\":\"safe\",\"timeout_ms\":800,\"target_latency_ms\":141,"
						+ "\"priority\":2,\"public\":true},"));
			long acknowledged = Wire.now();
			Record.line("the store has acknowledged version 2, which adds a route");
			for (int i = 0; Wire.now() - acknowledged < WATCHED_MILLIS; i++) {
				for (Gateway gateway : List.copyOf(deployment.gateways)) {
					long sent = Wire.now() - acknowledged;
					int known = ask(gateway, "/look/", "look-" + gateway.name + "-" + i);
					int added = ask(gateway, "/new/", "new-" + gateway.name + "-" + i);
					Record.line("%s, %d ms after the acknowledgement: %d on the old route, %d on the new one",
							gateway.name, sent, known, added);
					if (sent > CONFIG_APPLY_MILLIS && added == 404) {
						stale++;
					}
				}
				Wire.sleep(500);
			}
			Record.line("%d requests on the new route were refused with 404 later than %d ms", stale,
					CONFIG_APPLY_MILLIS);
			return stale > 0;
		});
	}

}
