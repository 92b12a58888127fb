package org.monsoonvalve.core.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import org.monsoonvalve.core.request.ServingException;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
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

	private void startInFirstEra() {
		this.platform.stateEra();
		this.first.observeEra(1);
		this.second.observeEra(1);
	}

	@Test
	public void theHolderTakesItsRoleAgainAtOnceWhenTheStoreHasForgottenIt() {
		startInFirstEra();
		Runnable restore = this.platform.copy();
		this.first.tick(true);
		restore.run();
		this.first.observeEra(2);
		Assert.assertFalse(this.first.held(), "a lease of an earlier era holds nothing");
		this.first.tick(false);
		Assert.assertTrue(this.first.held());
	}

	// The holder is partitioned from the store, and doesn't know of the restoration.
	@Test
	public void nobodyElseTakesARoleBeforeItsForgottenHolderHasGivenItUp() {
		startInFirstEra();
		Runnable restore = this.platform.copy();
		this.first.tick(true);
		restore.run();
		this.second.observeEra(2);
		for (int i = 0; i < 7; i++) {
			this.second.tick(true);
			Assert.assertFalse(this.first.held() && this.second.held(), "after " + i * 500 + " ms");
			this.wall.advance(500);
		}
		this.second.tick(true);
		Assert.assertTrue(this.second.held());
		Assert.assertFalse(this.first.held());
	}

	@Test
	public void theLastHolderPrevailsOverTheOneThatTheCopyNames() {
		startInFirstEra();
		this.second.tick(true);
		Runnable restore = this.platform.copy();
		this.second.resign();
		this.first.tick(true);
		restore.run();
		this.first.observeEra(2);
		this.second.observeEra(2);
		this.second.tick(true);
		Assert.assertFalse(this.second.held(), "it had given up the role");
		this.first.tick(true);
		Assert.assertTrue(this.first.held());
	}

	// An outage lets leases expire early, and the store is restored soon after.
	@Test
	public void aHolderWhoseLeaseExpiredBeforeTheRestorationDoesNotTakeTheRoleAgain() {
		startInFirstEra();
		Runnable restore = this.platform.copy();
		this.first.tick(true);
		this.platform.expireAllLeases();
		this.second.tick(true);
		this.first.tick(false);
		restore.run();
		this.first.observeEra(2);
		this.second.observeEra(2);
		this.first.tick(true);
		Assert.assertFalse(this.first.held());
		this.second.tick(true);
		Assert.assertTrue(this.second.held());
	}

	@DataProvider
	public Object[][] fleets() {
		return new Object[][] { { 8, 1 }, { 8, 2 }, { 8, 3 }, { 65, 4 }, { 95, 5 } };
	}

	// Random histories of restorations, partitions, restarts and expired leases.
	@Test(dataProvider = "fleets")
	public void atMostOneCandidateHoldsTheRoleAtAnyTime(int size, int seed) {
		Random random = new Random(seed);
		this.platform.stateEra();
		ElapsedClock clock = ElapsedClock.of(this.wall);
		List<LeaseElection> candidates = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			candidates.add(LeaseElection.of(this.platform, clock, "role", NodeId.of("c" + i), this.failures::add));
			candidates.get(i).observeEra(1);
		}
		boolean[] partitioned = new boolean[size];
		Deque<Runnable> copies = new ArrayDeque<>();
		int heldSteps = 0;
		for (int step = 0; step < 1500; step++) {
			this.wall.advance(100);
			copies.add(this.platform.copy());
			if (copies.size() > 1 + random.nextInt(100)) {
				copies.poll();
			}
			if (random.nextInt(100) == 0) {
				copies.peek().run();
				copies.clear();
			}
			int changed = random.nextInt(size);
			partitioned[changed] = random.nextInt(3) == 0;
			for (int i = 0; i < size; i++) {
				if (!partitioned[i] && random.nextInt(7) == 0) {
					candidates.get(i).tick(random.nextBoolean());
				}
			}
			long holders = candidates.stream().filter(LeaseElection::held).count();
			Assert.assertTrue(holders <= 1, holders + " holders at step " + step + " of seed " + seed);
			heldSteps += (int) holders;
		}
		Assert.assertTrue(heldSteps > 500, "the role was held in " + heldSteps + " of 1500 steps");
	}

}
