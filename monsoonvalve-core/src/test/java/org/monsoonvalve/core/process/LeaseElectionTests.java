package org.monsoonvalve.core.process;

import java.util.ArrayList;
import java.util.List;

import org.monsoonvalve.core.request.ServingException;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LeaseElectionTests {

	private FakePlatformStore platform;

	private ManualClock wall;

	private final List<ServingException> failures = new ArrayList<>();

	private LeaseElection first;

	private LeaseElection second;

	@BeforeMethod
	public void startTwoCandidates() {
		this.platform = new FakePlatformStore();
		this.failures.clear();
		this.wall = new ManualClock();
		ElapsedClock clock = ElapsedClock.of(this.wall);
		this.first = LeaseElection.of(this.platform, clock, "role", NodeId.of("first"), this.failures::add);
		this.second = LeaseElection.of(this.platform, clock, "role", NodeId.of("second"), this.failures::add);
	}

	@Test
	public void onlyOneCandidateHoldsTheRole() {
		this.first.tick(true);
		this.second.tick(true);
		Assert.assertTrue(this.first.held());
		Assert.assertFalse(this.second.held());
	}

	@Test
	public void aPausedHolderKnowsThatItMayNoLongerHoldTheRole() {
		this.first.tick(true);
		this.wall.advance(3500);
		Assert.assertFalse(this.first.held());
	}

	@Test
	public void theHolderStopsBeforeItsLeaseCanEndAtThePlatform() {
		this.first.tick(true);
		this.platform.down(true);
		for (int i = 0; i < 4; i++) {
			this.wall.advance(1000);
			this.first.tick(true);
		}
		Assert.assertFalse(this.first.held());
	}

	@Test
	public void theHolderGoesOnWhenThePlatformKeptItsLease() {
		this.first.tick(true);
		this.platform.down(true);
		for (int i = 0; i < 8; i++) {
			this.wall.advance(1000);
			this.first.tick(true);
		}
		Assert.assertFalse(this.first.held());
		Assert.assertEquals(this.failures.size(), 8, "each failed renewal is told");
		this.platform.down(false);
		this.first.tick(true);
		Assert.assertTrue(this.first.held());
		Assert.assertEquals(this.first.heldMillis(), 0, "it was not held all the while");
	}

	@Test
	public void aRestartedHolderTakesOverFromItsEarlierProcess() {
		this.first.tick(true);
		LeaseElection restarted = LeaseElection.of(this.platform, ElapsedClock.of(this.wall), "role",
				NodeId.of("first"), this.failures::add);
		LeaseElection similar = LeaseElection.of(this.platform, ElapsedClock.of(this.wall), "role", NodeId.of("firs"),
				this.failures::add);
		similar.tick(true);
		Assert.assertFalse(similar.held());
		restarted.tick(true);
		Assert.assertTrue(restarted.held());
	}

	@Test
	public void aLapsedLeaseGoesToAnotherCandidate() {
		this.first.tick(true);
		this.platform.lapseAll();
		this.second.tick(true);
		this.first.tick(true);
		Assert.assertTrue(this.second.held());
		Assert.assertFalse(this.first.held());
	}

	@Test
	public void aClaimWhoseAnswerWasLostIsNotHeldUntilItLapses() {
		this.platform.loseAnswers(2);
		this.first.tick(true);
		Assert.assertFalse(this.first.held());
	}

	@Test
	public void aProcessThatIsNoCandidateWritesNothing() {
		this.second.tick(false);
		Assert.assertFalse(this.second.held());
		Assert.assertTrue(this.platform.all().isEmpty());
	}

	@Test
	public void resigningLetsAnotherCandidateIn() {
		this.first.tick(true);
		this.first.resign();
		this.second.tick(true);
		Assert.assertTrue(this.second.held());
		Assert.assertEquals(this.first.heldMillis(), 0);
	}

	@Test
	public void renewalKeepsTheRole() {
		this.first.tick(true);
		for (int i = 0; i < 10; i++) {
			this.wall.advance(1000);
			this.first.tick(true);
			Assert.assertTrue(this.first.held());
		}
		Assert.assertEquals(this.first.heldMillis(), 10_000);
	}

}
