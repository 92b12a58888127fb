package org.monsoonvalve.core.process;

import java.time.Clock;
import java.util.function.LongSupplier;

/**
 * Measures elapsed time as the larger of the wall clock's and the monotonic clock's
 * progress. The monotonic clock may stop while a VM is paused, and the wall clock may be
 * set back; taking the larger keeps either from making old data look recent.
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
	 * Creates a clock that reads the system's wall clock and monotonic clock.
	 * @return the clock
	 */
	public static ElapsedClock system() {
		return new ElapsedClock(Clock.systemUTC(), System::nanoTime);
	}

	/**
	 * Creates a clock that takes both readings from the given wall clock, for tests that
	 * control the time.
	 * @param clock the wall clock
	 * @return the clock
	 */
	public static ElapsedClock of(Clock clock) {
		return new ElapsedClock(clock, () -> clock.millis() * NANOS_PER_MILLI);
	}

	/**
	 * Reads both clocks.
	 * @return the current reading
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
	 * Returns the time elapsed since an earlier reading.
	 * @param since the earlier reading
	 * @return elapsed milliseconds, at least 0
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
	 * @param monotonicMillis milliseconds of the monotonic clock, from an arbitrary
	 * origin
	 */
	public record Reading(long wallMillis, long monotonicMillis) {

		/**
		 * Returns the reading shifted into the past.
		 * @param millis the shift in milliseconds
		 * @return the earlier reading
		 */
		public Reading minusMillis(long millis) {
			return new Reading(this.wallMillis - millis, this.monotonicMillis - millis);
		}

	}

}
