package org.monsoonvalve.gateway.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.monsoonvalve.core.connection.StoreLease;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EraCheckedStoreTests {

	private final List<String> calls = new ArrayList<>();

	private StorePosition answered;

	private EraCheckedStore store;

	@BeforeMethod
	public void createStore() {
		this.calls.clear();
		this.answered = new StorePosition(1, 10);
		this.store = EraCheckedStore.of((onEra) -> new RecordingStore());
		this.store.observe(1);
	}

	private static void assertConflict(CompletableFuture<?> answer) {
		CompletionException failure = Assert.expectThrows(CompletionException.class, answer::join);
		Assert.assertEquals(ServingException.from(failure).code(), FailureCode.CONFLICT);
	}

	@Test
	public void nothingThatRefersToAnEarlierEraIsSent() {
		this.store.observe(2);
		assertConflict(this.store.changes(new StorePosition(1, 10), 0));
		assertConflict(this.store.write("k", new StorePosition(1, 10), new byte[0], StoreLease.NONE));
		assertConflict(this.store.write("k", StorePosition.NONE, new byte[0], new StoreLease(1, 7)));
		assertConflict(this.store.delete("k", new StorePosition(1, 10)));
		Assert.assertFalse(this.store.renewLease(new StoreLease(1, 7)).join());
		this.store.revokeLease(new StoreLease(1, 7)).join();
		Assert.assertEquals(this.calls, List.of());
	}

	// The question was asked of the earlier history, the answer is of the later one.
	@Test
	public void anAnswerOfAnotherEraThanTheQuestionIsDiscarded() {
		List<Long> eras = new ArrayList<>();
		this.store.onLaterEra((era, previous) -> eras.add(era));
		this.answered = new StorePosition(2, 10);
		assertConflict(this.store.changes(new StorePosition(1, 10), 0));
		Assert.assertEquals(eras, List.of(2L));
		this.answered = new StorePosition(1, 11);
		assertConflict(this.store.read("", 0));
		assertConflict(this.store.grantLease(1));
		Assert.assertEquals(this.store.discardedAnswers(), 3);
	}

	// The write met the revision that it expected, but in another history.
	@Test
	public void aWriteThatTookEffectInAnotherEraIsNoSuccess() {
		this.answered = new StorePosition(2, 11);
		assertConflict(this.store.write("k", new StorePosition(1, 10), new byte[0], StoreLease.NONE));
		this.answered = new StorePosition(3, 11);
		assertConflict(this.store.write("k", StorePosition.NONE, new byte[0], new StoreLease(2, 7)));
		Assert.assertTrue(this.store.write("k", StorePosition.NONE, new byte[0], StoreLease.NONE).join().succeeded(),
				"it refers to no era");
	}

	@Test
	public void aSnapshotWithPagesOfTwoErasIsDiscarded() {
		this.answered = new StorePosition(1, 10);
		assertConflict(this.store.staleSnapshot());
	}

	@Test
	public void aStoreThatStatesNoEraIsUsedAsItIs() {
		this.store = EraCheckedStore.of((onEra) -> new RecordingStore());
		this.answered = StorePosition.of(10);
		Assert.assertEquals(this.store.changes(StorePosition.of(9), 0).join().position(), StorePosition.of(10));
		Assert.assertTrue(this.store.renewLease(StoreLease.of(7)).join());
	}

	/**
	 * Answers each call with the position {@link #answered}.
	 */
	private final class RecordingStore implements WatchableStore {

		private <T> CompletableFuture<T> answer(String call, T value) {
			EraCheckedStoreTests.this.calls.add(call);
			return CompletableFuture.completedFuture(value);
		}

		private StorePosition position() {
			return EraCheckedStoreTests.this.answered;
		}

		@Override
		public CompletableFuture<Changes> changes(StorePosition after, long waitMillis) {
			return answer("changes", new Changes(position(), List.of()));
		}

		@Override
		public CompletableFuture<Snapshot> staleSnapshot() {
			StorePosition other = new StorePosition(position().era() + 1, 3);
			return answer("stale", new Snapshot(position(), List.of(new Entry("k", other, new byte[0]))));
		}

		@Override
		public CompletableFuture<Snapshot> read(String prefix, long minRevision) {
			return answer("read", new Snapshot(position(), List.of()));
		}

		@Override
		public CompletableFuture<WriteResult> write(String key, StorePosition expected, byte[] value,
				StoreLease lease) {
			return answer("write", new WriteResult(true, position(), null));
		}

		@Override
		public CompletableFuture<WriteResult> delete(String key, StorePosition expected) {
			return answer("delete", new WriteResult(true, position(), null));
		}

		@Override
		public CompletableFuture<StoreLease> grantLease(long ttlSeconds) {
			return answer("grant", new StoreLease(position().era(), 7));
		}

		@Override
		public CompletableFuture<Boolean> renewLease(StoreLease lease) {
			return answer("renew", true);
		}

		@Override
		public CompletableFuture<Void> revokeLease(StoreLease lease) {
			return answer("revoke", null);
		}

	}

}
