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
	 * Writes a key if its revision equals the expected one.
	 * @param key the key
	 * @param expectedRevision the expected revision, 0 if the key must not exist
	 * @param value the new value
	 * @param leaseId the lease to attach the key to, 0 for none
	 * @return the outcome
	 */
	CompletableFuture<WriteResult> write(String key, long expectedRevision, byte[] value, long leaseId);

	/**
	 * Deletes a key if its revision equals the expected one.
	 * @param key the key
	 * @param expectedRevision the expected revision
	 * @return the outcome
	 */
	CompletableFuture<WriteResult> delete(String key, long expectedRevision);

	/**
	 * Grants a lease.
	 * @param ttlSeconds the time to live without renewal, in seconds
	 * @return the lease's identifier
	 */
	CompletableFuture<Long> grantLease(long ttlSeconds);

	/**
	 * Renews a lease.
	 * @param leaseId the lease's identifier
	 * @return {@code false} if the lease has expired
	 */
	CompletableFuture<Boolean> renewLease(long leaseId);

	/**
	 * Revokes a lease and deletes its keys.
	 * @param leaseId the lease's identifier
	 * @return the completion of the revocation
	 */
	CompletableFuture<Void> revokeLease(long leaseId);

	/**
	 * A key with its value.
	 *
	 * @param key the key
	 * @param revision the revision of its last modification
	 * @param value the value
	 */
	record Entry(String key, long revision, byte[] value) {

	}

	/**
	 * The outcome of a read.
	 *
	 * @param revision the store's revision
	 * @param entries the keys found
	 */
	record Snapshot(long revision, List<Entry> entries) {

	}

	/**
	 * The outcome of a conditional write.
	 *
	 * @param succeeded whether the write took effect
	 * @param revision the store's revision after the write
	 * @param current the current entry of the key if the write did not take effect,
	 * {@code null} if the key does not exist
	 */
	record WriteResult(boolean succeeded, long revision, Entry current) {

	}

}
