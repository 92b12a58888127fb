package org.monsoonvalve.admission.process;

import java.util.Arrays;

/**
 * The highest value of a demand over somewhat more than one wave, smoothed. Capacity must
 * suffice at the crest of a wave, and loads take longer than a wave lasts, so the
 * division of VMs must not follow the wave. Not thread-safe.
 *
 * @author monsoonvalve maintainers
 */
final class Crest {

	/** Seconds over which the highest value counts; waves take 10 to 13 s. */
	static final int WINDOW_SECONDS = 14;

	private static final double SMOOTHING_MILLIS = 10_000;

	private static final long MILLIS_PER_SECOND = 1000;

	private final double[] samples = new double[WINDOW_SECONDS];

	private final long startMillis;

	private long lastSecond;

	private long lastMillis;

	private double smoothed;

	Crest(long nowMillis) {
		this.startMillis = nowMillis;
		this.lastMillis = nowMillis;
		this.lastSecond = Math.floorDiv(nowMillis, MILLIS_PER_SECOND);
	}

	/**
	 * Adds a value.
	 * @param value the value
	 * @param nowMillis the current time, in milliseconds
	 */
	void add(double value, long nowMillis) {
		long second = Math.floorDiv(nowMillis, MILLIS_PER_SECOND);
		for (long skipped = Math.max(this.lastSecond + 1, second - WINDOW_SECONDS + 1); skipped <= second; skipped++) {
			this.samples[indexOf(skipped)] = 0;
		}
		this.lastSecond = second;
		this.samples[indexOf(second)] = Math.max(value, this.samples[indexOf(second)]);
		double highest = Arrays.stream(this.samples).max().orElse(0);
		double weight = complete(nowMillis) ? 1 - Math.exp(-(nowMillis - this.lastMillis) / SMOOTHING_MILLIS) : 1;
		this.smoothed += weight * (highest - this.smoothed);
		this.lastMillis = nowMillis;
	}

	private static int indexOf(long second) {
		return (int) Math.floorMod(second, (long) WINDOW_SECONDS);
	}

	/**
	 * Returns the smoothed crest.
	 * @return the crest
	 */
	double value() {
		return this.smoothed;
	}

	/**
	 * Returns the time for which the value has been observed.
	 * @param nowMillis the current time, in milliseconds
	 * @return the time since the creation, in milliseconds
	 */
	long observedMillis(long nowMillis) {
		return nowMillis - this.startMillis;
	}

	/**
	 * Tells whether the values cover a whole wave.
	 * @param nowMillis the current time, in milliseconds
	 * @return {@code false} if all of them may be from the trough of a wave
	 */
	boolean complete(long nowMillis) {
		return nowMillis - this.startMillis >= WINDOW_SECONDS * MILLIS_PER_SECOND;
	}

}
