package org.monsoonvalve.gateway.process;

import java.util.OptionalLong;

import org.testng.Assert;
import org.testng.annotations.Test;

public class HeadFailureDetectorTests {

	private static final long HEAD_TIMEOUT_MILLIS = 5500;

	@Test
	public void headFailsAfterTheTimeoutWhileMembersAnswer() {
		HeadFailureDetector detector = new HeadFailureDetector();
		detector.headUnanswered(10_000);
		for (long now = 10_000; now <= 15_000; now += 1000) {
			detector.membersAnswered(OptionalLong.of(now), now);
			Assert.assertFalse(detector.silentLongerThan(HEAD_TIMEOUT_MILLIS, now));
		}
		Assert.assertTrue(detector.silentLongerThan(HEAD_TIMEOUT_MILLIS, 15_600));
	}

	@Test
	public void headPartitionedTogetherWithItsMembersDoesNotFail() {
		HeadFailureDetector detector = new HeadFailureDetector();
		detector.headUnanswered(10_000);
		for (long now = 10_000; now <= 60_000; now += 1000) {
			detector.membersAnswered(OptionalLong.of(9000), now);
		}
		Assert.assertFalse(detector.silentLongerThan(HEAD_TIMEOUT_MILLIS, 60_000));
		detector.membersAnswered(OptionalLong.of(60_100), 60_100);
		Assert.assertFalse(detector.silentLongerThan(HEAD_TIMEOUT_MILLIS, 65_000),
				"the partition has healed, and the head may still answer");
		detector.membersAnswered(OptionalLong.of(65_500), 65_500);
		Assert.assertTrue(detector.silentLongerThan(HEAD_TIMEOUT_MILLIS, 65_700));
	}

	@Test
	public void answerOfTheHeadRestartsTheMeasurement() {
		HeadFailureDetector detector = new HeadFailureDetector();
		detector.headUnanswered(10_000);
		detector.membersAnswered(OptionalLong.of(10_000), 10_000);
		detector.headAnswered();
		detector.headUnanswered(14_000);
		detector.membersAnswered(OptionalLong.of(14_000), 14_000);
		Assert.assertFalse(detector.silentLongerThan(HEAD_TIMEOUT_MILLIS, 16_000));
		detector.membersAnswered(OptionalLong.of(19_000), 19_000);
		Assert.assertTrue(detector.silentLongerThan(HEAD_TIMEOUT_MILLIS, 19_600));
	}

	// A planner that has just started knows no address of a head whose record is gone, so
	// its members were released while it was serving.
	@Test
	public void headThatWasNotAskedDoesNotFail() {
		HeadFailureDetector detector = new HeadFailureDetector();
		for (long now = 10_000; now <= 60_000; now += 1000) {
			detector.membersAnswered(OptionalLong.of(now), now);
			Assert.assertFalse(detector.silentLongerThan(HEAD_TIMEOUT_MILLIS, now));
		}
	}

	// An order is sent every few seconds, so the time since an answer is not one of
	// silence.
	@Test
	public void headThatAnsweredIsNotSilentUntilItLeavesTheNextRequestUnanswered() {
		HeadFailureDetector detector = new HeadFailureDetector();
		detector.headUnanswered(10_000);
		detector.headAnswered();
		detector.membersAnswered(OptionalLong.of(14_000), 14_000);
		detector.membersAnswered(OptionalLong.of(20_000), 20_000);
		Assert.assertFalse(detector.silentLongerThan(HEAD_TIMEOUT_MILLIS, 20_000));
		detector.headUnanswered(20_000);
		detector.membersAnswered(OptionalLong.of(20_000), 20_000);
		Assert.assertFalse(detector.silentLongerThan(HEAD_TIMEOUT_MILLIS, 21_000));
		detector.membersAnswered(OptionalLong.of(25_000), 25_000);
		Assert.assertTrue(detector.silentLongerThan(HEAD_TIMEOUT_MILLIS, 25_600));
	}

}
