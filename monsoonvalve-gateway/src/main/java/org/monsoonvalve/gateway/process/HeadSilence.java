package org.monsoonvalve.gateway.process;

import java.util.OptionalLong;

/**
 * How long a group's head has answered nothing while other members of the group answered.
 * Without their answers silence shows nothing: the whole zone may be cut off, and the
 * group may go on there. Confined to the control thread.
 *
 * @author monsoonvalve maintainers
 */
final class HeadSilence {

	/**
	 * Age of the members' last answer up to which they count as reached; they are asked
	 * every second.
	 */
	static final long EVIDENCE_LIFE_MILLIS = 2 * MemberProber.PAUSE_MILLIS + 2 * MemberProber.PROBE_TIMEOUT_MILLIS;

	private long sinceMillis;

	private OptionalLong shownSinceMillis = OptionalLong.empty();

	/**
	 * Creates a silence that nothing shows yet.
	 * @param sinceMillis the first probe without an answer, in milliseconds
	 */
	HeadSilence(long sinceMillis) {
		this.sinceMillis = sinceMillis;
	}

	/**
	 * Starts anew after an answer of the head.
	 * @param nowMillis the present time, in milliseconds
	 */
	void headAnswered(long nowMillis) {
		this.sinceMillis = nowMillis;
		this.shownSinceMillis = OptionalLong.empty();
	}

	/**
	 * Takes the latest answer of the other members.
	 * @param answerMillis the time of the answer in milliseconds, empty if there is none
	 * @param nowMillis the present time, in milliseconds
	 */
	void membersAnswered(OptionalLong answerMillis, long nowMillis) {
		if (answerMillis.isEmpty() || nowMillis - answerMillis.getAsLong() > EVIDENCE_LIFE_MILLIS) {
			this.shownSinceMillis = OptionalLong.empty();
		}
		else if (this.shownSinceMillis.isEmpty()) {
			this.shownSinceMillis = OptionalLong.of(Math.max(this.sinceMillis, answerMillis.getAsLong()));
		}
	}

	/**
	 * Tells whether the head has been silent, and other members have not, for longer than
	 * a time.
	 * @param millis the time, in milliseconds
	 * @param nowMillis the present time, in milliseconds
	 * @return {@code true} if the silence is that long
	 */
	boolean longerThan(long millis, long nowMillis) {
		return this.shownSinceMillis.isPresent() && nowMillis - this.shownSinceMillis.getAsLong() > millis;
	}

}
