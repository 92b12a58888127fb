package org.monsoonvalve.gateway.process;

import java.util.OptionalLong;

import org.monsoonvalve.core.connection.StorePosition;

/**
 * Tells whether an earlier conditional write of a key may still take effect. A write
 * without an answer may be carried out seconds later, as long as the key is at the
 * revision that the write expects; an acknowledged write moves the key to another
 * revision and so rules out all earlier ones. Writes of an earlier holder of the role are
 * unknown, so the first write of a holder has to be acknowledged as well.
 *
 * @author monsoonvalve maintainers
 */
final class WriteFence {

	private boolean acknowledged;

	private OptionalLong unansweredRevision = OptionalLong.empty();

	/**
	 * Assumes unanswered writes of an earlier holder of the role.
	 */
	void reset() {
		this.acknowledged = false;
		this.unansweredRevision = OptionalLong.empty();
	}

	/**
	 * Records a write whose outcome is unknown.
	 * @param expected the position that the write expects
	 */
	void unanswered(StorePosition expected) {
		this.unansweredRevision = OptionalLong.of(expected.revision());
	}

	/**
	 * Records a write that took effect.
	 */
	void acknowledged() {
		this.acknowledged = true;
		this.unansweredRevision = OptionalLong.empty();
	}

	/**
	 * Tells whether no earlier write can change the key any more. Eras are not compared,
	 * as a restored store may hold the key at the expected revision again.
	 * @param position the latest known position of the key
	 * @return {@code false} if the key must be written before anything relies on its
	 * value
	 */
	boolean holds(StorePosition position) {
		return this.acknowledged
				&& (this.unansweredRevision.isEmpty() || this.unansweredRevision.getAsLong() != position.revision());
	}

}
