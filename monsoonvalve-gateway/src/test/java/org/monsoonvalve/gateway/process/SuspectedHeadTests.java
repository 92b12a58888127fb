package org.monsoonvalve.gateway.process;

import java.util.OptionalLong;

import org.monsoonvalve.gateway.version.GroupOrder;
import org.monsoonvalve.gateway.version.HeadLiveness;
import org.testng.Assert;
import org.testng.annotations.Test;

public class SuspectedHeadTests {

	private static final long HEAD_TIMEOUT_MILLIS = 5500;

	private static final long STEP_MILLIS = 100;

	private static HeadLiveness liveness(SuspectedHead head, long nowMillis) {
		head.membersAnswered(OptionalLong.of(nowMillis), nowMillis);
		return head.liveness(HEAD_TIMEOUT_MILLIS, nowMillis);
	}

	// Sends the orders that are due, which all have the same outcome, until the head's
	// members are released.
	private static OptionalLong releaseMillis(SuspectedHead head, long fromMillis, long toMillis,
			GroupOrder.Outcome outcome) {
		for (long now = fromMillis; now <= toMillis; now += STEP_MILLIS) {
			if (head.isCloseDue(now)) {
				head.closeSent(now);
				head.closeCompleted(outcome, now);
			}
			if (liveness(head, now).releasesMembers()) {
				return OptionalLong.of(now);
			}
		}
		return OptionalLong.empty();
	}

	// Heads that were cut off from the store served on while a restarted planner, which
	// had not asked them, gave their members to other groups.
	@Test
	public void membersOfAHeadThatWasNotAskedAreNotReleased() {
		SuspectedHead unasked = new SuspectedHead(0);
		for (long now = 0; now < SuspectedHead.GROUP_EXPIRY_MILLIS; now += STEP_MILLIS) {
			Assert.assertEquals(liveness(unasked, now), HeadLiveness.UNKNOWN);
		}
	}

	@Test
	public void membersOfASilentHeadAreReleasedAfterTheTimeout() {
		long released = releaseMillis(new SuspectedHead(0), 0, 60_000, GroupOrder.Outcome.UNANSWERED).orElseThrow();
		Assert.assertTrue(released > HEAD_TIMEOUT_MILLIS && released < HEAD_TIMEOUT_MILLIS + 2 * STEP_MILLIS,
				"released after " + released + " ms");
	}

	// The delay of the orders grew beyond the timeout, so a head that had answered each
	// of
	// them counted as silent before the next one.
	@Test
	public void membersOfAHeadThatAnswersEachOrderWithoutEndingAreNotReleased() {
		Assert.assertEquals(releaseMillis(new SuspectedHead(0), 0, 60_000, GroupOrder.Outcome.BEGUN),
				OptionalLong.empty());
		Assert.assertEquals(releaseMillis(new SuspectedHead(0), 0, 60_000, GroupOrder.Outcome.UNFIT),
				OptionalLong.empty());
	}

	@Test
	public void membersAreReleasedOnceTheHeadConfirmsThatItHasClosed() {
		SuspectedHead closing = new SuspectedHead(0);
		Assert.assertEquals(releaseMillis(closing, 0, 10_000, GroupOrder.Outcome.BEGUN), OptionalLong.empty());
		Assert.assertTrue(releaseMillis(closing, 10_100, 20_000, GroupOrder.Outcome.DONE).isPresent());
	}

	@Test
	public void probesBeforeTheLastAnswerAreNoEvidence() {
		SuspectedHead answering = new SuspectedHead(0);
		answering.observeProbes(OptionalLong.of(0), OptionalLong.empty());
		answering.closeSent(4000);
		answering.closeCompleted(GroupOrder.Outcome.BEGUN, 4000);
		for (long now = 4100; now < 20_000; now += STEP_MILLIS) {
			answering.observeProbes(OptionalLong.of(0), OptionalLong.empty());
			Assert.assertEquals(liveness(answering, now), HeadLiveness.UNKNOWN);
		}
	}

	@Test
	public void anAnswerToAProbeEndsTheSilence() {
		SuspectedHead answering = new SuspectedHead(0);
		answering.observeProbes(OptionalLong.of(0), OptionalLong.empty());
		answering.membersAnswered(OptionalLong.of(1000), 1000);
		answering.observeProbes(OptionalLong.empty(), OptionalLong.of(5000));
		answering.membersAnswered(OptionalLong.of(6000), 6000);
		answering.membersAnswered(OptionalLong.of(7000), 7000);
		Assert.assertEquals(answering.liveness(HEAD_TIMEOUT_MILLIS, 7000), HeadLiveness.UNKNOWN);
	}

}
