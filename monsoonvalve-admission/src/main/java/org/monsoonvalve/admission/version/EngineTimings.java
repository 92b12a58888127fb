package org.monsoonvalve.admission.version;

/**
 * Capacity and timing of an inference engine, from the configuration. All times apply to
 * a model with a pace of 1.
 *
 * @author monsoonvalve maintainers
 * @param slots the maximum number of concurrent requests
 * @param memoryTokens the capacity of the KV cache, in tokens
 * @param stepMillis the base duration of a step, in milliseconds
 * @param stepMillisPerSequence the time that each running request adds to a step, in
 * milliseconds
 * @param stepMillisPerThousandContextTokens the time that each 1,000 tokens of context
 * add to a step, in milliseconds
 * @param stepsPerPass the number of steps in a pass, each of which generates a token of
 * each stream; a pass yields one event
 * @param prefillTokensPerMillis the prompt tokens processed per millisecond
 * @param prefillMillisPerMillionPairs the time that each million pairs of a prompt token
 * and an earlier one adds, in milliseconds
 * @param chunkTokens the maximum number of prompt tokens processed in a step
 * @param reportLagMillis the age of the load that the engine reports, in milliseconds
 */
public record EngineTimings(int slots, long memoryTokens, double stepMillis, double stepMillisPerSequence,
		double stepMillisPerThousandContextTokens, int stepsPerPass, double prefillTokensPerMillis,
		double prefillMillisPerMillionPairs, int chunkTokens, long reportLagMillis) {

	/**
	 * Ratio of a step's duration with all slots in use to its base duration from which on
	 * the choice of the engine decides whether targets are met.
	 */
	private static final double BATCH_SENSITIVE_RATIO = 1.5;

	private static final double TOKENS_PER_THOUSAND = 1000;

	private static final double PAIRS_PER_MILLION = 1e6;

	/**
	 * Returns the duration of a step.
	 * @param sequences the number of running requests, which may be an expected value
	 * @param contextTokens the tokens of their prompts and outputs so far
	 * @return the duration in milliseconds
	 */
	public double stepMillis(double sequences, double contextTokens) {
		return this.stepMillis + this.stepMillisPerSequence * sequences
				+ this.stepMillisPerThousandContextTokens * contextTokens / TOKENS_PER_THOUSAND;
	}

	/**
	 * Returns the time that processing prompts adds to the steps that process them.
	 * @param tokens the prompt tokens
	 * @param pairs the pairs of a prompt token and an earlier one of the same prompt
	 * @return the time in milliseconds, 0 for the tokens if their rate isn't configured
	 */
	public double promptMillis(double tokens, double pairs) {
		double tokensMillis = (this.prefillTokensPerMillis > 0) ? tokens / this.prefillTokensPerMillis : 0;
		return tokensMillis + this.prefillMillisPerMillionPairs * pairs / PAIRS_PER_MILLION;
	}

	/**
	 * Returns the steps that process prompts when nothing else limits them.
	 * @param tokens the prompt tokens
	 * @return the number of steps, including a fraction for a chunk that isn't full
	 */
	public double promptSteps(double tokens) {
		return tokens / Math.max(1, this.chunkTokens);
	}

	/**
	 * Returns the duration of a pass with all slots in use, without context.
	 * @return the duration in milliseconds
	 */
	public double fullPassMillis() {
		return this.stepsPerPass * stepMillis(this.slots, 0);
	}

	/**
	 * Tells whether requests take noticeably longer the more of them run together, so
	 * that the number of requests alone says too little about their latency.
	 * @return {@code true} if a step with all slots in use takes at least 1.5 times its
	 * base duration
	 */
	public boolean batchSensitive() {
		return stepMillis(this.slots, 0) >= BATCH_SENSITIVE_RATIO * this.stepMillis;
	}

}
