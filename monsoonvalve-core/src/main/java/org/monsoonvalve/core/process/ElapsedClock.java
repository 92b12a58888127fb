package org.monsoonvalve.core.process;

import java.time.Clock;
import java.util.function.LongSupplier;

/**
 * Measures elapsed time as the larger of the wall clock's and the monotonic clock's
 * progress, so that neither a paused virtual machine nor a stepped wall clock makes old
 * evidence look fresh.
 *
 * @author monsoonvalve maintainers
 */
public final class ElapsedClock {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final Clock clock;

	private final LongSupplier nanoTime;

	private ElapsedClock(Clock clock, LongSupplier nanoTime) {
		this.clock = clock;
		this.nanoTime = nanoTime;
	}

	/**
	 * Creates a clock over the system's wall clock and monotonic clock.
	 * @return the clock
	 */
	public static ElapsedClock system() {
		return new ElapsedClock(Clock.systemUTC(), System::nanoTime);
	}

	/**
	 * Creates a clock that follows the given wall clock only, as tests do that pause and
	 * advance it.
	 * @param clock the wall clock
	 * @return the clock
	 */
	public static ElapsedClock of(Clock clock) {
		return new ElapsedClock(clock, () -> clock.millis() * NANOS_PER_MILLI);
	}

	/**
	 * Reads both clocks.
	 * @return the present instant
	 */
	public Reading now() {
		return new Reading(this.clock.millis(), this.nanoTime.getAsLong() / NANOS_PER_MILLI);
	}

	/**
	 * Reads the wall clock.
	 * @return milliseconds since the epoch
	 */
	public long wallMillis() {
		return this.clock.millis();
	}

	/**
	 * Measures how long ago an instant was.
	 * @param since the earlier instant
	 * @return elapsed milliseconds, never negative
	 */
	public long elapsedMillis(Reading since) {
		Reading now = now();
		long wall = now.wallMillis() - since.wallMillis();
		long monotonic = now.monotonicMillis() - since.monotonicMillis();
		return Math.max(0, Math.max(wall, monotonic));
	}

	/**
	 * A reading of both clocks.
	 *
	 * @param wallMillis milliseconds since the epoch
	 * @param monotonicMillis milliseconds of the monotonic clock
	 */
	public record Reading(long wallMillis, long monotonicMillis) {

		/**
		 * Moves the reading into the past.
		 * @param millis how far, in milliseconds
		 * @return the earlier reading
		 */
		public Reading minusMillis(long millis) {
			return new Reading(this.wallMillis - millis, this.monotonicMillis - millis);
		}

	}

}
