package org.monsoonvalve.review;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The heads of two groups are partitioned from the store, while requests and orders still reach them, and the process
 * that plans the groups is killed and started again meanwhile.
 */
public final class ReleasedMembersCase {

	private static final int SERVERS = 10;

	private static final int GROUP_SIZE = 2;

	/** A share of 0.2 of the servers. */
	private static final int CUT_SERVERS = 2;

	private static final long HEARTBEAT_MILLIS = 1200;

	/** Largest dose of the partition at the site. */
	private static final long CUT_MILLIS = 10_000;

	/** The platform starts a process that was killed again after a short delay. */
	private static final long RESTART_MILLIS = 400;

	private ReleasedMembersCase() {
	}

	public static void main(String[] arguments) throws IOException {
		Case.run(arguments, ReleasedMembersCase::play);
	}

	private static List<String> play(Case run) throws IOException {
		String ip = Ports.ip(100);
		Store store = new Store(ip, Ports.free(ip));
		store.start();
		store.put(Wire.name("key.configuration"),
				new Configuration().route("draft", "/draft/", "streaming", "grass-llm", 8000).version(1, GROUP_SIZE));
		Map<String, ModelServer> fleet = new ConcurrentHashMap<>();
		for (int i = 1; i <= SERVERS; i++) {
			ModelServer server = new ModelServer(ip, Ports.free(ip), store, "i-" + i, run.record(), fleet);
			server.start();
			server.register();
		}
		String own = Ports.ip(101);
		Gateway gateway = run.startGateway("edge-kano-a-1", own, store.address());
		run.awaitReady(gateway);
		ModelServer.awaitGroups(fleet, SERVERS / GROUP_SIZE);
		Threads.sleep(2000);
		List<ModelServer> heads = fleet.values().stream().filter(ModelServer::serving).limit(CUT_SERVERS).toList();
		heads.forEach((head) -> run.record().line("%s is the head of the group of %s", head.id(), head.members()));
		Threads.run(() -> {
			for (int i = 1; true; i++) {
				int number = i;
				Threads.run(() -> Client.stream(run.record(), Gateway.latest().front(), "draft-" + number));
				Thread.sleep(400);
			}
		});
		Threads.sleep(1000);
		if (run.trouble()) {
			long lastBeat = awaitBeat(heads.get(0));
			Threads.sleep(lastBeat + HEARTBEAT_MILLIS - 100 - System.currentTimeMillis());
			heads.forEach((head) -> head.cutFromStore(true));
			long cut = System.currentTimeMillis();
			run.record().line("the heads are partitioned from the store");
			Threads.sleep(lastBeat + 3 * HEARTBEAT_MILLIS - 600 - System.currentTimeMillis());
			gateway.kill();
			run.record().line("edge-kano-a-1 is killed");
			Threads.sleep(RESTART_MILLIS);
			run.restartGateway(gateway, "edge-kano-a-1", store.address());
			Threads.sleep(cut + CUT_MILLIS - System.currentTimeMillis());
			heads.forEach((head) -> head.cutFromStore(false));
			run.record().line("the partition has healed");
		}
		Threads.sleep(8000);
		return fleet.values()
			.stream()
			.flatMap((server) -> server.violations().stream())
			.map((violation) -> "TWO: " + violation)
			.toList();
	}

	private static long awaitBeat(ModelServer server) {
		long before = server.lastBeatMillis();
		while (server.lastBeatMillis() == before) {
			Threads.sleep(5);
		}
		return server.lastBeatMillis();
	}

}
