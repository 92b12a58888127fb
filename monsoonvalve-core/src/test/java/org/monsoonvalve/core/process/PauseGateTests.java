package org.monsoonvalve.core.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PauseGateTests {

	private ManualClock wall;

	private AtomicInteger rounds;

	private CompletableFuture<Void> round;

	private PauseGate gate;

	@BeforeMethod
	public void create() {
		this.wall = new ManualClock();
		this.rounds = new AtomicInteger();
		this.round = CompletableFuture.completedFuture(null);
		this.gate = PauseGate.of(ElapsedClock.of(this.wall), 2000, () -> {
			this.rounds.incrementAndGet();
			return this.round;
		});
	}

	@Test
	public void isOpenWhileARoundIsRecent() {
		this.gate.pass();
		this.wall.advance(1999);
		Assert.assertTrue(this.gate.pass().isDone());
		Assert.assertEquals(this.rounds.get(), 1);
	}

	@Test
	public void holdsWorkBackAfterAPauseUntilARoundHasEnded() {
		this.gate.pass();
		this.wall.advance(30_000);
		this.round = new CompletableFuture<>();
		CompletableFuture<Void> held = this.gate.pass();
		Assert.assertFalse(held.isDone());
		this.round.complete(null);
		Assert.assertTrue(held.isDone());
	}

	@Test
	public void callersShareTheRunningRound() {
		this.round = new CompletableFuture<>();
		this.wall.advance(60_000);
		int before = this.rounds.get();
		this.gate.pass();
		this.gate.pass();
		Assert.assertEquals(this.rounds.get(), before + 1);
		this.round.complete(null);
	}

}
