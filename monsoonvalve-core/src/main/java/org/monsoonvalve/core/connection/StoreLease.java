package org.monsoonvalve.core.connection;

/**
 * A lease in the platform's store. Its number may belong to another lease in a later era
 * of the store.
 *
 * @author monsoonvalve maintainers
 * @param era the era of the store in which the lease was granted, 0 for a store that
 * doesn't state it
 * @param id the number of the lease
 */
public record StoreLease(long era, long id) {

	/** Attaches a key to no lease. */
	public static final StoreLease NONE = new StoreLease(0, 0);

	/**
	 * Returns a lease of a store that doesn't state its era.
	 * @param id the number of the lease
	 * @return the lease
	 */
	public static StoreLease of(long id) {
		return new StoreLease(0, id);
	}

}
