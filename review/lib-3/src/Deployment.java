import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A small deployment of one zone: a store, plain servers of one service and gateways. */
final class Deployment {

	static final int SLOTS = 6;

	final Store store = new Store();

	final List<Backend> servers = new ArrayList<>();

	final List<Gateway> gateways = new ArrayList<>();

	static boolean trouble() {
		return !"0".equals(System.getenv("TROUBLE"));
	}

	static void openRecord() throws IOException {
		Record.open(Path.of(System.getProperty("record")));
	}

	/** Each gateway reaches the store at an address of its own. */
	static String storeAddress(int gateway) {
		return Wire.host(100 + gateway) + ":18082";
	}

	Deployment configure(String config) throws IOException {
		this.store.put(Wire.name("key.config"), Wire.json(config.getBytes()));
		return this;
	}

	Backend server(String id, String service, int number, Backend.Handler handler) throws IOException {
		Backend server = new Backend(this.store, id, service, Wire.host(200), 18100 + number, SLOTS, handler);
		server.register();
		this.servers.add(server);
		return server;
	}

	Gateway gateway(int number) throws IOException {
		this.store.listen(Wire.host(100 + number), 18082);
		Gateway gateway = Gateway.start("edge-" + number, Wire.host(number), "z1", storeAddress(number));
		this.gateways.add(gateway);
		if (!gateway.awaitReady(30_000)) {
			throw new IOException("the gateway is not ready");
		}
		return gateway;
	}

	/** Servers beat every 1.2 s. */
	void beat() {
		Backend.thread(() -> {
			while (true) {
				Wire.sleep(1200);
				this.servers.stream().filter((server) -> server.registered).forEach(Backend::register);
			}
		});
	}

	/** Answers with success after some work. */
	static Backend.Handler working(String server, long workMillis) {
		return (request, out, socket) -> {
			Record.line("server %s runs %s", server, request.field(Wire.name("header.id")));
			Wire.sleep(workMillis);
			Backend.answer(out, 200, request, Map.of(Wire.name("header.seal"), "seal-" + server,
					Wire.name("header.load"), "1,0," + SLOTS), "done by " + server);
			return true;
		};
	}

	interface Case {

		// Returns whether the rule was broken.
		boolean run() throws Exception;

	}

	static void play(Case played) {
		int code = 2;
		try {
			openRecord();
			Record.line("trouble: %s", trouble());
			code = played.run() ? 1 : 0;
		}
		catch (Exception ex) {
			Record.line("the case could not run: %s", ex);
			ex.printStackTrace();
		}
		finally {
			Gateway.endAll();
			Record.line("result: %d", code);
		}
		System.exit(code);
	}

}
