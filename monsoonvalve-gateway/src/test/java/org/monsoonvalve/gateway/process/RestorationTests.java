package org.monsoonvalve.gateway.process;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StorePosition;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The replicas of a fleet in simulated time, through random histories of writes,
 * restorations, late answers, restarts and partitions.
 */
public class RestorationTests {

	private static final int STEPS = 600;

	private static final long STEP_MILLIS = 100;

	private static final DecisionLog LOG = DecisionLog.start(Clock.systemUTC(), "gateway-1", (line) -> {
	});

	@DataProvider
	public Object[][] fleets() {
		return new Object[][] { { 8, 1 }, { 8, 2 }, { 8, 3 }, { 8, 4 }, { 65, 5 }, { 95, 6 } };
	}

	@Test(dataProvider = "fleets")
	public void noConfigurationRevertsAndAllReplicasEndWithTheContentOfTheStore(int size, int seed) {
		Fleet fleet = new Fleet(size, seed);
		for (int step = 0; step < STEPS; step++) {
			fleet.step();
		}
		fleet.settle();
	}

	private static long version(Optional<PlatformStore.Entry> configuration) {
		return configuration.map((entry) -> new String(entry.value(), StandardCharsets.UTF_8).substring(1))
			.map(Long::parseLong)
			.orElse(0L);
	}

	private static final class Fleet {

		private final Random random;

		private final List<StoreReplica> replicas = new ArrayList<>();

		private final List<Long> versions = new ArrayList<>();

		private final Deque<Runnable> lateAnswers = new ArrayDeque<>();

		private final List<PlatformStore.Snapshot> copies = new ArrayList<>();

		private final Set<Integer> partitioned = new HashSet<>();

		private final Map<String, Integer> sequences = new HashMap<>();

		private PlatformStore.Snapshot store = new PlatformStore.Snapshot(new StorePosition(1, 1), List.of());

		private long operatorVersion;

		private long nowMillis;

		private Fleet(int size, int seed) {
			this.random = new Random(seed);
			for (int i = 0; i < size; i++) {
				this.replicas.add(newReplica());
				this.versions.add(0L);
			}
			write("config", "c" + ++this.operatorVersion);
		}

		private static StoreReplica newReplica() {
			return new StoreReplica(new RecordRetention(new TextDecoder(), LOG));
		}

		private void write(String key, String value) {
			StorePosition position = this.store.position().at(this.store.revision() + 1);
			List<PlatformStore.Entry> entries = new ArrayList<>(this.store.entries());
			entries.removeIf((entry) -> entry.key().equals(key));
			if (value != null) {
				entries.add(new PlatformStore.Entry(key, position, value.getBytes(StandardCharsets.UTF_8)));
			}
			this.store = new PlatformStore.Snapshot(position, List.copyOf(entries));
		}

		private void writeEndpoint() {
			String key = "endpoints/vm-" + this.random.nextInt(20);
			boolean leaves = this.random.nextInt(3) == 0;
			write(key, leaves ? null : "e" + this.sequences.merge(key, 1, Integer::sum));
		}

		// What the copy lacks is written again by its writers before the next
		// restoration.
		private void restore() {
			PlatformStore.Snapshot copy = this.copies.get(this.random.nextInt(this.copies.size()));
			PlatformStore.Snapshot lost = this.store;
			StorePosition position = new StorePosition(this.store.position().era() + 1, copy.revision());
			this.store = new PlatformStore.Snapshot(position, copy.entries()
				.stream()
				.map((entry) -> new PlatformStore.Entry(entry.key(), position.at(entry.revision()), entry.value()))
				.toList());
			this.copies.clear();
			if (this.random.nextBoolean()) {
				lost.entries()
					.forEach((entry) -> write(entry.key(), new String(entry.value(), StandardCharsets.UTF_8)));
			}
		}

		private void step() {
			this.nowMillis += STEP_MILLIS;
			this.copies.add(this.store);
			switch (this.random.nextInt(20)) {
				case 0 -> write("config", "c" + ++this.operatorVersion);
				case 1 -> restore();
				case 2, 3, 4 -> writeEndpoint();
				case 5 -> restart(this.random.nextInt(this.replicas.size()));
				default -> {
					// Replicas only follow.
				}
			}
			for (int i = 0; i < this.replicas.size(); i++) {
				if (this.random.nextInt(10) == 0 && !this.partitioned.remove(i)) {
					this.partitioned.add(i);
				}
				follow(i);
				checkVersion(i);
			}
		}

		private void restart(int process) {
			this.replicas.set(process, newReplica());
			this.versions.set(process, 0L);
		}

		private void follow(int process) {
			StoreReplica replica = this.replicas.get(process);
			PlatformStore.Snapshot answer = this.store;
			switch (this.random.nextInt(6)) {
				case 0 -> this.lateAnswers.add(() -> replica.reset(answer, this.nowMillis));
				case 1 -> {
					if (!this.lateAnswers.isEmpty()) {
						this.lateAnswers.poll().run();
					}
				}
				case 2 -> takeFrom(this.replicas.get(this.random.nextInt(this.replicas.size())), replica);
				case 3 -> {
					if (!this.partitioned.contains(process)) {
						replica.reset(answer, this.nowMillis);
					}
				}
				default -> replica.expireRetained(this.nowMillis);
			}
		}

		private void takeFrom(StoreReplica peer, StoreReplica replica) {
			if (peer.position().isAfter(replica.position())) {
				peer.changesAfter(replica.position())
					.ifPresentOrElse((changes) -> replica.apply(changes, this.nowMillis),
							() -> replica.reset(
									new PlatformStore.Snapshot(peer.position(), List.copyOf(peer.storedEntries())),
									this.nowMillis));
			}
			if (!peer.position().precedesEraOf(replica.position())) {
				peer.retainedForPeers().forEach(replica::retainFromPeer);
			}
		}

		private void checkVersion(int process) {
			long version = version(this.replicas.get(process).entry("config"));
			Assert.assertTrue(version >= this.versions.get(process),
					"process " + process + " went from configuration " + this.versions.get(process) + " to " + version);
			this.versions.set(process, version);
		}

		private void settle() {
			this.lateAnswers.forEach(Runnable::run);
			write("config", "c" + ++this.operatorVersion);
			Map<String, String> expected = new HashMap<>();
			this.store.entries()
				.forEach((entry) -> expected.put(entry.key(), new String(entry.value(), StandardCharsets.UTF_8)));
			for (StoreReplica replica : this.replicas) {
				replica.reset(this.store, this.nowMillis);
				replica.expireRetained(this.nowMillis + 60_000);
				Map<String, String> content = new HashMap<>();
				expected.keySet()
					.forEach((key) -> replica.entry(key)
						.ifPresent((entry) -> content.put(key, new String(entry.value(), StandardCharsets.UTF_8))));
				Assert.assertEquals(content, expected);
				Assert.assertEquals(replica.retainedCount(), 0);
			}
		}

	}

}
