package org.monsoonvalve.core.process;

import org.monsoonvalve.core.connection.PeerFrame;
import org.testng.Assert;
import org.testng.annotations.Test;

public class LeavingVmsTests {

	private final ManualClock wall = new ManualClock();

	private final LeavingVms leaving = LeavingVms.of(ElapsedClock.of(this.wall));

	@Test
	public void containsAndReturnsRecentObservations() {
		this.leaving.add(new PeerFrame.LeavingVm("vm-1", 100));
		Assert.assertTrue(this.leaving.contains("vm-1"));
		Assert.assertTrue(this.leaving.recent().stream().anyMatch((observation) -> observation.vm().equals("vm-1")));
	}

	@Test
	public void expiresVmsThatTheListNoLongerReports() {
		this.leaving.add(new PeerFrame.LeavingVm("vm-2", 0));
		this.wall.advance(20_001);
		Assert.assertFalse(this.leaving.contains("vm-2"));
	}

	@Test
	public void keepsTheAgeOfAnObservationReceivedFromAPeer() {
		this.leaving.add(new PeerFrame.LeavingVm("vm-3", 15_000));
		this.wall.advance(6000);
		Assert.assertFalse(this.leaving.contains("vm-3"));
	}

}
