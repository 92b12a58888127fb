package org.monsoonvalve.admission.request;

/**
 * The work of a request at an engine.
 *
 * @author monsoonvalve maintainers
 * @param promptTokens the tokens of the prompt
 * @param outputTokens the expected number of generated tokens
 */
public record WorkSize(int promptTokens, int outputTokens) {

	/**
	 * Creates a size.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public WorkSize {
		if (promptTokens < 0 || outputTokens < 0) {
			throw new IllegalArgumentException("negative number of tokens");
		}
	}

	/**
	 * Returns the pairs of a prompt token and an earlier one, which attention compares.
	 * @return the number of pairs
	 */
	public long promptPairs() {
		return (long) this.promptTokens * this.promptTokens / 2;
	}

	/**
	 * Returns the tokens of the KV cache that the request needs before it ends.
	 * @return the number of tokens
	 */
	public long memoryTokens() {
		return (long) this.promptTokens + this.outputTokens;
	}

}
