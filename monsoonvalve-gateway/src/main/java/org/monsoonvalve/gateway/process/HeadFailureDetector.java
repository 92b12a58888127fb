package org.monsoonvalve.gateway.process;

import java.util.OptionalLong;

/**
 * Measures how long a group's head, the member that serves the group's requests, has left
 * requests unanswered while other members of the group answered. Without their answers
 * the head's silence is no evidence of a failure: the whole zone may be partitioned, and
 * the group may still serve there. A head that was not asked is not silent. Confined to
 * the control thread.
 *
 * @author monsoonvalve maintainers
 */
final class HeadFailureDetector {

	/**
	 * Age of the members' last answer up to which they count as reachable; they are
	 * probed every second.
	 */
	static final long MEMBER_ANSWER_LIFETIME_MILLIS = 2 * MemberProber.PROBE_INTERVAL_MILLIS
			+ 2 * MemberProber.PROBE_TIMEOUT_MILLIS;

	// Since the head's last answer, empty if it has left no request unanswered.
	private OptionalLong silentSinceMillis = OptionalLong.empty();

	private OptionalLong confirmedSinceMillis = OptionalLong.empty();

	/**
	 * Records a request that the head has left unanswered.
	 * @param sentMillis the time at which the request was sent, in milliseconds
	 */
	void headUnanswered(long sentMillis) {
		if (this.silentSinceMillis.isEmpty()) {
			this.silentSinceMillis = OptionalLong.of(sentMillis);
		}
	}

	/**
	 * Ends the measurement after an answer from the head; the next request that it leaves
	 * unanswered starts another one.
	 */
	void headAnswered() {
		this.silentSinceMillis = OptionalLong.empty();
		this.confirmedSinceMillis = OptionalLong.empty();
	}

	/**
	 * Records the latest answer of the other members.
	 * @param answerMillis the time of the answer, in milliseconds, empty if there is none
	 * @param nowMillis the current time, in milliseconds
	 */
	void membersAnswered(OptionalLong answerMillis, long nowMillis) {
		if (this.silentSinceMillis.isEmpty() || answerMillis.isEmpty()
				|| nowMillis - answerMillis.getAsLong() > MEMBER_ANSWER_LIFETIME_MILLIS) {
			this.confirmedSinceMillis = OptionalLong.empty();
		}
		else if (this.confirmedSinceMillis.isEmpty()) {
			this.confirmedSinceMillis = OptionalLong
				.of(Math.max(this.silentSinceMillis.getAsLong(), answerMillis.getAsLong()));
		}
	}

	/**
	 * Tells whether the head is silent while other members answer, so that its failure is
	 * about to be detected.
	 * @return {@code true} if it is
	 */
	boolean silentWhileMembersAnswer() {
		return this.confirmedSinceMillis.isPresent();
	}

	/**
	 * Tells whether the head has been silent for longer than a duration while other
	 * members answered.
	 * @param millis the duration, in milliseconds
	 * @param nowMillis the current time, in milliseconds
	 * @return {@code true} if it has been silent for longer
	 */
	boolean silentLongerThan(long millis, long nowMillis) {
		return this.confirmedSinceMillis.isPresent() && nowMillis - this.confirmedSinceMillis.getAsLong() > millis;
	}

}
