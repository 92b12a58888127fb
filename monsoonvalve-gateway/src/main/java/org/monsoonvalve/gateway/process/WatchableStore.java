package org.monsoonvalve.gateway.process;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StorePosition;

/**
 * The platform's key-value service with a watch for changes.
 *
 * @author monsoonvalve maintainers
 */
public interface WatchableStore extends PlatformStore {

	/**
	 * Waits for changes after a position, as a long poll.
	 * @param after the last position that the caller has
	 * @param waitMillis the longest time that the store waits for a change, in
	 * milliseconds
	 * @return the changes; fails with
	 * {@link org.monsoonvalve.core.request.FailureCode#CONFLICT} if the store no longer
	 * keeps the changes after that position, and with
	 * {@link org.monsoonvalve.core.request.FailureCode#ANSWER_TOO_LARGE} if they are
	 * larger than a response may be
	 */
	CompletableFuture<Changes> changes(StorePosition after, long waitMillis);

	/**
	 * Reads all keys, perhaps as they were some seconds ago, which costs the store less
	 * than a current read.
	 * @return the keys at a revision, to be followed by {@link #changes} after it
	 */
	CompletableFuture<Snapshot> staleSnapshot();

	/**
	 * Changes of the store in the order of their positions.
	 *
	 * @param position the store's position after these changes
	 * @param changes the changes
	 */
	record Changes(StorePosition position, List<Change> changes) {

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
	 * @param position the store's position after the change
	 * @param value the new value, {@code null} if the key was removed
	 */
	record Change(String key, StorePosition position, byte[] value) {

	}

}
