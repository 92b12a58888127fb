package org.monsoonvalve.gateway.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.monsoonvalve.core.connection.PeerFrame;

/**
 * The sound answers to requests with a suspected part: before the first crash, as seen by
 * the process that saw most of them, and of requests sent after it, by all.
 *
 * @author monsoonvalve maintainers
 */
final class Suspicion {

	/**
	 * Time after the first crash of a sequence in which crashes and sound answers are
	 * weighed against each other; then a new sequence begins with the next crash.
	 */
	static final long SEQUENCE_MILLIS = 10_000;

	/**
	 * Sound answers before the first crash that make up for crashes; few, as a part may
	 * begin to crash endpoints after a release.
	 */
	static final int MAX_EARLIER_ANSWERS = 2;

	/**
	 * Sound answers after a crash that peers are told of; more don't change a decision.
	 */
	private static final int MAX_LATER_ANSWERS = 16;

	private final long firstCrashMillis;

	private final Set<EndpointCrash> crashes = new HashSet<>();

	private final Map<Integer, Integer> laterByProcess = new HashMap<>();

	private int earlier;

	Suspicion(int earlier, EndpointCrash firstCrash) {
		this.earlier = earlier;
		this.firstCrashMillis = firstCrash.endedMillis();
		this.crashes.add(firstCrash);
	}

	long firstCrashMillis() {
		return this.firstCrashMillis;
	}

	Set<EndpointCrash> crashes() {
		return this.crashes;
	}

	int answers() {
		return this.earlier + this.laterByProcess.values().stream().mapToInt(Integer::intValue).sum();
	}

	// Returns whether peers have to be told.
	boolean addAnswer(int process, long sentMillis) {
		boolean counts = sentMillis > this.firstCrashMillis && answers() < MAX_LATER_ANSWERS;
		if (counts) {
			this.laterByProcess.merge(process, 1, Integer::sum);
		}
		return counts;
	}

	boolean merge(PeerFrame.SoundAnswers sound, long nowMillis) {
		long otherFirstMillis = nowMillis - sound.firstCrashMillisAgo();
		if (Math.abs(otherFirstMillis - this.firstCrashMillis) > SEQUENCE_MILLIS / 2) {
			return false;
		}
		boolean changed = sound.earlier() > this.earlier;
		this.earlier = Math.max(this.earlier, Math.min(MAX_EARLIER_ANSWERS, sound.earlier()));
		for (PeerFrame.LaterAnswers later : sound.later()) {
			int known = this.laterByProcess.getOrDefault(later.process(), 0);
			if (later.answers() > known && answers() < MAX_LATER_ANSWERS) {
				this.laterByProcess.put(later.process(), later.answers());
				changed = true;
			}
		}
		return changed;
	}

	PeerFrame.SoundAnswers report(ServicePart part, long nowMillis) {
		return new PeerFrame.SoundAnswers(part.service(), part.part().id(), nowMillis - this.firstCrashMillis,
				this.earlier,
				this.laterByProcess.entrySet()
					.stream()
					.map((entry) -> new PeerFrame.LaterAnswers(entry.getKey(), entry.getValue()))
					.toList());
	}

}
