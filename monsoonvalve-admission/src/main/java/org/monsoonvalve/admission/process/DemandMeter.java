package org.monsoonvalve.admission.process;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

import org.monsoonvalve.admission.version.ServedModel;

/**
 * Measures the demand for each model in one process, in slots: slot-seconds of the
 * requests that arrived per second, refused ones included. The mean over 4 s keeps 85% of
 * the amplitude of a wave of 13 s. Longer smoothing is left to the planner, which adds up
 * the demands first: the crests of single processes are mostly chance. Not thread-safe.
 *
 * @author monsoonvalve maintainers
 */
public final class DemandMeter {

	static final int WINDOW_SECONDS = 4;

	private static final double MILLIS_PER_SECOND = 1000;

	/** Bound on the models that are counted; services have a few. */
	private static final int MAX_MODELS = 64;

	private final Map<ServedModel, Window> windows = new HashMap<>();

	private final long startSecond;

	/**
	 * Creates a meter.
	 * @param nowMillis the current time, in milliseconds
	 */
	public DemandMeter(long nowMillis) {
		this.startSecond = secondOf(nowMillis);
	}

	private static long secondOf(long nowMillis) {
		return Math.floorDiv(nowMillis, (long) MILLIS_PER_SECOND);
	}

	/**
	 * Counts a request.
	 * @param model the model that it is for
	 * @param slotMillis the time for which it is expected to take a slot, in milliseconds
	 * @param nowMillis the current time, in milliseconds
	 */
	public void arrived(ServedModel model, double slotMillis, long nowMillis) {
		Window window = this.windows.get(model);
		if (window == null && this.windows.size() < MAX_MODELS) {
			window = new Window();
			this.windows.put(model, window);
		}
		if (window != null && slotMillis > 0) {
			window.add(secondOf(nowMillis), slotMillis);
		}
	}

	/**
	 * Returns the demands of the last complete seconds.
	 * @param nowMillis the current time, in milliseconds
	 * @return the demand in slots by model, for each model that was ever requested
	 */
	public Map<ServedModel, Double> slots(long nowMillis) {
		long second = secondOf(nowMillis);
		double seconds = Math.max(1, Math.min(WINDOW_SECONDS, second - this.startSecond));
		ToDoubleFunction<Window> slots = (window) -> window.sumBefore(second) / MILLIS_PER_SECOND / seconds;
		return this.windows.entrySet()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> slots.applyAsDouble(entry.getValue())));
	}

	/**
	 * The slot-milliseconds of the present second and the ones before it.
	 */
	private static final class Window {

		private final double[] sums = new double[WINDOW_SECONDS + 1];

		private long lastSecond = Long.MIN_VALUE / 2;

		private void advance(long second) {
			if (second - this.lastSecond > WINDOW_SECONDS) {
				Arrays.fill(this.sums, 0);
				this.lastSecond = second;
			}
			while (this.lastSecond < second) {
				this.lastSecond++;
				this.sums[indexOf(this.lastSecond)] = 0;
			}
		}

		private int indexOf(long second) {
			return (int) Math.floorMod(second, (long) this.sums.length);
		}

		private void add(long second, double slotMillis) {
			advance(second);
			this.sums[indexOf(second)] += slotMillis;
		}

		private double sumBefore(long second) {
			advance(second);
			return Arrays.stream(this.sums).sum() - this.sums[indexOf(second)];
		}

	}

}
