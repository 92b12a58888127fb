package org.monsoonvalve.gateway.process;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.monsoonvalve.core.connection.PlatformStore;

/**
 * The platform's key-value service with a watch for changes.
 *
 * @author monsoonvalve maintainers
 */
public interface WatchableStore extends PlatformStore {

	/**
	 * Waits for changes after a revision, as a long poll.
	 * @param afterRevision the last revision that the caller has
	 * @param waitMillis the longest time that the store waits for a change, in
	 * milliseconds
	 * @return the changes; fails with
	 * {@link org.monsoonvalve.core.request.FailureCode#CONFLICT} if the store no longer
	 * keeps the changes after that revision
	 */
	CompletableFuture<Changes> changes(long afterRevision, long waitMillis);

	/**
	 * Reads all keys, perhaps as they were some seconds ago, which costs the store less
	 * than a current read.
	 * @return the keys at a revision, to be followed by {@link #changes} after it
	 */
	CompletableFuture<Snapshot> staleSnapshot();

	/**
	 * Changes of the store in the order of their revisions.
	 *
	 * @param revision the store's revision after these changes
	 * @param changes the changes
	 */
	record Changes(long revision, List<Change> changes) {

		/**
		 * Makes an immutable copy of the changes.
		 */
		public Changes {
			changes = List.copyOf(changes);
		}

	}

	/**
	 * A change of one key.
	 *
	 * @param key the key
	 * @param revision the store's revision after the change
	 * @param value the new value, {@code null} if the key was removed
	 */
	record Change(String key, long revision, byte[] value) {

	}

}
