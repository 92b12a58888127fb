package org.monsoonvalve.gateway.process;

import java.util.OptionalLong;

import org.testng.Assert;
import org.testng.annotations.Test;

public class HeadSilenceTests {

	private static final long STALL_MILLIS = 5500;

	@Test
	public void aHeadThatIsSilentWhileItsMembersAnswerIsGoneAfterTheStallTime() {
		HeadSilence silence = new HeadSilence(10_000);
		for (long now = 10_000; now <= 15_000; now += 1000) {
			silence.membersAnswered(OptionalLong.of(now), now);
			Assert.assertFalse(silence.longerThan(STALL_MILLIS, now));
		}
		Assert.assertTrue(silence.longerThan(STALL_MILLIS, 15_600));
	}

	@Test
	public void aHeadThatIsCutOffTogetherWithItsMembersIsNotGoneHoweverLongThatTakes() {
		HeadSilence silence = new HeadSilence(10_000);
		for (long now = 10_000; now <= 60_000; now += 1000) {
			silence.membersAnswered(OptionalLong.of(9000), now);
		}
		Assert.assertFalse(silence.longerThan(STALL_MILLIS, 60_000));
		silence.membersAnswered(OptionalLong.of(60_100), 60_100);
		Assert.assertFalse(silence.longerThan(STALL_MILLIS, 65_000), "the cut has healed, and the head may answer");
		silence.membersAnswered(OptionalLong.of(65_500), 65_500);
		Assert.assertTrue(silence.longerThan(STALL_MILLIS, 65_700));
	}

	@Test
	public void anAnswerOfTheHeadStartsItAnew() {
		HeadSilence silence = new HeadSilence(10_000);
		silence.membersAnswered(OptionalLong.of(10_000), 10_000);
		silence.headAnswered(14_000);
		silence.membersAnswered(OptionalLong.of(14_000), 14_000);
		Assert.assertFalse(silence.longerThan(STALL_MILLIS, 16_000));
		silence.membersAnswered(OptionalLong.of(19_000), 19_000);
		Assert.assertTrue(silence.longerThan(STALL_MILLIS, 19_600));
	}

}
