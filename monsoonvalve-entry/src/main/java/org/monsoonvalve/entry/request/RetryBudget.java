package org.monsoonvalve.entry.request;

import java.util.concurrent.atomic.AtomicLong;

import org.monsoonvalve.core.process.Mechanism;

/**
 * Limits retries to a share of requests, so that a failing endpoint never sees its load
 * multiplied.
 *
 * @author monsoonvalve maintainers
 */
public final class RetryBudget {

	private static final long RETRY_COST = 10;

	private static final long REQUEST_DEPOSIT = 1;

	private static final long MAX_BALANCE = 100 * RETRY_COST;

	private static final long INITIAL_BALANCE = 10 * RETRY_COST;

	private final AtomicLong balance = new AtomicLong(INITIAL_BALANCE);

	private RetryBudget() {
	}

	/**
	 * Creates a budget that allows ten retries at first and one for ten requests then.
	 * @return the budget
	 */
	public static RetryBudget create() {
		return new RetryBudget();
	}

	/**
	 * Notes a request.
	 */
	public void deposit() {
		this.balance.updateAndGet((before) -> Math.min(MAX_BALANCE, before + REQUEST_DEPOSIT));
	}

	/**
	 * Asks for a retry.
	 * @return {@code true} if the budget allows it
	 */
	public boolean withdraw() {
		if (!Mechanism.RETRY_BUDGET.on()) {
			return true;
		}
		long before = this.balance.getAndUpdate((now) -> (now >= RETRY_COST) ? now - RETRY_COST : now);
		return before >= RETRY_COST;
	}

}
