package org.monsoonvalve.core.process;

import org.testng.Assert;
import org.testng.annotations.Test;

public class ElapsedClockTests {

	private final ManualClock wall = new ManualClock();

	private final ElapsedClock clock = ElapsedClock.of(this.wall);

	@Test
	public void measuresElapsedTime() {
		ElapsedClock.Reading start = this.clock.now();
		this.wall.advance(1500);
		Assert.assertEquals(this.clock.elapsedMillis(start), 1500);
	}

	@Test
	public void neverReturnsNegativeTimeWhenBothClocksAreSetBack() {
		ElapsedClock.Reading start = this.clock.now();
		this.wall.advance(-5000);
		Assert.assertEquals(this.clock.elapsedMillis(start), 0);
	}

	@Test
	public void usesTheLargerElapsedTimeOfBothClocks() {
		ElapsedClock.Reading now = this.clock.now();
		ElapsedClock.Reading start = new ElapsedClock.Reading(now.wallMillis() - 10, now.monotonicMillis() - 700);
		Assert.assertEquals(this.clock.elapsedMillis(start), 700);
	}

}
