package org.monsoonvalve.gateway.request;

import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.Test;

public class RetryBudgetTests {

	private final AtomicLong nowMillis = new AtomicLong();

	@Test
	public void allProcessesTogetherStayWithinTheLimit() {
		int processes = 8;
		long sent = 0;
		for (int process = 0; process < processes; process++) {
			RetryBudget budget = new RetryBudget(0.2, 107, 10_000, () -> processes, this.nowMillis::get);
			IntStream.range(0, 100).forEach((i) -> budget.recordRequest());
			sent += IntStream.range(0, 1000).filter((i) -> budget.tryAcquire()).count();
		}
		Assert.assertTrue(sent <= 0.2 * 100 * processes + 107, "sent " + sent);
		Assert.assertTrue(sent > 0);
	}

	@Test
	public void retriesAreAllowedAgainOnceTheWindowHasPassed() {
		RetryBudget budget = new RetryBudget(0, 10, 10_000, () -> 1, this.nowMillis::get);
		long first = IntStream.range(0, 100).filter((i) -> budget.tryAcquire()).count();
		this.nowMillis.addAndGet(9_999);
		Assert.assertFalse(budget.tryAcquire());
		this.nowMillis.addAndGet(1);
		Assert.assertEquals(IntStream.range(0, 100).filter((i) -> budget.tryAcquire()).count(), first);
	}

}
