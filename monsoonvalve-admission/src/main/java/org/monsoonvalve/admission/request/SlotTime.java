package org.monsoonvalve.admission.request;

import org.monsoonvalve.admission.version.EngineTimings;

/**
 * The expected time for which a request takes a slot of an engine with half of its slots
 * in use. It is the same whatever the load is, so that a demand measured with it doesn't
 * depend on the groups that serve it.
 *
 * @author monsoonvalve maintainers
 */
public final class SlotTime {

	private static final double TOKENS_PER_MILLION_PAIRS = 1_000_000;

	private SlotTime() {
	}

	/**
	 * Returns the expected time. While a request runs, each other slot in use is taken by
	 * about one new request, whose prompt is processed in between.
	 * @param timings the engine's timings
	 * @param size the request's work
	 * @param pace the factor that the model applies to all times
	 * @return the time in milliseconds
	 */
	public static double millis(EngineTimings timings, WorkSize size, double pace) {
		int sequences = Math.max(1, timings.slots() / 2);
		double meanContextTokens = size.promptTokens() + size.outputTokens() / 2.0;
		double stepMillis = timings.stepMillis(sequences, Math.round(sequences * meanContextTokens));
		return pace * (sequences * promptMillis(timings, size.promptTokens()) + size.outputTokens() * stepMillis);
	}

	private static double promptMillis(EngineTimings timings, double promptTokens) {
		double linearMillis = (timings.prefillTokensPerMillis() > 0) ? promptTokens / timings.prefillTokensPerMillis()
				: 0;
		return linearMillis
				+ timings.prefillMillisPerMillionPairs() * promptTokens * promptTokens / 2 / TOKENS_PER_MILLION_PAIRS;
	}

}
