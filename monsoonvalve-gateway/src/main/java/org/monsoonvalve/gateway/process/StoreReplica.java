package org.monsoonvalve.gateway.process;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StorePosition;

/**
 * A replica of the platform's store, updated by snapshots and changes from the store or
 * from peers. Its position never decreases; a snapshot of a later era replaces the
 * content whatever its revision is. What was known in the earlier era and is newer than
 * the content of the restored store stays in effect for as long as {@link RecordRetention
 * the retention} says.
 *
 * @author monsoonvalve maintainers
 */
final class StoreReplica {

	/** Keys whose last change is kept for peers; more than change in a minute. */
	private static final int MAX_CHANGED_KEYS = 2000;

	/** Removed records that are remembered. */
	private static final int MAX_REMOVED = 2000;

	/** Most bytes of the values of removed records that are remembered. */
	private static final long MAX_REMOVED_BYTES = 4 * 1024 * 1024;

	/**
	 * Time for which removed records are remembered; copies of the store are some seconds
	 * old.
	 */
	private static final long REMOVED_MILLIS = 60_000;

	private final RecordRetention retention;

	private final Map<String, PlatformStore.Entry> stored = new HashMap<>();

	private final Map<String, RetainedRecord> retained = new HashMap<>();

	private final Map<String, RemovedRecord> removed = new LinkedHashMap<>();

	// The last change of each key, in the order of positions. A value is the one in
	// effect, so the history of a key that changes often takes no more memory.
	private final Map<String, WatchableStore.Change> history = new LinkedHashMap<>();

	private final Set<String> changedKeys = new HashSet<>();

	private long changedBytes;

	private long removedBytes;

	private StorePosition historyStart = StorePosition.NONE;

	private StorePosition position = StorePosition.NONE;

	StoreReplica(RecordRetention retention) {
		this.retention = retention;
	}

	StorePosition position() {
		return this.position;
	}

	/**
	 * Returns what the store holds, without the records that are only retained.
	 * @return the entries
	 */
	Collection<PlatformStore.Entry> storedEntries() {
		return this.stored.values();
	}

	/**
	 * Returns the records that stay in effect although the store has lost them, of those
	 * kinds that peers are told of.
	 * @return the records, with their positions in an earlier era
	 */
	List<PlatformStore.Entry> retainedForPeers() {
		return this.retained.values()
			.stream()
			.flatMap((record) -> record.entry().stream())
			.filter(this.retention::isTold)
			.toList();
	}

	/**
	 * Returns the number of keys whose records or removals in an earlier era are still in
	 * effect.
	 * @return the number of keys
	 */
	int retainedCount() {
		return this.retained.size();
	}

	/**
	 * Returns the entry in effect.
	 * @param key the entry's key
	 * @return the entry, empty if the key doesn't exist
	 */
	Optional<PlatformStore.Entry> entry(String key) {
		RetainedRecord kept = this.retained.get(key);
		return (kept != null) ? kept.entry() : Optional.ofNullable(this.stored.get(key));
	}

	/**
	 * Returns the position at which the store holds a key, which a write must expect.
	 * @param key the key
	 * @return the position, {@link StorePosition#NONE} if the store doesn't hold it
	 */
	StorePosition storedPosition(String key) {
		PlatformStore.Entry entry = this.stored.get(key);
		return (entry != null) ? entry.position() : StorePosition.NONE;
	}

	/**
	 * Returns the keys that were added, changed or removed since the last call.
	 * @return the keys
	 */
	Set<String> takeChangedKeys() {
		Set<String> taken = new HashSet<>(this.changedKeys);
		this.changedKeys.clear();
		return taken;
	}

	/**
	 * Tells whether any key was added, changed or removed since {@link #takeChangedKeys}.
	 * @return {@code true} if the next call returns a key
	 */
	boolean changedSinceTaken() {
		return !this.changedKeys.isEmpty();
	}

