package org.monsoonvalve.gateway.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StorePosition;

/**
 * A replica of the platform's store, updated by snapshots and changes from the store or
 * from peers. Its revision never decreases.
 *
 * @author monsoonvalve maintainers
 */
final class StoreReplica {

	/** Changes kept for peers; about a minute of changes on the busiest day. */
	private static final int MAX_HISTORY_CHANGES = 2000;

	private final Map<String, PlatformStore.Entry> entries = new HashMap<>();

	private final Deque<WatchableStore.Change> history = new ArrayDeque<>();

	private final Set<String> changedKeys = new HashSet<>();

	private long historyStartRevision;

	private long revision;

	long revision() {
		return this.revision;
	}

	Collection<PlatformStore.Entry> entries() {
		return this.entries.values();
	}

	/**
	 * Returns an entry.
	 * @param key the entry's key
	 * @return the entry, empty if the key doesn't exist
	 */
	Optional<PlatformStore.Entry> entry(String key) {
		return Optional.ofNullable(this.entries.get(key));
	}

	/**
	 * Returns the keys that were added, changed or removed since the last call.
	 * @return the keys
	 */
	Set<String> takeChangedKeys() {
		Set<String> taken = Set.copyOf(this.changedKeys);
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

	private boolean hasRevision(String key, long expected) {
		return entry(key).filter((current) -> current.revision() == expected).isPresent();
	}

	/**
	 * Replaces the content by a snapshot. A key that the snapshot lacks is removed until
	 * a later change adds it.
	 * @param snapshot all keys at a revision
	 * @return {@code false} if the snapshot is older than the replica and was ignored
	 */
	boolean reset(PlatformStore.Snapshot snapshot) {
		if (snapshot.revision() < this.revision) {
			return false;
		}
		Map<String, PlatformStore.Entry> snapshotEntries = new HashMap<>();
		snapshot.entries().forEach((entry) -> snapshotEntries.put(entry.key(), entry));
		snapshotEntries.values()
			.stream()
			.filter((entry) -> !hasRevision(entry.key(), entry.revision()))
			.forEach((entry) -> this.changedKeys.add(entry.key()));
		this.entries.keySet()
			.stream()
			.filter((key) -> !snapshotEntries.containsKey(key))
			.forEach(this.changedKeys::add);
		this.entries.clear();
		this.entries.putAll(snapshotEntries);
		this.revision = snapshot.revision();
		this.history.clear();
		this.historyStartRevision = this.revision;
		return true;
	}

	/**
	 * Applies changes that follow a revision that the replica includes.
	 * @param changes the changes
	 * @return whether any key changed
	 */
	boolean apply(WatchableStore.Changes changes) {
		boolean changed = false;
		for (WatchableStore.Change change : changes.changes()) {
			if (change.position().revision() > this.revision) {
				changed |= apply(change);
				appendToHistory(change);
			}
		}
		this.revision = Math.max(this.revision, changes.position().revision());
		return changed;
	}

	private boolean apply(WatchableStore.Change change) {
		PlatformStore.Entry current = this.entries.get(change.key());
		if (current != null && current.revision() >= change.position().revision()) {
			return false;
		}
		this.changedKeys.add(change.key());
		if (change.value() == null) {
			return this.entries.remove(change.key()) != null;
		}
		this.entries.put(change.key(), new PlatformStore.Entry(change.key(), change.position(), change.value()));
		return true;
	}

	private void appendToHistory(WatchableStore.Change change) {
		this.history.add(change);
		if (this.history.size() > MAX_HISTORY_CHANGES) {
			this.historyStartRevision = this.history.remove().position().revision();
		}
	}

	/**
	 * Finds the changes that a peer lacks.
	 * @param afterRevision the peer's revision
	 * @return the changes, empty if the history no longer includes all of them
	 */
	Optional<WatchableStore.Changes> changesAfter(long afterRevision) {
		if (afterRevision < this.historyStartRevision) {
			return Optional.empty();
		}
		List<WatchableStore.Change> missing = new ArrayList<>();
		this.history.stream().filter((change) -> change.position().revision() > afterRevision).forEach(missing::add);
		return Optional.of(new WatchableStore.Changes(StorePosition.of(this.revision), missing));
	}

}
