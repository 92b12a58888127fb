package org.monsoonvalve.gateway.process;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DrainScheduleTests {

	@DataProvider
	public Object[][] graceMillis() {
		return new Object[][] { { 500L }, { 1000L }, { 2000L }, { 3000L }, { 4000L }, { 5000L }, { 8000L }, { 30_000L },
				{ 120_000L } };
	}

	// With a grace time shorter than the fixed times, requests were accepted until the
	// end
	// and cut off, or the process was killed.
	@Test(dataProvider = "graceMillis")
	public void requestsAreAcceptedOnlyWhileTheyHaveTimeBeforeTheEnd(long graceMillis) {
		DrainSchedule schedule = DrainSchedule.of(graceMillis);
		Assert.assertTrue(schedule.acceptMillis() <= 3000, "later requests may be cut off only by mistake");
		Assert.assertTrue(schedule.acceptMillis() * 2 <= schedule.endMillis());
		Assert.assertTrue(schedule.minMillis() <= schedule.endMillis());
		Assert.assertTrue(schedule.endMillis() < graceMillis);
		Assert.assertTrue(schedule.endMillis() * 6 >= graceMillis * 5,
				"work in progress is ended only in the last sixth of the grace time");
	}

	@Test
	public void theLoadBalancerHasTimeToNotice() {
		Assert.assertTrue(DrainSchedule.of(8000).minMillis() >= 3000);
	}

}
