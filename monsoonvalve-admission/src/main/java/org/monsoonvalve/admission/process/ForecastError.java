package org.monsoonvalve.admission.process;

import java.util.stream.IntStream;

/**
 * Tracks how the outcomes of a service's model differ from their forecasts. The median of
 * the recent differences corrects later forecasts, as single outcomes may be far off: an
 * engine stalls, or a caller's estimate of the output is wrong. The correction is a sum
 * rather than a factor, since what a forecast lacks, such as the time to set up a request
 * at the engine, doesn't grow with the engine's load. Not thread-safe.
 *
 * @author monsoonvalve maintainers
 */
public final class ForecastError {

	/**
	 * Number of outcomes kept. The median of 32 varies by less than a quarter of the
	 * deviation of one difference, and a process of a large fleet sees as many in some
	 * tens of seconds.
	 */
	private static final int WINDOW = 32;

	/** Fewer outcomes than this say too little about the median and the quartiles. */
	private static final int MIN_OUTCOMES = 8;

	/**
	 * Limit on the correction. Beyond it, the configuration describes other engines than
	 * those that run, and no correction makes up for that.
	 */
	private static final double MAX_OFFSET_MILLIS = 500;

	/**
	 * Ratio of the upper quartile to the lower one, of outcomes to corrected forecasts,
	 * above which forecasts are not used: an engine with all slots in use takes two to
	 * three times as long as an idle one, and a forecast with a larger error can't tell
	 * them apart.
	 */
	private static final double UNRELIABLE_QUARTILE_RATIO = 3;

	/** Ratio below which forecasts are used again, lower to avoid switching often. */
	private static final double RELIABLE_QUARTILE_RATIO = 2;

	/** Shortest time that is compared; shorter ones are errors of the clock. */
	private static final double MIN_MILLIS = 1;

	private final double[] forecasts = new double[WINDOW];

	private final double[] actuals = new double[WINDOW];

	private int recorded;

	private int next;

	private double offsetMillis;

	private boolean reliable = true;

	/**
	 * Records the outcome of a forecast.
	 * @param forecastMillis the forecast without correction, in milliseconds
	 * @param actualMillis the time that it took, in milliseconds
	 */
	public void record(double forecastMillis, double actualMillis) {
		this.forecasts[this.next] = forecastMillis;
		this.actuals[this.next] = actualMillis;
		this.next = (this.next + 1) % WINDOW;
		this.recorded = Math.min(WINDOW, this.recorded + 1);
		if (this.recorded >= MIN_OUTCOMES) {
			evaluate();
		}
	}

	private void evaluate() {
		double[] sorted = IntStream.range(0, this.recorded)
			.mapToDouble((i) -> this.actuals[i] - this.forecasts[i])
			.sorted()
			.toArray();
		this.offsetMillis = Math.max(-MAX_OFFSET_MILLIS, Math.min(MAX_OFFSET_MILLIS, sorted[this.recorded / 2]));
		double[] ratios = IntStream.range(0, this.recorded)
			.mapToDouble((i) -> Math.max(MIN_MILLIS, this.actuals[i]) / corrected(this.forecasts[i]))
			.sorted()
			.toArray();
		double quartileRatio = ratios[this.recorded * 3 / 4] / ratios[this.recorded / 4];
		this.reliable = quartileRatio < (this.reliable ? UNRELIABLE_QUARTILE_RATIO : RELIABLE_QUARTILE_RATIO);
	}

	/**
	 * Corrects a forecast.
	 * @param forecastMillis the forecast, in milliseconds
	 * @return the corrected forecast in milliseconds, at least 1
	 */
	public double corrected(double forecastMillis) {
		return Math.max(MIN_MILLIS, forecastMillis + this.offsetMillis);
	}

	/**
	 * Returns the time that is added to forecasts.
	 * @return the median difference of outcome and forecast within limits, in
	 * milliseconds, 0 before enough outcomes are known
	 */
	public double offsetMillis() {
		return this.offsetMillis;
	}

	/**
	 * Tells whether forecasts are accurate enough to rank endpoints.
	 * @return {@code false} while the ratios vary too much
	 */
	public boolean reliable() {
		return this.reliable;
	}

}
