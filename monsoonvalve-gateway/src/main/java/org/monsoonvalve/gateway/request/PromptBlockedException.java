package org.monsoonvalve.gateway.request;

import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.process.PromptBlock;

/**
 * Thrown when a request is not sent because a part of its prompt crashed endpoints.
 *
 * @author monsoonvalve maintainers
 */
final class PromptBlockedException extends ServingException {

	private static final double MILLIS_PER_SECOND = 1000;

	private final PromptPart part;

	private final double remainingSeconds;

	/**
	 * Creates an exception.
	 * @param block the block
	 * @param nowMillis the time of the block's clock, in milliseconds
	 */
	PromptBlockedException(PromptBlock block, long nowMillis) {
		super(FailureCode.PROMPT_BLOCKED, "part " + block.part().part() + " of the prompt crashed " + block.crashes()
				+ " endpoints; blocked since " + (nowMillis - block.sinceMillis()) + " ms");
		this.part = block.part().part();
		this.remainingSeconds = Math.max(1, (block.untilMillis() - nowMillis) / MILLIS_PER_SECOND);
	}

	PromptPart part() {
		return this.part;
	}

	/**
	 * Returns the time until the part may be tried again.
	 * @return the time in seconds, at least 1
	 */
	double remainingSeconds() {
		return this.remainingSeconds;
	}

}
