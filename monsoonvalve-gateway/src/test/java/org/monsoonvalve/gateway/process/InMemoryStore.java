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

	private long revision = 1;

	synchronized long put(String key, byte[] value) {
		this.revision++;
		WatchableStore.Change change = new WatchableStore.Change(key, StorePosition.of(this.revision), value);
		this.entries.put(key, change);
		this.history.add(change);
		List.copyOf(this.watches).forEach(this::answer);
		return this.revision;
	}

	private synchronized WatchableStore.Changes after(long afterRevision) {
		return new WatchableStore.Changes(StorePosition.of(this.revision),
				this.history.stream().filter((change) -> change.position().revision() > afterRevision).toList());
	}

	private synchronized void answer(Watch watch) {
		this.watches.remove(watch);
		watch.answer().complete(after(watch.afterRevision()));
	}

	private synchronized CompletableFuture<WatchableStore.Changes> watch(long afterRevision, long waitMillis) {
		Watch watch = new Watch(afterRevision, new CompletableFuture<>());
		if (afterRevision < this.revision) {
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
			return unlessRefused(watch(after.revision(), waitMillis));
		}

		@Override
		public CompletableFuture<Snapshot> staleSnapshot() {
			return read("", 0);
		}

		@Override
		public CompletableFuture<Snapshot> read(String prefix, long minRevision) {
			synchronized (InMemoryStore.this) {
				return unlessRefused(CompletableFuture.completedFuture(new Snapshot(InMemoryStore.this.revision,
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