	/**
	 * Replaces the content by a snapshot. A key that the snapshot lacks is removed until
	 * a later change adds it.
	 * @param snapshot all keys at a position
	 * @param nowMillis the current time, in milliseconds
	 * @return {@code false} if the snapshot is older than the replica and was ignored
	 */
	boolean reset(PlatformStore.Snapshot snapshot, long nowMillis) {
		if (this.position.isAfter(snapshot.position())) {
			return false;
		}
		Map<String, PlatformStore.Entry> found = new HashMap<>();
		snapshot.entries().forEach((entry) -> found.put(entry.key(), entry));
		Map<String, PlatformStore.Entry> before = effectiveEntries();
		if (this.position.precedesEraOf(snapshot.position())) {
			retainAgainst(found, before, nowMillis);
		}
		else {
			this.retained.keySet().removeIf((key) -> isReleasedBy(key, found.get(key)));
		}
		this.stored.keySet()
			.stream()
			.filter((key) -> !found.containsKey(key))
			.forEach((key) -> rememberRemoved(this.stored.get(key), nowMillis));
		this.stored.clear();
		this.stored.putAll(found);
		this.position = snapshot.position();
		this.history.clear();
		this.changedBytes = 0;
		this.historyStart = this.position;
		Set<String> keys = new HashSet<>(before.keySet());
		keys.addAll(found.keySet());
		keys.addAll(this.retained.keySet());
		keys.stream()
			.filter((key) -> !sameRecord(before.get(key), entry(key).orElse(null)))
			.forEach(this.changedKeys::add);
		return true;
	}

	private Map<String, PlatformStore.Entry> effectiveEntries() {
		Map<String, PlatformStore.Entry> effective = new HashMap<>(this.stored);
		this.retained.forEach((key, record) -> {
			effective.remove(key);
			record.entry().ifPresent((entry) -> effective.put(key, entry));
		});
		return effective;
	}

	private void retainAgainst(Map<String, PlatformStore.Entry> found, Map<String, PlatformStore.Entry> before,
			long nowMillis) {
		this.retained.clear();
		before.forEach((key, held) -> {
			Optional<PlatformStore.Entry> restored = Optional.ofNullable(found.get(key));
			if (restored.filter((entry) -> sameRecord(entry, held)).isEmpty()) {
				retain(key, Optional.of(held), this.retention.retainMillis(held, restored), nowMillis);
			}
		});
		this.removed.values()
			.stream()
			.filter((record) -> nowMillis - record.removedMillis() > REMOVED_MILLIS)
			.map((record) -> record.last().key())
			.toList()
			.forEach(this::forgetRemoved);
		this.removed.forEach((key, record) -> {
			if (!before.containsKey(key) && found.containsKey(key)) {
				retain(key, Optional.empty(), this.retention.withholdMillis(record.last(), found.get(key)), nowMillis);
			}
		});
	}

	private void retain(String key, Optional<PlatformStore.Entry> entry, OptionalLong millis, long nowMillis) {
		millis.ifPresent((duration) -> this.retained.put(key,
				new RetainedRecord(entry, (duration == Long.MAX_VALUE) ? Long.MAX_VALUE : nowMillis + duration)));
	}

	// The key was written in this era if the store holds it at another position.
	private boolean isReleasedBy(String key, PlatformStore.Entry found) {
		PlatformStore.Entry restored = this.stored.get(key);
		return !sameRecord(found, restored) && isReleased(key, Optional.ofNullable(found));
	}

	private boolean isReleased(String key, Optional<PlatformStore.Entry> written) {
		return this.retained.get(key).entry().filter((held) -> !this.retention.releases(held, written)).isEmpty();
	}

	private static boolean sameRecord(PlatformStore.Entry first, PlatformStore.Entry second) {
		return first == second || (first != null && second != null && first.revision() == second.revision()
				&& Arrays.equals(first.value(), second.value()));
	}

	/**
	 * Applies changes that follow a position that the replica includes.
	 * @param changes the changes, which are ignored if they are of another era
	 * @param nowMillis the current time, in milliseconds
	 * @return whether any key changed
	 */
	boolean apply(WatchableStore.Changes changes, long nowMillis) {
		if (changes.position().era() != this.position.era() && !this.position.equals(StorePosition.NONE)) {
			return false;
		}
		boolean changed = false;
		for (WatchableStore.Change change : changes.changes()) {
			if (change.position().isAfter(this.position)) {
				changed |= apply(change, nowMillis);
				appendToHistory(change);
			}
		}
		if (changes.position().isAfter(this.position)) {
			this.position = changes.position();
		}
		return changed;
	}

