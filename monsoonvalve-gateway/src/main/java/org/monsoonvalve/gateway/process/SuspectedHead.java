package org.monsoonvalve.gateway.process;

import java.util.OptionalLong;

import org.monsoonvalve.gateway.version.GroupOrder;
import org.monsoonvalve.gateway.version.HeadLiveness;

/**
 * A group's head that does not respond or has no record, with the evidence of its failure
 * and the schedule of the orders to close that it is sent. Confined to the control
 * thread.
 *
 * @author monsoonvalve maintainers
 */
final class SuspectedHead {

	/**
	 * Base of the exponential backoff of orders to close; each order doubles the delay.
	 */
	static final long CLOSE_RETRY_MILLIS = 700;

	/** Longest delay between two such orders. */
	static final long MAX_CLOSE_RETRY_MILLIS = 6000;

	/**
	 * Longest delay while the head's silence is being measured, so that more than one
	 * lost order stands behind it.
	 */
	static final long MAX_MEASURED_CLOSE_RETRY_MILLIS = 2 * CLOSE_RETRY_MILLIS;

	/**
	 * Time after which a group whose members are all unreachable is no longer planned;
	 * partitions of a zone are shorter, and its groups then resume unchanged.
	 */
	static final long GROUP_EXPIRY_MILLIS = 120_000;

	private final HeadFailureDetector detector = new HeadFailureDetector();

	private final long suspectedSinceMillis;

	private OptionalLong lastAnswerMillis = OptionalLong.empty();

	private OptionalLong lastCloseMillis = OptionalLong.empty();

	private long retryDelayMillis = CLOSE_RETRY_MILLIS;

	private boolean closePending;

	private boolean closed;

	/**
	 * Creates a suspicion without evidence.
	 * @param nowMillis the current time, in milliseconds
	 */
	SuspectedHead(long nowMillis) {
		this.suspectedSinceMillis = nowMillis;
	}

	/**
	 * Takes the results of the probes that the head was sent. Those before its last
	 * answer are no evidence of its silence.
	 * @param silentSinceMillis the time of the first unanswered probe, in milliseconds,
	 * empty if the last one was answered or none was sent
	 * @param answerMillis the time of the last answer to a probe, in milliseconds, empty
	 * if there is none
	 */
	void observeProbes(OptionalLong silentSinceMillis, OptionalLong answerMillis) {
		answerMillis.ifPresent((millis) -> {
			if (isAfterLastAnswer(millis)) {
				headAnswered(millis);
			}
		});
		silentSinceMillis.ifPresent((millis) -> {
			if (isAfterLastAnswer(millis)) {
				this.detector.headUnanswered(millis);
			}
		});
	}

	private boolean isAfterLastAnswer(long millis) {
		return this.lastAnswerMillis.isEmpty() || millis > this.lastAnswerMillis.getAsLong();
	}

	private void headAnswered(long nowMillis) {
		this.lastAnswerMillis = OptionalLong.of(nowMillis);
		this.detector.headAnswered();
	}

	/**
	 * Records the latest answer of the other members.
	 * @param answerMillis the time of the answer, in milliseconds, empty if there is none
	 * @param nowMillis the current time, in milliseconds
	 */
	void membersAnswered(OptionalLong answerMillis, long nowMillis) {
		this.detector.membersAnswered(answerMillis, nowMillis);
	}

	/**
	 * Tells whether the head should be ordered to close now.
	 * @param nowMillis the current time, in milliseconds
	 * @return {@code true} if no order is pending and the delay after the last one is
	 * over
	 */
	boolean isCloseDue(long nowMillis) {
		long delayMillis = this.detector.silentWhileMembersAnswer()
				? Math.min(MAX_MEASURED_CLOSE_RETRY_MILLIS, this.retryDelayMillis) : this.retryDelayMillis;
		return !this.closePending
				&& (this.lastCloseMillis.isEmpty() || nowMillis - this.lastCloseMillis.getAsLong() >= delayMillis);
	}

	/**
	 * Records that an order to close was sent.
	 * @param nowMillis the current time, in milliseconds
	 */
	void closeSent(long nowMillis) {
		this.closePending = true;
		this.lastCloseMillis = OptionalLong.of(nowMillis);
		this.retryDelayMillis = Math.min(MAX_CLOSE_RETRY_MILLIS, 2 * this.retryDelayMillis);
	}

	/**
	 * Records the outcome of the pending order.
	 * @param outcome the outcome
	 * @param nowMillis the current time, in milliseconds
	 */
	void closeCompleted(GroupOrder.Outcome outcome, long nowMillis) {
		this.closePending = false;
		switch (outcome) {
			case BEGUN, UNFIT -> headAnswered(nowMillis);
			case DONE, MOVED -> {
				this.closed = true;
			}
			case UNANSWERED -> this.lastCloseMillis.ifPresent(this.detector::headUnanswered);
		}
	}

	/**
	 * Judges the head by the evidence so far.
	 * @param headTimeoutMillis the time without an answer after which a head is gone, in
	 * milliseconds
	 * @param nowMillis the current time, in milliseconds
	 * @return the liveness
	 */
	HeadLiveness liveness(long headTimeoutMillis, long nowMillis) {
		if (this.closed) {
			return HeadLiveness.CLOSED;
		}
		if (this.detector.silentLongerThan(headTimeoutMillis, nowMillis)) {
			return HeadLiveness.UNRESPONSIVE;
		}
		return (nowMillis - this.suspectedSinceMillis > GROUP_EXPIRY_MILLIS) ? HeadLiveness.EXPIRED
				: HeadLiveness.UNKNOWN;
	}

}
