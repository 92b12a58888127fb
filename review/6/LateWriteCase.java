package org.monsoonvalve.review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A member of a group loses the path to the store for a short time. The store does the
 * write that dissolves the group without an answer, and late, when the member is back.
 */
public final class LateWriteCase {

	private static final int GATEWAYS = 2;

	private static final int SERVERS = 5;

	/** Time without a record; the cut itself lasts three heartbeats more. */
	private static final long RECORD_MISSING_MILLIS = 1300;

	/** A write without an answer is done 1 to 6 s later. */
	private static final long LATE_MILLIS = 4500;

	private static final long SETTLE_MILLIS = 10_000;

	private final Log log;

	private final List<Server> servers = new ArrayList<>();

	private final List<String> broken = new CopyOnWriteArrayList<>();

	private LateWriteCase(Log log) {
		this.log = log;
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		try (Log log = Log.to(Path.of("review", "6", "record.txt"))) {
			status = new LateWriteCase(log).run(trouble);
		}
		catch (Exception ex) {
			System.out.println("can't run: " + ex);
		}
		System.exit(status);
	}

	private int run(boolean trouble) throws Exception {
		Path folder = Files.createTempDirectory("review-6");
		List<GatewayProgram> gateways = new ArrayList<>();
		StoreServer store = StoreServer.start("127.0.0.1");
		try {
			store.put(Wire.name("key.configuration"), Wire.template(Path.of("review", "6", "configuration.json")));
			for (int i = 1; i <= SERVERS; i++) {
				Server server = new Server("i-grass-" + i, store);
				server.start();
				this.servers.add(server);
			}
			for (int i = 1; i <= GATEWAYS; i++) {
				gateways.add(GatewayProgram.start("edge-kano-a-" + i, "kano-a", store.address(), folder));
			}
			for (GatewayProgram gateway : gateways) {
				gateway.awaitReady(20_000);
			}
			long end = this.log.millis() + 40_000;
			while (this.servers.stream().filter(ModelServer::serving).count() < 2) {
				if (this.log.millis() > end) {
					throw new IOException("the groups don't form");
				}
				Thread.sleep(100);
			}
			Thread.sleep(8000);
			Server head = this.servers.stream().filter(ModelServer::serving).findFirst().get();
			Server member = this.servers.stream()
				.filter((server) -> server != head && sameGroup(server.group(), head.group()))
				.findFirst()
				.get();
			this.log.print("group " + head.group().get("name") + " serves with the head " + head.id()
					+ " and the member " + member.id());
			if (trouble) {
				store.loseAnswers(1, LATE_MILLIS, this.log);
				this.log.print("the record of " + member.id() + " is gone");
				member.cutFromStore(true);
				Thread.sleep(RECORD_MISSING_MILLIS);
				this.log.print("the record of " + member.id() + " is back");
				member.cutFromStore(false);
			}
			Thread.sleep(SETTLE_MILLIS);
			this.broken.forEach(this.log::print);
			this.log.print(this.broken.isEmpty() ? "TWO holds" : "TWO is broken");
			return this.broken.isEmpty() ? 0 : 1;
		}
		finally {
			gateways.forEach(GatewayProgram::close);
			this.servers.forEach(ModelServer::close);
			store.close();
		}
	}

	private static boolean sameGroup(Map<String, Object> first, Map<String, Object> second) {
		return !first.isEmpty() && Objects.equals(first.get("name"), second.get("name"))
				&& Objects.equals(first.get("epoch"), second.get("epoch"));
	}

	private final class Server extends ModelServer {

		private Server(String id, StoreServer store) throws IOException {
			super(id, "grass", "kano-a", "127.0.0.1", 12, 4, store, LateWriteCase.this.log);
		}

		// The membership is that before the join.
		@Override
		protected void joining(JsonNode order) {
			LateWriteCase.this.servers.stream()
				.filter((server) -> sameGroup(server.group(), group()) && Objects.equals(server.group().get("rank"), 0)
						&& Set.of("open", "closing").contains(String.valueOf(server.group().get("state"))))
				.forEach((head) -> LateWriteCase.this.broken.add("TWO: " + id() + " takes the join of group "
						+ order.path("group").asText() + " while " + head.id() + ", the head of its group "
						+ group().get("name") + ", is " + head.group().get("state")));
		}

	}

}
