package org.monsoonvalve.core.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Suspends the calling thread without throwing {@link InterruptedException}.
 *
 * @author monsoonvalve maintainers
 */
public final class Sleep {

	private Sleep() {
	}

	/**
	 * Suspends the calling thread for the full duration, despite spurious wakeups and
	 * interrupts.
	 * @param millis the duration in milliseconds
	 */
	public static void millis(long millis) {
		untilNanos(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis));
	}

	/**
	 * Suspends the calling thread until a deadline.
	 * @param deadlineNanos the deadline in nanoseconds of {@link System#nanoTime()}
	 */
	public static void untilNanos(long deadlineNanos) {
		long remainingNanos = deadlineNanos - System.nanoTime();
		while (remainingNanos > 0) {
			LockSupport.parkNanos(remainingNanos);
			remainingNanos = deadlineNanos - System.nanoTime();
		}
	}

}
