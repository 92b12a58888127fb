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
				() -> new Snapshot(this.revision,
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
				return new WriteResult(false, this.revision, present);
			}
			this.revision++;
			this.entries.put(key, new Entry(key, this.revision, value));
			this.leaseByKey.put(key, lease.id());
			return new WriteResult(true, this.revision, null);
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
			return new WriteResult(matches, this.revision, present);
		});
	}

	@Override
	public CompletableFuture<StoreLease> grantLease(long ttlSeconds) {
		return respond(true, () -> {
			long id = this.leases.size() + 1L + this.revision * 1000;
			this.leases.add(id);
			return StoreLease.of(id);
		});
	}

	@Override
	public CompletableFuture<Boolean> renewLease(StoreLease lease) {
		return respond(true, () -> this.leases.contains(lease.id()));
	}

	@Override
	public CompletableFuture<Void> revokeLease(StoreLease lease) {
		return respond(true, () -> {
			expireLease(lease.id());
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
