package org.monsoonvalve.gateway.process;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.process.SmallHeap;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class StoreReplicaTests {

	/** The users' bound: time within which lost records are written again. */
	private static final long REWRITE_MILLIS = 2000;

	private static final long LATER_MILLIS = 60_000;

	private StoreReplica replica;

	@BeforeMethod
	public void createReplica() {
		DecisionLog log = DecisionLog.start(Clock.systemUTC(), "gateway-1", (line) -> {
		});
		this.replica = new StoreReplica(new RecordRetention(new TextDecoder(), log));
	}

	private static StorePosition at(long era, long revision) {
		return new StorePosition(era, revision);
	}

	private static PlatformStore.Entry entry(String key, StorePosition position, String value) {
		return new PlatformStore.Entry(key, position, value.getBytes(StandardCharsets.UTF_8));
	}

	private static WatchableStore.Change change(String key, StorePosition position, String value) {
		return new WatchableStore.Change(key, position,
				(value != null) ? value.getBytes(StandardCharsets.UTF_8) : null);
	}

	private static WatchableStore.Change removal(String key, StorePosition position) {
		return change(key, position, null);
	}

	private boolean reset(StorePosition position, PlatformStore.Entry... entries) {
		return this.replica.reset(new PlatformStore.Snapshot(position, List.of(entries)), 0);
	}

	private boolean apply(StorePosition position, WatchableStore.Change... changes) {
		return this.replica.apply(new WatchableStore.Changes(position, List.of(changes)), 0);
	}

	private Optional<String> value(String key) {
		return this.replica.entry(key).map((entry) -> new String(entry.value(), StandardCharsets.UTF_8));
	}

	private static String plan(long version) {
		return "{\"lastEpoch\":9,\"groups\":[],\"version\":" + version + "}";
	}

	@Test
	public void olderSnapshotOrChangeIsIgnored() {
		Assert.assertTrue(reset(at(1, 10), entry("endpoints/a", at(1, 9), "e1")));
		Assert.assertFalse(reset(at(1, 8)));
		Assert.assertFalse(apply(at(1, 10), removal("endpoints/a", at(1, 8))));
		Assert.assertEquals(this.replica.storedEntries().size(), 1);
		Assert.assertEquals(this.replica.position(), at(1, 10));
	}

	// A snapshot has the revision of its first page; entries of later pages may be newer,
	// and must not be overwritten by the older changes that follow.
	@Test
	public void changesSinceFirstPageOfSnapshotAreAppliedOnce() {
		reset(at(1, 10), entry("a", at(1, 5), "a"), entry("b", at(1, 13), "b"));
		apply(at(1, 14), removal("b", at(1, 12)), change("b", at(1, 13), "b"), removal("a", at(1, 14)));
		Assert.assertEquals(this.replica.storedEntries().stream().map(PlatformStore.Entry::key).toList(), List.of("b"));
	}

	@Test
	public void peerGetsMissingChangesOrNoneIfHistoryIsIncomplete() {
		reset(at(1, 10), entry("a", at(1, 5), "a"));
		apply(at(1, 12), change("b", at(1, 11), "b"), removal("a", at(1, 12)));
		Assert.assertEquals(this.replica.changesAfter(at(1, 11)).orElseThrow().changes().size(), 1);
		Assert.assertTrue(this.replica.changesAfter(at(1, 9)).isEmpty(), "changes before the snapshot are unknown");
	}

	// Guards against a store that comes back from an older copy and is ignored until its
	// revision has passed the last one seen.
	@Test
	public void aSnapshotOfALaterEraReplacesTheContentWhateverItsRevisionIs() {
		reset(at(1, 10), entry("a", at(1, 9), "old"), entry("b", at(1, 4), "same"));
		this.replica.takeChangedKeys();
		Assert.assertTrue(reset(at(2, 9), entry("a", at(2, 9), "new"), entry("b", at(2, 4), "same")));
		Assert.assertEquals(value("a"), Optional.of("new"));
		Assert.assertEquals(this.replica.position(), at(2, 9));
		Assert.assertEquals(this.replica.takeChangedKeys(), Set.of("a"), "the same revision with another value");
		Assert.assertFalse(reset(at(1, 20)), "a late snapshot of the earlier era");
		Assert.assertFalse(apply(at(1, 20), change("a", at(1, 20), "late")), "late changes of the earlier era");
		Assert.assertFalse(apply(at(3, 20), change("a", at(3, 20), "early")), "changes of an era not read yet");
		Assert.assertTrue(this.replica.changesAfter(at(1, 9)).isEmpty(), "a peer in the earlier era gets everything");
	}

	@Test
	public void aConfigurationStaysUntilOneThatIsNotOlderIsStored() {
		reset(at(1, 10), entry("config", at(1, 9), "c16"));
		reset(at(2, 8), entry("config", at(2, 5), "c12"));
		Assert.assertEquals(value("config"), Optional.of("c16"));
		apply(at(2, 9), change("config", at(2, 9), "c14"));
		Assert.assertEquals(value("config"), Optional.of("c16"));
		apply(at(2, 10), removal("config", at(2, 10)));
		reset(at(3, 7));
		this.replica.expireRetained(LATER_MILLIS);
		Assert.assertEquals(value("config"), Optional.of("c16"), "after a second restoration, and for good");
		apply(at(3, 8), change("config", at(3, 8), "unreadable"));
		Assert.assertEquals(value("config"), Optional.of("c16"));
		apply(at(3, 9), change("config", at(3, 9), "c18"));
		Assert.assertEquals(value("config"), Optional.of("c18"));
	}

	@Test
	public void recordsThatTheCopyLacksStayUntilTheirWritersHadTimeToWriteThemAgain() {
		reset(at(1, 10), entry("endpoints/a", at(1, 9), "e1"), entry("evacuated/z", at(1, 10), ""));
		reset(at(2, 5));
		this.replica.expireRetained(REWRITE_MILLIS);
		Assert.assertEquals(value("endpoints/a"), Optional.of("e1"));
		Assert.assertEquals(value("evacuated/z"), Optional.of(""));
		Assert.assertEquals(this.replica.storedPosition("endpoints/a"), StorePosition.NONE);
		Assert.assertFalse(this.replica.expireRetained(REWRITE_MILLIS), "nothing new, although keys have changed");
		this.replica.takeChangedKeys();
		Assert.assertTrue(this.replica.expireRetained(2 * REWRITE_MILLIS));
		Assert.assertEquals(value("endpoints/a"), Optional.empty());
		Assert.assertEquals(this.replica.takeChangedKeys(), Set.of("endpoints/a", "evacuated/z"));
	}

	@Test
	public void anEndpointThatHadLeftOrChangedIsNotWhatTheCopySays() {
		reset(at(1, 10), entry("endpoints/a", at(1, 3), "e1"), entry("endpoints/b", at(1, 4), "e1"));
		apply(at(1, 12), removal("endpoints/a", at(1, 11)), change("endpoints/b", at(1, 12), "e2"));
		reset(at(2, 10), entry("endpoints/a", at(2, 3), "e1"), entry("endpoints/b", at(2, 4), "e1"));
		Assert.assertEquals(value("endpoints/a"), Optional.empty());
		Assert.assertEquals(value("endpoints/b"), Optional.of("e2"));
		apply(at(2, 12), change("endpoints/a", at(2, 11), "e3"), change("endpoints/b", at(2, 12), "e3"));
		Assert.assertEquals(value("endpoints/a"), Optional.of("e3"), "it lives and has written again");
		Assert.assertEquals(value("endpoints/b"), Optional.of("e3"));
	}

	@Test
	public void aRoleEndsWithTheEraAndARegistrationDoesNot() {
		reset(at(1, 10), entry("monsoonvalve/leases/planner-a", at(1, 8), "x"),
				entry("monsoonvalve/members/m", at(1, 9), "{}"));
		reset(at(2, 5));
		Assert.assertEquals(value("monsoonvalve/leases/planner-a"), Optional.empty());
		this.replica.expireRetained(REWRITE_MILLIS);
		Assert.assertEquals(value("monsoonvalve/members/m"), Optional.of("{}"));
	}

	@Test
	public void aPlanStaysUntilAPlannerStoresOne() {
		reset(at(1, 10), entry("monsoonvalve/groups/z", at(1, 8), plan(7)));
		reset(at(2, 5), entry("monsoonvalve/groups/z", at(2, 4), plan(5)));
		this.replica.expireRetained(LATER_MILLIS);
		Assert.assertEquals(value("monsoonvalve/groups/z"), Optional.of(plan(7)));
		Assert.assertEquals(this.replica.storedPosition("monsoonvalve/groups/z"), at(2, 4), "what a write must expect");
		apply(at(2, 6), change("monsoonvalve/groups/z", at(2, 6), plan(6)));
		Assert.assertEquals(value("monsoonvalve/groups/z"), Optional.of(plan(6)));
	}

	// A process that starts after the restoration knows only what the copy has.
	@Test
	public void aPeerThatLacksARetainedConfigurationTakesItOver() {
		reset(at(1, 10), entry("config", at(1, 9), "c16"), entry("endpoints/a", at(1, 10), "e1"));
		reset(at(2, 8), entry("config", at(2, 5), "c12"));
		List<PlatformStore.Entry> told = this.replica.retainedForPeers();
		Assert.assertEquals(told.stream().map(PlatformStore.Entry::key).toList(), List.of("config"));
		createReplica();
		reset(at(2, 8), entry("config", at(2, 5), "c12"));
		told.forEach((record) -> Assert.assertTrue(this.replica.retainFromPeer(record)));
		Assert.assertFalse(this.replica.retainFromPeer(entry("config", at(1, 8), "c14")), "an older one");
		Assert.assertEquals(value("config"), Optional.of("c16"));
		apply(at(2, 9), change("config", at(2, 9), "c17"));
		told.forEach(this.replica::retainFromPeer);
		Assert.assertEquals(value("config"), Optional.of("c17"), "a newer one is stored");
	}

	// Guards against a history of whole values: 400 versions of a large configuration
	// exhausted the heap of every process.
	@Test
	public void manyVersionsOfALargeValueFitASmallHeap() throws Exception {
		Assert.assertEquals(SmallHeap.run(ManyVersions.class, 32), "1000000");
	}

	@Test
	public void removedValuesTakeABoundedPartOfTheHeap() {
		reset(at(1, 1));
		String value = "x".repeat(1_000_000);
		for (int i = 1; i <= 20; i++) {
			apply(at(1, 2 * i + 1), change("key-" + i, at(1, 2 * i), value), removal("key-" + i, at(1, 2 * i + 1)));
		}
		Assert.assertTrue(this.replica.historyBytes() < 5_000_000, this.replica.historyBytes() + " bytes");
	}

	// Only the last change of a key matters to a peer, which gets it once.
	@Test
	public void aPeerGetsTheLastChangeOfEachKeyInOrder() {
		reset(at(1, 10));
		apply(at(1, 13), change("a", at(1, 11), "a1"), change("b", at(1, 12), "b"), change("a", at(1, 13), "a2"));
		List<WatchableStore.Change> changes = this.replica.changesAfter(at(1, 10)).orElseThrow().changes();
		Assert.assertEquals(changes.stream().map(WatchableStore.Change::key).toList(), List.of("b", "a"));
		Assert.assertEquals(new String(changes.get(1).value(), StandardCharsets.UTF_8), "a2");
	}

	@Test
	public void aPeerThatLacksMoreKeysThanAreKeptGetsEverything() {
		reset(at(1, 10));
		for (int i = 1; i <= 2001; i++) {
			apply(at(1, 10 + i), change("key-" + i, at(1, 10 + i), "v"));
		}
		Assert.assertTrue(this.replica.changesAfter(at(1, 10)).isEmpty());
		Assert.assertEquals(this.replica.changesAfter(at(1, 11)).orElseThrow().changes().size(), 2000);
	}

	/**
	 * Applies 200 versions of a value of a megabyte and prints the size of the history.
	 */
	public static final class ManyVersions {

		private ManyVersions() {
		}

		public static void main(String[] arguments) {
			StoreReplicaTests tests = new StoreReplicaTests();
			tests.createReplica();
			tests.reset(at(1, 1));
			for (int i = 2; i <= 200; i++) {
				tests.apply(at(1, i), new WatchableStore.Change("config", at(1, i), new byte[1_000_000]));
			}
			System.out.print(tests.replica.historyBytes());
		}

	}

}
