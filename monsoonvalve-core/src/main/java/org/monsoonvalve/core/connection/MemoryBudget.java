package org.monsoonvalve.core.connection;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A bound on the bytes that many connections keep together. Thread-safe.
 *
 * @author monsoonvalve maintainers
 */
public final class MemoryBudget {

	private final long maxBytes;

	private final AtomicLong reservedBytes = new AtomicLong();

	private MemoryBudget(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Creates a budget.
	 * @param maxBytes the bound, in bytes
	 * @return the budget, of which nothing is reserved
	 */
	public static MemoryBudget of(long maxBytes) {
		return new MemoryBudget(maxBytes);
	}

	/**
	 * Creates a budget that is a part of the largest heap of this process.
	 * @param divisor the number of equal parts
	 * @return the budget, of which nothing is reserved
	 */
	public static MemoryBudget ofHeap(int divisor) {
		return of(Runtime.getRuntime().maxMemory() / divisor);
	}

	/**
	 * Creates an empty reservation.
	 * @return the reservation
	 */
	public Reservation reservation() {
		return new Reservation();
	}

	/**
	 * Returns the sum of all reservations.
	 * @return the number of bytes
	 */
	public long reservedBytes() {
		return this.reservedBytes.get();
	}

	private boolean tryAdd(long bytes) {
		if (this.reservedBytes.addAndGet(bytes) <= this.maxBytes || bytes <= 0) {
			return true;
		}
		this.reservedBytes.addAndGet(-bytes);
		return false;
	}

	/**
	 * The part of the budget that one user has reserved. Thread-safe.
	 */
	public final class Reservation implements AutoCloseable {

		private long bytes;

		private boolean closed;

		private Reservation() {
		}

		/**
		 * Changes the size of the reservation.
		 * @param newBytes the new size, in bytes
		 * @return {@code false} if it would exceed the budget; the size is then unchanged
		 */
		public synchronized boolean resize(long newBytes) {
			if (this.closed || !tryAdd(newBytes - this.bytes)) {
				return false;
			}
			this.bytes = newBytes;
			return true;
		}

		/**
		 * Increases or decreases the reservation.
		 * @param addedBytes the change, in bytes, negative to decrease it
		 * @return {@code false} if it would exceed the budget; the size is then unchanged
		 */
		public synchronized boolean add(long addedBytes) {
			return resize(this.bytes + addedBytes);
		}

		/**
		 * Returns the size of the reservation.
		 * @return the number of bytes
		 */
		public synchronized long bytes() {
			return this.bytes;
		}

		/**
		 * Ends the reservation, which can't be used again. Ending it twice has no effect.
		 */
		@Override
		public synchronized void close() {
			tryAdd(-this.bytes);
			this.bytes = 0;
			this.closed = true;
		}

	}

}
