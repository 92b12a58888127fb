package org.monsoonvalve.gateway.process;

import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.gateway.request.PromptPart;

/**
 * A part that is not sent to endpoints, or was not.
 *
 * @author monsoonvalve maintainers
 * @param part the part
 * @param level how often it was blocked, 1 at first
 * @param cleared whether a later answer was sound
 * @param sinceMillis the time of the last change, in milliseconds
 * @param durationMillis the time after which the part is tried again, in milliseconds
 * @param crashes the endpoints that crashed
 */
public record PromptBlock(ServicePart part, int level, boolean cleared, long sinceMillis, long durationMillis,
		int crashes) {

	/** Duration of a block of parts that only ever came together. */
	static final long AMBIGUOUS_MILLIS = 15_000;

	private static final long FIRST_MILLIS = 600_000;

	private static final int MAX_DOUBLINGS = 7;

	/**
	 * Returns the duration of a block, which grows with each trial that failed.
	 * @param level how often the part was blocked
	 * @return the duration in milliseconds
	 */
	static long durationMillis(int level) {
		return FIRST_MILLIS << Math.min(MAX_DOUBLINGS, 2 * (level - 1));
	}

	/**
	 * Returns when the part may be tried again.
	 * @return the time in milliseconds
	 */
	public long untilMillis() {
		return this.sinceMillis + this.durationMillis;
	}

	PromptBlock clear(long nowMillis) {
		return new PromptBlock(this.part, this.level, true, nowMillis, 0, this.crashes);
	}

	boolean supersedes(PromptBlock other) {
		return this.level > other.level || (this.level == other.level && this.cleared && !other.cleared);
	}

	PeerFrame.CrashBlock report(long nowMillis) {
		return new PeerFrame.CrashBlock(this.part.service(), this.part.part().id(), this.level, this.cleared,
				nowMillis - this.sinceMillis, this.durationMillis, this.crashes);
	}

	static PromptBlock of(PeerFrame.CrashBlock report, long nowMillis) {
		return new PromptBlock(new ServicePart(report.service(), new PromptPart(report.part())), report.level(),
				report.cleared(), nowMillis - report.sinceMillisAgo(), report.durationMillis(), report.crashes());
	}

}
