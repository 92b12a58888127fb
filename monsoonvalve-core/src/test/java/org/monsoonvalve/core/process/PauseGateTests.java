package org.monsoonvalve.core.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PauseGateTests {

	private ManualClock wall;

	private AtomicInteger comparisons;

	private CompletableFuture<Void> comparison;

	private PauseGate gate;

	@BeforeMethod
	public void create() {
		this.wall = new ManualClock();
		this.comparisons = new AtomicInteger();
		this.comparison = CompletableFuture.completedFuture(null);
		this.gate = PauseGate.of(ElapsedClock.of(this.wall), 2000, () -> {
			this.comparisons.incrementAndGet();
			return this.comparison;
		});
	}

	@Test
	public void isOpenWhileTheLastComparisonIsRecent() {
		this.gate.pass();
		this.wall.advance(1999);
		Assert.assertTrue(this.gate.pass().isDone());
		Assert.assertEquals(this.comparisons.get(), 1);
	}

	@Test
	public void holdsBackWorkAfterAPauseUntilAComparisonHasCompleted() {
		this.gate.pass();
		this.wall.advance(30_000);
		this.comparison = new CompletableFuture<>();
		CompletableFuture<Void> held = this.gate.pass();
		Assert.assertFalse(held.isDone());
		this.comparison.complete(null);
		Assert.assertTrue(held.isDone());
	}

	@Test
	public void concurrentCallersShareOneComparison() {
		this.comparison = new CompletableFuture<>();
		this.wall.advance(60_000);
		int before = this.comparisons.get();
		this.gate.pass();
		this.gate.pass();
		Assert.assertEquals(this.comparisons.get(), before + 1);
		this.comparison.complete(null);
	}

}
