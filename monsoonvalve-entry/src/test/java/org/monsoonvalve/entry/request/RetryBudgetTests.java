package org.monsoonvalve.entry.request;

import org.testng.Assert;
import org.testng.annotations.Test;

public class RetryBudgetTests {

	@Test
	public void aFailingEndpointSeesOneRetryForTenRequests() {
		RetryBudget budget = RetryBudget.create();
		int retries = 0;
		for (int i = 0; i < 1000; i++) {
			budget.deposit();
			retries += budget.withdraw() ? 1 : 0;
		}
		Assert.assertEquals(retries, 110);
	}

}
