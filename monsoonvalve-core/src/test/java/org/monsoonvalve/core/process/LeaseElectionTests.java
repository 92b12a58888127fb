package org.monsoonvalve.core.process;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LeaseElectionTests {

	private FakePlatformStore platform;

	private SteppingClock wall;

	private LeaseElection first;

	private LeaseElection second;

	@BeforeMethod
	public void startTwoCandidates() {
		this.platform = new FakePlatformStore();
		this.wall = new SteppingClock();
		ElapsedClock clock = ElapsedClock.of(this.wall);
		this.first = LeaseElection.of(this.platform, clock, "role", NodeId.of("first"));
		this.second = LeaseElection.of(this.platform, clock, "role", NodeId.of("second"));
	}

	@Test
	public void onlyOneCandidateHoldsTheRole() {
		this.first.tick();
		this.second.tick();
		Assert.assertTrue(this.first.held());
		Assert.assertFalse(this.second.held());
	}

	@Test
	public void aPausedHolderKnowsThatItMayNoLongerHoldTheRole() {
		this.first.tick();
		this.wall.advance(3500);
		Assert.assertFalse(this.first.held());
	}

	@Test
	public void theHolderStopsBeforeItsLeaseCanEndAtThePlatform() {
		this.first.tick();
		this.platform.down(true);
		for (int i = 0; i < 4; i++) {
			this.wall.advance(1000);
			this.first.tick();
		}
		Assert.assertFalse(this.first.held());
	}

	@Test
	public void aLapsedLeaseGoesToAnotherCandidate() {
		this.first.tick();
		this.platform.lapseAll();
		this.second.tick();
		this.first.tick();
		Assert.assertTrue(this.second.held());
		Assert.assertFalse(this.first.held());
	}

	@Test
	public void aClaimWhoseAnswerWasLostIsNotHeldUntilItLapses() {
		this.platform.loseAnswers(2);
		this.first.tick();
		Assert.assertFalse(this.first.held());
	}

	@Test
	public void resigningLetsAnotherCandidateIn() {
		this.first.tick();
		this.first.resign();
		this.second.tick();
		Assert.assertTrue(this.second.held());
		Assert.assertEquals(this.first.heldMillis(), 0);
	}

	@Test
	public void renewalKeepsTheRole() {
		this.first.tick();
		for (int i = 0; i < 10; i++) {
			this.wall.advance(1000);
			this.first.tick();
			Assert.assertTrue(this.first.held());
		}
		Assert.assertEquals(this.first.heldMillis(), 10_000);
	}

}
