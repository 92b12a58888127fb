package org.monsoonvalve.admission.connection;

/**
 * The requests that an engine holds. Numbers may be expected values, so they need not be
 * whole.
 *
 * @author monsoonvalve maintainers
 * @param requests the running and queued requests
 * @param contextTokens the processed prompt tokens and generated tokens of the requests
 * @param promptTokens the prompt tokens of the requests without a first event
 * @param promptPairs the pairs of a token and an earlier one in these prompts
 * @param remainingTokens the tokens that are still to be generated, of all requests
 * @param remainingSquares the sum of the squares of each request's remaining tokens
 */
public record EngineLoad(double requests, double contextTokens, double promptTokens, double promptPairs,
		double remainingTokens, double remainingSquares) {

	private static final EngineLoad NONE = new EngineLoad(0, 0, 0, 0, 0, 0);

	/**
	 * Returns the load of an engine without requests.
	 * @return the load
	 */
	public static EngineLoad none() {
		return NONE;
	}

	/**
	 * Adds the requests of another load.
	 * @param other the other load
	 * @return the sum
	 */
	public EngineLoad plus(EngineLoad other) {
		return new EngineLoad(this.requests + other.requests, this.contextTokens + other.contextTokens,
				this.promptTokens + other.promptTokens, this.promptPairs + other.promptPairs,
				this.remainingTokens + other.remainingTokens, this.remainingSquares + other.remainingSquares);
	}

	/**
	 * Returns the mean number of tokens that a request still generates.
	 * @return the mean, 0 without requests
	 */
	public double meanRemainingTokens() {
		return (this.requests > 0) ? this.remainingTokens / this.requests : 0;
	}

	/**
	 * Returns the standard deviation of the number of tokens that a request still
	 * generates. It is small for requests of one kind that started together.
	 * @return the standard deviation, 0 without requests
	 */
	public double deviationOfRemainingTokens() {
		double mean = meanRemainingTokens();
		return (this.requests > 0) ? Math.sqrt(Math.max(0, this.remainingSquares / this.requests - mean * mean)) : 0;
	}

}
