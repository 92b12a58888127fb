package org.monsoonvalve.gateway.request;

import java.util.Random;
import java.util.stream.DoubleStream;

import org.testng.Assert;
import org.testng.annotations.Test;

public class RetryAfterTests {

	private static final int CALLERS = 1000;

	private static final long STREAM_DEADLINE_MILLIS = 6000;

	private static DoubleStream returns(long remainingMillis) {
		Random random = new Random(11);
		RetryAfter retryAfter = new RetryAfter(random::nextDouble);
		return DoubleStream.generate(() -> retryAfter.seconds(remainingMillis)).limit(CALLERS);
	}

	// Pattern: a return wave after a refusal wave. For one second all groups are full,
	// and
	// each refused caller returns once. Callers refused at its start must not all come
	// back
	// before its end.
	@Test
	public void halfOfTheCallersRefusedAtTheStartOfAShortOverloadReturnAfterIt() {
		long after = returns(STREAM_DEADLINE_MILLIS).filter((seconds) -> seconds > 1).count();
		Assert.assertTrue(after >= CALLERS / 2, after + " return after the overload");
	}

	@Test
	public void returnsAreSpreadEvenly() {
		for (int tenth = 0; tenth < 10; tenth++) {
			double from = 0.3 + 0.17 * tenth;
			long share = returns(STREAM_DEADLINE_MILLIS).filter((seconds) -> seconds >= from && seconds < from + 0.17)
				.count();
			Assert.assertEquals(share, CALLERS / 10.0, CALLERS / 20.0, "from " + from);
		}
	}

	@Test
	public void aCallerIsNotAskedToWaitLongerThanItAgreesTo() {
		for (long remainingMillis : new long[] { 0, 1, 300, 1000, 2500, 8000 }) {
			Assert.assertTrue(
					returns(remainingMillis).allMatch((seconds) -> seconds >= 0 && seconds <= remainingMillis / 3000.0),
					remainingMillis + " ms left");
		}
	}

}
