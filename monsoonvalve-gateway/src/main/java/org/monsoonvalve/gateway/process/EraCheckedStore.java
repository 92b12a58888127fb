package org.monsoonvalve.gateway.process;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.LongConsumer;

import org.monsoonvalve.core.connection.StoreLease;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * The platform's store with a check of its era. Revisions and leases of an earlier era
 * mean something else in the present one, so nothing that refers to an earlier era is
 * sent, and no answer of an earlier era is returned. Thread-safe.
 *
 * @author monsoonvalve maintainers
 */
final class EraCheckedStore implements WatchableStore {

	private final AtomicLong newestEra = new AtomicLong();

	private final AtomicLong discardedAnswers = new AtomicLong();

	private final List<EraListener> listeners = new CopyOnWriteArrayList<>();

	private final WatchableStore store;

	private EraCheckedStore(Function<LongConsumer, WatchableStore> storeFactory) {
		this.store = storeFactory.apply(this::observe);
	}

	/**
	 * Creates a checked store.
	 * @param storeFactory creates the store's client, which reports the era of each
	 * answer
	 * @return the store
	 */
	static EraCheckedStore of(Function<LongConsumer, WatchableStore> storeFactory) {
		return new EraCheckedStore(storeFactory);
	}

	/**
	 * Adds a listener for later eras.
	 * @param listener called on the thread that observed the era
	 */
	void onLaterEra(EraListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Notes an era that the store or a peer stated.
	 * @param era the era, 0 if none was stated
	 */
	void observe(long era) {
		long previous = this.newestEra.getAndAccumulate(era, Math::max);
		if (previous < era) {
			this.listeners.forEach((listener) -> listener.began(era, previous));
		}
	}

	/**
	 * Returns the latest era that is known.
	 * @return the era, 0 if the store states none
	 */
	long newestEra() {
		return this.newestEra.get();
	}

	/**
	 * Returns the number of answers that were discarded, as they belong to another era.
	 * @return the number of answers
	 */
	long discardedAnswers() {
		return this.discardedAnswers.get();
	}

	/**
	 * Tells whether an era has ended.
	 * @param era the era
	 * @return {@code true} if a later one is known
	 */
	boolean isPast(long era) {
		return era < this.newestEra.get();
	}

	@Override
	public CompletableFuture<Changes> changes(StorePosition after, long waitMillis) {
		if (isPast(after.era())) {
			return CompletableFuture.failedFuture(otherEra("the changes after " + after + " are lost"));
		}
		return this.store.changes(after, waitMillis).thenApply((changes) -> {
			observe(changes.position().era());
			requireEra(changes.position().era(), after.era());
			return changes;
		});
	}

	@Override
	public CompletableFuture<Snapshot> staleSnapshot() {
		return this.store.staleSnapshot().thenApply(this::requireCurrent);
	}

	@Override
	public CompletableFuture<Snapshot> read(String prefix, long minRevision) {
		return this.store.read(prefix, minRevision).thenApply(this::requireCurrent);
	}

	private Snapshot requireCurrent(Snapshot snapshot) {
		long era = snapshot.position().era();
		observe(era);
		requireEra(era, this.newestEra.get());
		// An entry of another era comes from another page of the same read.
		snapshot.entries().forEach((entry) -> requireEra(entry.position().era(), era));
		return snapshot;
	}

	@Override
	public CompletableFuture<WriteResult> write(String key, StorePosition expected, byte[] value, StoreLease lease) {
		if (refersToPast(expected) || refersToPast(lease)) {
			return CompletableFuture.failedFuture(otherEra("the write of " + key + " refers to an earlier era"));
		}
		return this.store.write(key, expected, value, lease).thenApply((result) -> check(result, expected, lease));
	}

	@Override
	public CompletableFuture<WriteResult> delete(String key, StorePosition expected) {
		if (refersToPast(expected)) {
			return CompletableFuture.failedFuture(otherEra("the removal of " + key + " refers to an earlier era"));
		}
		return this.store.delete(key, expected).thenApply((result) -> check(result, expected, StoreLease.NONE));
	}

	// A write that took effect in another era than it was meant for counts as failed: its
	// condition was met by chance, or its lease may be another one.
	private WriteResult check(WriteResult result, StorePosition expected, StoreLease lease) {
		long era = result.position().era();
		observe(era);
		requireEra(era, this.newestEra.get());
		if (expected.revision() > 0) {
			requireEra(era, expected.era());
		}
		if (!lease.equals(StoreLease.NONE)) {
			requireEra(era, lease.era());
		}
		return result;
	}

	@Override
	public CompletableFuture<StoreLease> grantLease(long ttlSeconds) {
		return this.store.grantLease(ttlSeconds).thenApply((lease) -> {
			observe(lease.era());
			requireEra(lease.era(), this.newestEra.get());
			return lease;
		});
	}

	@Override
	public CompletableFuture<Boolean> renewLease(StoreLease lease) {
		if (refersToPast(lease)) {
			return CompletableFuture.completedFuture(false);
		}
		return this.store.renewLease(lease).thenApply((renewed) -> renewed && !refersToPast(lease));
	}

	@Override
	public CompletableFuture<Void> revokeLease(StoreLease lease) {
		return refersToPast(lease) ? CompletableFuture.completedFuture(null) : this.store.revokeLease(lease);
	}

	private boolean refersToPast(StorePosition expected) {
		return expected.revision() > 0 && isPast(expected.era());
	}

	private boolean refersToPast(StoreLease lease) {
		return !lease.equals(StoreLease.NONE) && isPast(lease.era());
	}

	private void requireEra(long era, long expected) {
		if (era != expected) {
			this.discardedAnswers.incrementAndGet();
			throw otherEra("the answer is of era " + era + ", expected " + expected);
		}
	}

	private static ServingException otherEra(String detail) {
		return new ServingException(FailureCode.CONFLICT,
				"the store was restored from an older copy meanwhile: " + detail);
	}

	/**
	 * Receives later eras.
	 */
	@FunctionalInterface
	interface EraListener {

		/**
		 * Called once for each later era.
		 * @param era the era
		 * @param previous the latest era known before, 0 if none was
		 */
		void began(long era, long previous);

	}

}
