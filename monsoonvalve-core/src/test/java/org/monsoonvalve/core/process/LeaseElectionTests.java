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
	public void aPausedHolderDoesNotAssumeThatItStillHoldsTheRole() {
		this.first.tick(true);
		this.wall.advance(3500);
		Assert.assertFalse(this.first.held());
	}

	@Test
	public void theHolderStopsBeforeItsLeaseCanExpireAtThePlatform() {
		this.first.tick(true);
		this.platform.setDown(true);
		for (int i = 0; i < 4; i++) {
			this.wall.advance(1000);
			this.first.tick(true);
		}
		Assert.assertFalse(this.first.held());
	}

	@Test
	public void theHolderResumesWhenItsLeaseSurvivedAnOutage() {
		this.first.tick(true);
		this.platform.setDown(true);
		for (int i = 0; i < 8; i++) {
			this.wall.advance(1000);
			this.first.tick(true);
		}
		Assert.assertFalse(this.first.held());
		Assert.assertEquals(this.failures.size(), 8, "each failed renewal is reported");
		this.platform.setDown(false);
		this.first.tick(true);
		Assert.assertTrue(this.first.held());
		Assert.assertEquals(this.first.heldMillis(), 0, "the role was not held without interruption");
	}

	@Test
	public void onlyAProcessWithTheHoldersIdentifierTakesOverBeforeTheLeaseExpires() {
		this.first.tick(true);
		LeaseElection restarted = LeaseElection.of(this.platform, ElapsedClock.of(this.wall), "role",
				NodeId.of("first"), this.failures::add);
		LeaseElection prefixCandidate = LeaseElection.of(this.platform, ElapsedClock.of(this.wall), "role",
				NodeId.of("firs"), this.failures::add);
		prefixCandidate.tick(true);
		Assert.assertFalse(prefixCandidate.held());
		restarted.tick(true);
		Assert.assertTrue(restarted.held());
	}

	@Test
	public void anotherCandidateTakesOverAfterTheLeaseExpired() {
		this.first.tick(true);
		this.platform.expireAllLeases();
		this.second.tick(true);
		this.first.tick(true);
		Assert.assertTrue(this.second.held());
		Assert.assertFalse(this.first.held());
	}

	@Test
	public void aCandidateWhoseLeaseGrantResponseWasLostDoesNotHoldTheRole() {
		this.platform.loseResponses(2);
		this.first.tick(true);
		Assert.assertFalse(this.first.held());
	}

	@Test
	public void aProcessThatIsNotACandidateWritesNothing() {
		this.second.tick(false);
		Assert.assertFalse(this.second.held());
		Assert.assertTrue(this.platform.allEntries().isEmpty());
	}

	@Test
	public void anotherCandidateTakesOverAfterResignation() {
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
