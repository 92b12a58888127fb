package org.monsoonvalve.core.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Pauses of the calling thread.
 *
 * @author monsoonvalve maintainers
 */
public final class Sleep {

	private Sleep() {
	}

	/**
	 * Pauses the calling thread for the whole time, also when it is woken early.
	 * @param millis how long, in milliseconds
	 */
	public static void millis(long millis) {
		untilNanos(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis));
	}

	/**
	 * Pauses the calling thread until a time.
	 * @param deadlineNanos the time, as {@link System#nanoTime()} counts
	 */
	public static void untilNanos(long deadlineNanos) {
		long left = deadlineNanos - System.nanoTime();
		while (left > 0) {
			LockSupport.parkNanos(left);
			left = deadlineNanos - System.nanoTime();
		}
	}

}
