package org.monsoonvalve.gateway.process;

import java.util.List;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StorePosition;
import org.testng.Assert;
import org.testng.annotations.Test;

public class StoreReplicaTests {

	private static PlatformStore.Entry entry(String key, long revision) {
		return new PlatformStore.Entry(key, revision, new byte[] { (byte) revision });
	}

	private static WatchableStore.Change change(String key, long revision) {
		return new WatchableStore.Change(key, StorePosition.of(revision), new byte[] { (byte) revision });
	}

	private static WatchableStore.Change removal(String key, long revision) {
		return new WatchableStore.Change(key, StorePosition.of(revision), null);
	}

	@Test
	public void olderSnapshotOrChangeIsIgnored() {
		StoreReplica replica = new StoreReplica();
		Assert.assertTrue(replica.reset(new PlatformStore.Snapshot(10, List.of(entry("a", 9)))));
		Assert.assertFalse(replica.reset(new PlatformStore.Snapshot(8, List.of())));
		Assert.assertFalse(replica.apply(new WatchableStore.Changes(StorePosition.of(10), List.of(removal("a", 8)))));
		Assert.assertEquals(replica.entries().size(), 1);
		Assert.assertEquals(replica.revision(), 10);
	}

	// A snapshot has the revision of its first page; entries of later pages may be newer,
	// and must not be overwritten by the older changes that follow.
	@Test
	public void changesSinceFirstPageOfSnapshotAreAppliedOnce() {
		StoreReplica replica = new StoreReplica();
		replica.reset(new PlatformStore.Snapshot(10, List.of(entry("a", 5), entry("b", 13))));
		replica.apply(new WatchableStore.Changes(StorePosition.of(14),
				List.of(removal("b", 12), change("b", 13), removal("a", 14))));
		Assert.assertEquals(replica.entries().stream().map(PlatformStore.Entry::key).toList(), List.of("b"));
	}

	@Test
	public void peerGetsMissingChangesOrNoneIfHistoryIsIncomplete() {
		StoreReplica replica = new StoreReplica();
		replica.reset(new PlatformStore.Snapshot(10, List.of(entry("a", 5))));
		replica.apply(new WatchableStore.Changes(StorePosition.of(12), List.of(change("b", 11), removal("a", 12))));
		Assert.assertEquals(replica.changesAfter(11).orElseThrow().changes().size(), 1);
		Assert.assertTrue(replica.changesAfter(9).isEmpty(), "changes before the snapshot are unknown");
	}

}
