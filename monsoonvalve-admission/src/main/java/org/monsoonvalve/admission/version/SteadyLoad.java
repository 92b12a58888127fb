package org.monsoonvalve.admission.version;

import org.monsoonvalve.admission.request.WorkSize;

/**
 * Estimates the latencies of an engine at which requests of a mean size arrive as fast as
 * others end.
 *
 * @author monsoonvalve maintainers
 * @param timings the engine's timings
 * @param pace the factor applied to all times of the model
 * @param meanSize the mean size of a request
 */
public record SteadyLoad(EngineTimings timings, double pace, WorkSize meanSize) {

	private static final double PAIRS_PER_MILLION = 1e6;

	/**
	 * Estimates the time to the first event. Passes of the running requests alternate
	 * with the prompts of those that replace them; a request beyond the slots waits for
	 * others to end.
	 * @param requests the number of requests at the engine, including the one in question
	 * @return the time in milliseconds
	 */
	public double firstEventMillis(double requests) {
		double running = Math.max(1, Math.min(requests, this.timings.slots()));
		double queued = Math.max(0, requests - this.timings.slots());
		double firstPass = this.timings.stepsPerPass() * stepMillis(running);
		return this.pace * (prefillMillis() + firstPass) * prefillStretch(running)
				+ queued * durationMillis(running) / running;
	}

	/**
	 * Estimates the time from the start of a request to its end.
	 * @param requests the number of requests that run at the same time
	 * @return the time in milliseconds
	 */
	public double durationMillis(double requests) {
		return this.pace * (outputTokens() * stepMillis(requests) + requests * prefillMillis());
	}

	/**
	 * Returns the highest utilisation at which a request meets its target.
	 * @param targetMillis the target for the first event, in milliseconds
	 * @return the ratio of requests to slots, at most 1, at least one request
	 */
	public double inTimeUtilisation(double targetMillis) {
		int requests = this.timings.slots();
		while (requests > 1 && firstEventMillis(requests) > targetMillis) {
			requests--;
		}
		return (double) requests / Math.max(1, this.timings.slots());
	}

	// During a request's run, each of the requests beside it is replaced once, and the
	// prompts of the new ones delay its passes.
	private double prefillStretch(double requests) {
		double decodeMillis = outputTokens() * stepMillis(requests);
		return (decodeMillis + requests * prefillMillis()) / decodeMillis;
	}

	private double stepMillis(double requests) {
		double contextTokens = requests * (this.meanSize.promptTokens() + this.meanSize.outputTokens() / 2.0);
		return this.timings.stepMillis((int) Math.round(requests), Math.round(contextTokens));
	}

	private double prefillMillis() {
		double tokens = this.meanSize.promptTokens();
		return tokens / this.timings.prefillTokensPerMillis()
				+ this.timings.prefillMillisPerMillionPairs() * tokens * tokens / 2 / PAIRS_PER_MILLION;
	}

	private double outputTokens() {
		return Math.max(this.timings.stepsPerPass(), this.meanSize.outputTokens());
	}

}
