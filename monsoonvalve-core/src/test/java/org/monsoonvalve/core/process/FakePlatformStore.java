package org.monsoonvalve.core.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StoreLease;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * An in-memory platform store that simulates outages and lost responses.
 *
 * @author monsoonvalve maintainers
 */
public final class FakePlatformStore implements PlatformStore {

	private final Map<String, Entry> entries = new TreeMap<>();

	private final Map<String, Long> leaseByKey = new TreeMap<>();

	private final Set<Long> leases = new HashSet<>();

	private long era;

	private long revision;

	private boolean down;

	private int responsesToLose;

	/**
	 * Sets whether the store is unavailable.
	 * @param isDown whether every call fails without taking effect
	 */
	public void setDown(boolean isDown) {
		this.down = isDown;
	}

	/**
	 * Loses the responses to the next calls other than reads, which still take effect.
	 * @param count the number of responses to lose
	 */
	public void loseResponses(int count) {
		this.responsesToLose = count;
	}

	/**
	 * Takes a copy of the content.
	 * @return restores the store from the copy, in a later era, when run
	 */
	public Runnable copy() {
		Map<String, Entry> copiedEntries = Map.copyOf(this.entries);
		Map<String, Long> copiedLeaseByKey = Map.copyOf(this.leaseByKey);
		Set<Long> copiedLeases = Set.copyOf(this.leases);
		long copiedRevision = this.revision;
		return () -> {
			this.era++;
			this.entries.clear();
			copiedEntries.forEach((key, entry) -> this.entries.put(key,
					new Entry(key, new StorePosition(this.era, entry.revision()), entry.value())));
			this.leaseByKey.clear();
			this.leaseByKey.putAll(copiedLeaseByKey);
			this.leases.clear();
			this.leases.addAll(copiedLeases);
			this.revision = copiedRevision;
		};
	}

	/**
	 * Starts to state eras.
	 */
	public void stateEra() {
		this.era = 1;
	}

	private StorePosition position() {
		return new StorePosition(this.era, this.revision);
	}

	/**
	 * Expires a lease and deletes its keys.
	 * @param leaseId the lease's identifier
	 */
	public void expireLease(long leaseId) {
		this.leases.remove(leaseId);
		this.entries.keySet().removeIf((key) -> this.leaseByKey.getOrDefault(key, 0L) == leaseId);
	}

	/**
	 * Expires all leases and deletes their keys.
	 */
	public void expireAllLeases() {
		new ArrayList<>(this.leases).forEach(this::expireLease);
	}

	@Override
	public CompletableFuture<Snapshot> read(String prefix, long leastRevision) {
		return respond(false,
				() -> new Snapshot(position(),
						this.entries.values()
							.stream()
							.filter((entry) -> entry.key().startsWith(prefix) && entry.revision() >= leastRevision)
							.toList()));
	}

	@Override
	public CompletableFuture<WriteResult> write(String key, StorePosition expected, byte[] value, StoreLease lease) {
		return respond(true, () -> {
			Entry present = this.entries.get(key);
			if (((present != null) ? present.revision() : 0) != expected.revision()) {
				return new WriteResult(false, position(), present);
			}
			this.revision++;
			this.entries.put(key, new Entry(key, position(), value));
			this.leaseByKey.put(key, lease.id());
			return new WriteResult(true, position(), null);
		});
	}

	@Override
	public CompletableFuture<WriteResult> delete(String key, StorePosition expected) {
		return respond(true, () -> {
			Entry present = this.entries.get(key);
			boolean matches = present != null && present.revision() == expected.revision();
			if (matches) {
				this.revision++;
				this.entries.remove(key);
			}
			return new WriteResult(matches, position(), present);
		});
	}

	@Override
	public CompletableFuture<StoreLease> grantLease(long ttlSeconds) {
		return respond(true, () -> {
			long id = this.leases.size() + 1L + this.revision * 1000;
			this.leases.add(id);
			return new StoreLease(this.era, id);
		});
	}

	@Override
	public CompletableFuture<Boolean> renewLease(StoreLease lease) {
		return respond(true, () -> lease.era() == this.era && this.leases.contains(lease.id()));
	}

	@Override
	public CompletableFuture<Void> revokeLease(StoreLease lease) {
		return respond(true, () -> {
			if (lease.era() == this.era) {
				expireLease(lease.id());
			}
			return null;
		});
	}

	private <T> CompletableFuture<T> respond(boolean mayLoseResponse, Supplier<T> effect) {
		if (this.down) {
			return failed();
		}
		T result = effect.get();
		if (mayLoseResponse && this.responsesToLose > 0) {
			this.responsesToLose--;
			return failed();
		}
		return CompletableFuture.completedFuture(result);
	}

	private static <T> CompletableFuture<T> failed() {
		return CompletableFuture.failedFuture(new ServingException(FailureCode.PLATFORM_UNAVAILABLE, "no response"));
	}

	/**
	 * Returns all entries, also during a simulated outage.
	 * @return the entries sorted by key
	 */
	public List<Entry> allEntries() {
		return List.copyOf(this.entries.values());
	}

}
