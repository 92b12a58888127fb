package org.monsoonvalve.standins.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.monsoonvalve.core.process.ElapsedClock;

/**
 * The state of the stand-in key-value service: revisions, conditional writes and leases.
 *
 * @author monsoonvalve maintainers
 */
public final class KeyValueState {

	private final ElapsedClock clock;

	private final NavigableMap<String, Value> values = new TreeMap<>();

	private final Map<Long, Lease> leases = new HashMap<>();

	private long revision = 1;

	private long lastLease = 1000;

	private KeyValueState(ElapsedClock clock) {
		this.clock = clock;
	}

	/**
	 * Creates an empty state.
	 * @param clock measures leases
	 * @return the state
	 */
	public static KeyValueState of(ElapsedClock clock) {
		return new KeyValueState(clock);
	}

	/**
	 * Returns the revision of the last write.
	 * @return the revision
	 */
	public synchronized long revision() {
		return this.revision;
	}

	/**
	 * Reads a range of keys.
	 * @param key the first key
	 * @param end the first key behind the range, empty for one key only
	 * @param leastRevision the least revision of the values wanted
	 * @return the values
	 */
	public synchronized List<Value> range(String key, String end, long leastRevision) {
		expire();
		NavigableMap<String, Value> found = end.isEmpty() ? this.values.subMap(key, true, key, true)
				: this.values.subMap(key, true, end, false);
		return found.values().stream().filter((value) -> value.revision() >= leastRevision).toList();
	}

	/**
	 * Writes a key if its revision is the expected one.
	 * @param key the key
	 * @param expectedRevision the expected revision, 0 if the key must not exist
	 * @param content the new content, {@code null} to delete
	 * @param leaseId the lease that the key ends with, 0 for none
	 * @return {@code true} if the write took effect
	 */
	public synchronized boolean write(String key, long expectedRevision, byte[] content, long leaseId) {
		expire();
		long present = Optional.ofNullable(this.values.get(key)).map(Value::revision).orElse(0L);
		if (present != expectedRevision || (leaseId != 0 && !this.leases.containsKey(leaseId))) {
			return false;
		}
		this.revision++;
		if (content == null) {
			this.values.remove(key);
		}
		else {
			this.values.put(key, new Value(key, this.revision, content, leaseId));
		}
		return true;
	}

	/**
	 * Grants a lease.
	 * @param ttlSeconds how long it lasts without renewal, in seconds
	 * @return its number
	 */
	public synchronized long grant(long ttlSeconds) {
		this.lastLease++;
		this.leases.put(this.lastLease, new Lease(ttlSeconds, this.clock.now()));
		return this.lastLease;
	}

	/**
	 * Renews a lease.
	 * @param leaseId its number
	 * @return its time to live in seconds, 0 if it has ended
	 */
	public synchronized long renew(long leaseId) {
		expire();
		Lease lease = this.leases.get(leaseId);
		if (lease == null) {
			return 0;
		}
		this.leases.put(leaseId, new Lease(lease.ttlSeconds(), this.clock.now()));
		return lease.ttlSeconds();
	}

	/**
	 * Ends a lease and deletes its keys.
	 * @param leaseId its number
	 */
	public synchronized void revoke(long leaseId) {
		this.leases.remove(leaseId);
		boolean removed = this.values.values().removeIf((value) -> value.leaseId() == leaseId);
		if (removed) {
			this.revision++;
		}
	}

	/**
	 * Ends all leases, as if their holders had been silent for too long.
	 */
	public synchronized void lapse() {
		List.copyOf(this.leases.keySet()).forEach(this::revoke);
	}

	private void expire() {
		this.leases.entrySet()
			.stream()
			.filter((entry) -> this.clock.elapsedMillis(entry.getValue().renewed()) > TimeUnit.SECONDS
				.toMillis(entry.getValue().ttlSeconds()))
			.map(Map.Entry::getKey)
			.toList()
			.forEach(this::revoke);
	}

	/**
	 * A key with its content.
	 *
	 * @param key the key
	 * @param revision the revision of its last write
	 * @param content its content
	 * @param leaseId the lease that it ends with, 0 for none
	 */
	public record Value(String key, long revision, byte[] content, long leaseId) {

	}

	private record Lease(long ttlSeconds, ElapsedClock.Reading renewed) {

	}

}
