package org.monsoonvalve.core.connection;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Access to the platform's key-value service. Every method fails with
 * {@link org.monsoonvalve.core.request.FailureCode#PLATFORM_UNAVAILABLE} when the
 * platform does not respond; a write may have taken effect nevertheless.
 *
 * @author monsoonvalve maintainers
 */
public interface PlatformStore {

	/**
	 * Reads the keys with a prefix.
	 * @param prefix the prefix
	 * @param minModRevision the minimum modification revision of the keys, 0 for all
	 * @return the keys and the store's revision
	 */
	CompletableFuture<Snapshot> read(String prefix, long minModRevision);

	/**
	 * Writes a key if its position equals the expected one.
	 * @param key the key
	 * @param expected the expected position, with revision 0 if the key must not exist
	 * @param value the new value
	 * @param lease the lease to attach the key to, {@link StoreLease#NONE} for none
	 * @return the outcome
	 */
	CompletableFuture<WriteResult> write(String key, StorePosition expected, byte[] value, StoreLease lease);

	/**
	 * Deletes a key if its position equals the expected one.
	 * @param key the key
	 * @param expected the expected position
	 * @return the outcome
	 */
	CompletableFuture<WriteResult> delete(String key, StorePosition expected);

	/**
	 * Grants a lease.
	 * @param ttlSeconds the time to live without renewal, in seconds
	 * @return the lease
	 */
	CompletableFuture<StoreLease> grantLease(long ttlSeconds);

	/**
	 * Renews a lease.
	 * @param lease the lease
	 * @return {@code false} if the lease has expired or the store is in another era
	 */
	CompletableFuture<Boolean> renewLease(StoreLease lease);

	/**
	 * Revokes a lease and deletes its keys.
	 * @param lease the lease
	 * @return the completion of the revocation
	 */
	CompletableFuture<Void> revokeLease(StoreLease lease);

	/**
	 * A key with its value.
	 *
	 * @param key the key
	 * @param position the position of its last modification
	 * @param value the value
	 */
	record Entry(String key, StorePosition position, byte[] value) {

		/**
		 * Creates an entry of a store that doesn't state its era.
		 * @param key the key
		 * @param revision the revision of its last modification
		 * @param value the value
		 */
		public Entry(String key, long revision, byte[] value) {
			this(key, StorePosition.of(revision), value);
		}

		/**
		 * Returns the revision of the last modification.
		 * @return the revision, which belongs to the era of the position
		 */
		public long revision() {
			return this.position.revision();
		}

	}

	/**
	 * The outcome of a read.
	 *
	 * @param position the store's position
	 * @param entries the keys found
	 */
	record Snapshot(StorePosition position, List<Entry> entries) {

		/**
		 * Creates a snapshot of a store that doesn't state its era.
		 * @param revision the store's revision
		 * @param entries the keys found
		 */
		public Snapshot(long revision, List<Entry> entries) {
			this(StorePosition.of(revision), entries);
		}

		/**
		 * Returns the store's revision.
		 * @return the revision, which belongs to the era of the position
		 */
		public long revision() {
			return this.position.revision();
		}

	}

	/**
	 * The outcome of a conditional write.
	 *
	 * @param succeeded whether the write took effect
	 * @param position the store's position after the write
	 * @param current the current entry of the key if the write did not take effect,
	 * {@code null} if the key does not exist
	 */
	record WriteResult(boolean succeeded, StorePosition position, Entry current) {

		/**
		 * Creates an outcome at a store that doesn't state its era.
		 * @param succeeded whether the write took effect
		 * @param revision the store's revision after the write
		 * @param current the current entry of the key if the write did not take effect,
		 * {@code null} if the key does not exist
		 */
		public WriteResult(boolean succeeded, long revision, Entry current) {
			this(succeeded, StorePosition.of(revision), current);
		}

		/**
		 * Returns the store's revision after the write.
		 * @return the revision, which belongs to the era of the position
		 */
		public long revision() {
			return this.position.revision();
		}

	}

}
