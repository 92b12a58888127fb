package org.monsoonvalve.gateway.connection;

import java.util.stream.LongStream;

import org.testng.Assert;
import org.testng.annotations.Test;

public class SlidingWindowTests {

	@Test
	public void eventsExpireOnceTheSpanHasPassed() {
		SlidingWindow window = SlidingWindow.of(1000);
		window.add(5000);
		window.add(5400);
		Assert.assertEquals(window.count(5999), 2);
		Assert.assertEquals(window.count(6000), 1);
		Assert.assertEquals(window.count(6400), 0);
	}

	@Test
	public void addingEventsDiscardsExpiredOnesEvenIfTheyAreNeverCounted() {
		SlidingWindow window = SlidingWindow.of(1000);
		LongStream.range(0, 100_000).forEach(window::add);
		Assert.assertTrue(window.retained() <= 1000, "retained " + window.retained());
	}

}
