package org.monsoonvalve.gateway.process;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.monsoonvalve.core.connection.StoreLease;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * The content of a store, which processes read through {@link Client clients} that count
 * their calls and can be refused.
 */
final class InMemoryStore {

	private final TreeMap<String, WatchableStore.Change> entries = new TreeMap<>();

	private final List<WatchableStore.Change> history = new ArrayList<>();

	private final List<Watch> watches = new ArrayList<>();

	private StorePosition position = new StorePosition(1, 1);

	// The largest number of changes that a client accepts in one answer.
	volatile int maxChanges = Integer.MAX_VALUE;

	synchronized StorePosition put(String key, byte[] value) {
		this.position = this.position.at(this.position.revision() + 1);
		WatchableStore.Change change = new WatchableStore.Change(key, this.position, value);
		this.entries.put(key, change);
		this.history.add(change);
		List.copyOf(this.watches).forEach(this::answer);
		return this.position;
	}

	// Takes a copy that the store can be restored from.
	synchronized Copy copy() {
		return new Copy(new TreeMap<>(this.entries), List.copyOf(this.history), this.position.revision());
	}

	// Goes back to a copy, in a new era.
	synchronized void restore(Copy copy) {
		long era = this.position.era() + 1;
		this.entries.clear();
		copy.entries().forEach((key, change) -> this.entries.put(key, inEra(change, era)));
		this.history.clear();
		copy.history().forEach((change) -> this.history.add(inEra(change, era)));
		this.position = new StorePosition(era, copy.revision());
		List.copyOf(this.watches).forEach(this::answer);
	}

	private static WatchableStore.Change inEra(WatchableStore.Change change, long era) {
		return new WatchableStore.Change(change.key(), new StorePosition(era, change.position().revision()),
				change.value());
	}

	private synchronized WatchableStore.Changes after(long afterRevision) {
		return new WatchableStore.Changes(this.position,
				this.history.stream().filter((change) -> change.position().revision() > afterRevision).toList());
	}

	private synchronized void answer(Watch watch) {
		this.watches.remove(watch);
		watch.answer().complete(after(watch.afterRevision()));
	}

	private synchronized CompletableFuture<WatchableStore.Changes> watch(long afterRevision, long waitMillis) {
		Watch watch = new Watch(afterRevision, new CompletableFuture<>());
		if (afterRevision > this.position.revision()) {
			watch.answer().completeExceptionally(new ServingException(FailureCode.CONFLICT, "unknown revision"));
		}
		else if (afterRevision < this.position.revision()) {
			watch.answer().complete(after(afterRevision));
		}
		else {
			this.watches.add(watch);
			CompletableFuture.delayedExecutor(waitMillis, TimeUnit.MILLISECONDS).execute(() -> answer(watch));
		}
		return watch.answer();
	}

	Client client() {
		return new Client();
	}

	private record Watch(long afterRevision, CompletableFuture<WatchableStore.Changes> answer) {

	}

	/**
	 * The content of the store at one time.
	 *
	 * @param entries the entries by key
	 * @param history the changes so far
	 * @param revision the revision
	 */
	record Copy(TreeMap<String, WatchableStore.Change> entries, List<WatchableStore.Change> history, long revision) {

	}

	/**
	 * The store as one process sees it.
	 */
	final class Client implements WatchableStore {

		volatile int watchCalls;

		volatile boolean refused;

		private <T> CompletableFuture<T> unlessRefused(CompletableFuture<T> answer) {
			return this.refused
					? CompletableFuture.failedFuture(
							new ServingException(FailureCode.PLATFORM_UNAVAILABLE, "the store refuses this process"))
					: answer;
		}

		@Override
		public CompletableFuture<Changes> changes(StorePosition after, long waitMillis) {
			this.watchCalls++;
			return unlessRefused(watch(after.revision(), waitMillis).thenApply((changes) -> {
				if (changes.changes().size() > InMemoryStore.this.maxChanges) {
					throw new ServingException(FailureCode.ANSWER_TOO_LARGE, "too many changes");
				}
				return changes;
			}));
		}

		@Override
		public CompletableFuture<Snapshot> staleSnapshot() {
			return read("", 0);
		}

		@Override
		public CompletableFuture<Snapshot> read(String prefix, long minRevision) {
			synchronized (InMemoryStore.this) {
				return unlessRefused(CompletableFuture.completedFuture(new Snapshot(InMemoryStore.this.position,
						InMemoryStore.this.entries.values()
							.stream()
							.map((change) -> new Entry(change.key(), change.position(), change.value()))
							.toList())));
			}
		}

		@Override
		public CompletableFuture<WriteResult> write(String key, StorePosition expected, byte[] value,
				StoreLease lease) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<WriteResult> delete(String key, StorePosition expected) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<StoreLease> grantLease(long ttlSeconds) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<Boolean> renewLease(StoreLease lease) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<Void> revokeLease(StoreLease lease) {
			throw new UnsupportedOperationException();
		}

	}

}
