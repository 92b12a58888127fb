package org.monsoonvalve.core.connection;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service as the system uses it. Every method fails with
 * {@link org.monsoonvalve.core.request.FailureCode#PLATFORM_UNAVAILABLE} when the
 * platform does not answer; a write may have taken effect then.
 *
 * @author monsoonvalve maintainers
 */
public interface PlatformStore {

	/**
	 * Reads the keys that start with a prefix.
	 * @param prefix the prefix
	 * @param leastRevision the least revision of the keys wanted, 0 for all
	 * @return the keys and the store's revision
	 */
	CompletableFuture<Snapshot> read(String prefix, long leastRevision);

	/**
	 * Writes a key if its revision is the expected one.
	 * @param key the key
	 * @param expectedRevision the expected revision, 0 if the key must not exist
	 * @param value the new value
	 * @param leaseId the lease that the key ends with, 0 for none
	 * @return the outcome
	 */
	CompletableFuture<WriteResult> write(String key, long expectedRevision, byte[] value, long leaseId);

	/**
	 * Deletes a key if its revision is the expected one.
	 * @param key the key
	 * @param expectedRevision the expected revision
	 * @return the outcome
	 */
	CompletableFuture<WriteResult> delete(String key, long expectedRevision);

	/**
	 * Grants a lease.
	 * @param ttlSeconds how long it lasts without renewal, in seconds
	 * @return the lease's identifier
	 */
	CompletableFuture<Long> grantLease(long ttlSeconds);

	/**
	 * Renews a lease.
	 * @param leaseId the lease's identifier
	 * @return {@code false} if the lease has ended
	 */
	CompletableFuture<Boolean> renewLease(long leaseId);

	/**
	 * Ends a lease and deletes its keys.
	 * @param leaseId the lease's identifier
	 * @return done
	 */
	CompletableFuture<Void> revokeLease(long leaseId);

	/**
	 * A key with its value.
	 *
	 * @param key the key
	 * @param revision the revision of its last write
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
	 * @param succeeded whether it took effect
	 * @param revision the store's revision after it
	 * @param current what the key holds if the write did not take effect, {@code null} if
	 * the key does not exist
	 */
	record WriteResult(boolean succeeded, long revision, Entry current) {

	}

}
