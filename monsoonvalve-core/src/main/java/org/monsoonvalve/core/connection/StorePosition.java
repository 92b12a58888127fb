package org.monsoonvalve.core.connection;

import java.util.Comparator;

/**
 * A position in the history of the platform's store. A store that is restored from an
 * older copy begins another era, in which revisions of the lost history are assigned
 * again, so that revisions can be compared only within one era.
 *
 * @author monsoonvalve maintainers
 * @param era the number of the history, which rises with each restoration; 0 for a store
 * that doesn't state it
 * @param revision the revision within that history, 0 for none
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

	/** Comes before every position of a store. */
	public static final StorePosition NONE = new StorePosition(0, 0);

	private static final Comparator<StorePosition> ORDER = Comparator.comparingLong(StorePosition::era)
		.thenComparingLong(StorePosition::revision);

	/**
	 * Returns a position of a store that doesn't state its era.
	 * @param revision the revision
	 * @return the position
	 */
	public static StorePosition of(long revision) {
		return new StorePosition(0, revision);
	}

	/**
	 * Returns the position of another revision in the same era.
	 * @param otherRevision the revision
	 * @return the position
	 */
	public StorePosition at(long otherRevision) {
		return new StorePosition(this.era, otherRevision);
	}

	/**
	 * Tells whether this position comes later than another one.
	 * @param other the other position
	 * @return {@code true} if its era is later, or its revision in the same era
	 */
	public boolean isAfter(StorePosition other) {
		return compareTo(other) > 0;
	}

	/**
	 * Tells whether this position belongs to an earlier era than another one.
	 * @param other the other position
	 * @return {@code true} if its era is earlier, whatever the revisions are
	 */
	public boolean precedesEraOf(StorePosition other) {
		return this.era < other.era;
	}

	@Override
	public int compareTo(StorePosition other) {
		return ORDER.compare(this, other);
	}

	/**
	 * Returns the form that logs show.
	 * @return the era and the revision, separated by a slash
	 */
	@Override
	public String toString() {
		return this.era + "/" + this.revision;
	}

}
