package org.monsoonvalve.core.connection;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Collects the content of a message of limited size in one array, whose memory is taken
 * from a budget. Not thread-safe.
 *
 * @author monsoonvalve maintainers
 */
final class ContentBuffer {

	private static final int INITIAL_BYTES = 1024;

	private static final byte[] EMPTY = new byte[0];

	private final MemoryBudget.Reservation reservation;

	private byte[] bytes = EMPTY;

	private int length;

	/**
	 * Creates an empty buffer.
	 * @param budget bounds the memory of all buffers
	 */
	ContentBuffer(MemoryBudget budget) {
		this.reservation = budget.reservation();
	}

	/**
	 * Appends bytes.
	 * @param part the bytes, which are consumed
	 * @param maxLength the largest length that the content can have, in bytes
	 * @return {@code false} if the budget is exhausted
	 */
	boolean append(ByteBuffer part, int maxLength) {
		int newLength = this.length + part.remaining();
		if (newLength > this.bytes.length) {
			int capacity = Math.max(newLength, Math.min(maxLength, Math.max(INITIAL_BYTES, 2 * this.bytes.length)));
			if (!this.reservation.resize(capacity)) {
				return false;
			}
			this.bytes = Arrays.copyOf(this.bytes, capacity);
		}
		part.get(this.bytes, this.length, part.remaining());
		this.length = newLength;
		return true;
	}

	/**
	 * Returns the number of bytes appended.
	 * @return the length in bytes
	 */
	int length() {
		return this.length;
	}

	/**
	 * Returns the content. Nothing may be appended afterwards.
	 * @return the bytes
	 */
	byte[] content() {
		if (this.bytes.length != this.length) {
			this.bytes = Arrays.copyOf(this.bytes, this.length);
			this.reservation.resize(this.length);
		}
		return this.bytes;
	}

	/**
	 * Returns the memory to the budget.
	 */
	void release() {
		this.reservation.close();
		this.bytes = EMPTY;
		this.length = 0;
	}

}