	private boolean apply(WatchableStore.Change change, long nowMillis) {
		PlatformStore.Entry current = this.stored.get(change.key());
		if (current != null && !change.position().isAfter(current.position())) {
			return false;
		}
		boolean existed = entry(change.key()).isPresent();
		Optional<PlatformStore.Entry> written = (change.value() != null)
				? Optional.of(new PlatformStore.Entry(change.key(), change.position(), change.value()))
				: Optional.empty();
		if (this.retained.containsKey(change.key()) && isReleased(change.key(), written)) {
			this.retained.remove(change.key());
		}
		this.changedKeys.add(change.key());
		if (written.isPresent()) {
			this.stored.put(change.key(), written.get());
			return true;
		}
		Optional.ofNullable(this.stored.remove(change.key())).ifPresent((last) -> rememberRemoved(last, nowMillis));
		return existed;
	}

	private void rememberRemoved(PlatformStore.Entry last, long nowMillis) {
		forgetRemoved(last.key());
		this.removed.put(last.key(), new RemovedRecord(last, nowMillis));
		this.removedBytes += last.value().length;
		while (this.removed.size() > MAX_REMOVED || this.removedBytes > MAX_REMOVED_BYTES) {
			forgetRemoved(this.removed.keySet().iterator().next());
		}
	}

	private void forgetRemoved(String key) {
		Optional.ofNullable(this.removed.remove(key))
			.ifPresent((record) -> this.removedBytes -= record.last().value().length);
	}

	/**
	 * Takes over a record that a peer retained, if it is newer than the one in effect.
	 * @param record the record, of an earlier era
	 * @return whether it was taken over
	 */
	boolean retainFromPeer(PlatformStore.Entry record) {
		if (!record.position().precedesEraOf(this.position)
				|| !this.retention.takesEffect(record, entry(record.key()))) {
			return false;
		}
		this.retained.put(record.key(), new RetainedRecord(Optional.of(record), Long.MAX_VALUE));
		this.changedKeys.add(record.key());
		return true;
	}

	/**
	 * Ends the effect of retained records whose time has passed.
	 * @param nowMillis the current time, in milliseconds
	 * @return whether there were any
	 */
	boolean expireRetained(long nowMillis) {
		return this.retained.entrySet().removeIf((kept) -> {
			boolean expired = kept.getValue().untilMillis() <= nowMillis;
			if (expired) {
				this.changedKeys.add(kept.getKey());
				kept.getValue()
					.entry()
					.filter((entry) -> !this.stored.containsKey(entry.key()))
					.ifPresent((entry) -> rememberRemoved(entry, nowMillis));
			}
			return expired;
		});
	}

	private void appendToHistory(WatchableStore.Change change) {
		forgetChange(change.key());
		this.history.put(change.key(), change);
		this.changedBytes += sizeOf(change);
		if (this.history.size() > MAX_CHANGED_KEYS) {
			WatchableStore.Change eldest = this.history.values().iterator().next();
			this.historyStart = eldest.position();
			forgetChange(eldest.key());
		}
	}

	private void forgetChange(String key) {
		Optional.ofNullable(this.history.remove(key)).ifPresent((change) -> this.changedBytes -= sizeOf(change));
	}

	private static long sizeOf(WatchableStore.Change change) {
		return (change.value() != null) ? change.value().length : 0;
	}

	/**
	 * Returns the size of the values in the history and of those that were removed.
	 * @return the number of bytes
	 */
	long historyBytes() {
		return this.changedBytes + this.removedBytes;
	}

	/**
	 * Finds the changes that a peer lacks.
	 * @param after the peer's position
	 * @return the last change of each key that changed after it, empty if the history no
	 * longer includes all of them, or if the peer is in another era
	 */
	Optional<WatchableStore.Changes> changesAfter(StorePosition after) {
		if (after.era() != this.position.era() || this.historyStart.isAfter(after)) {
			return Optional.empty();
		}
		return Optional.of(new WatchableStore.Changes(this.position,
				this.history.values().stream().filter((change) -> change.position().isAfter(after)).toList()));
	}

	/**
	 * A record of an earlier era that is in effect.
	 *
	 * @param entry the record, empty for one that was removed in the earlier era
	 * @param untilMillis the time until which it is in effect, in milliseconds
	 */
	private record RetainedRecord(Optional<PlatformStore.Entry> entry, long untilMillis) {

	}

	/**
	 * A record that was removed.
	 *
	 * @param last the record before its removal
	 * @param removedMillis the time of the removal, in milliseconds
	 */
	private record RemovedRecord(PlatformStore.Entry last, long removedMillis) {

	}

}
