package org.monsoonvalve.gateway.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.gateway.request.PromptPart;

/**
 * What the processes of the system know together of endpoints that crashed under prompts
 * with a common part. A part is blocked when endpoints crashed one after the other under
 * requests with it, each sent after the crash before, and sound answers don't make up for
 * them; crashes that a blocked part explains don't count against other parts. Evidence of
 * peers is merged, and evidence that arrives twice counts once. Confined to the event
 * loop.
 *
 * @author monsoonvalve maintainers
 */
public final class CrashEvidence {

	/** Consecutive crashes, less sound answers, that block a part. */
	static final int CRASHES_TO_BLOCK = 3;

	/**
	 * Endpoints that must have crashed, as an endpoint may crash under any load.
	 */
	private static final int MIN_CRASHED_ADDRESSES = 2;

	/**
	 * Crashes of a sequence that count; fewer than the sound answers that clear a part,
	 * so that endpoints that keep crashing for another reason don't block one.
	 */
	private static final int MAX_COUNTED_CRASHES = 12;

	/** Time for which a crash is kept. */
	static final long CRASH_LIFETIME_MILLIS = 60_000;

	/** Crashes in memory; the oldest ones are discarded first. */
	static final int MAX_CRASHES = 256;

	/** Blocked parts in memory, including those that were cleared. */
	static final int MAX_BLOCKS = 256;

	/** Parts whose sound answers are counted; the least recently used are discarded. */
	static final int MAX_COUNTED_PARTS = 8192;

	/**
	 * Time after a crash from which a request counts as sent later; the age of a crash is
	 * imprecise by the latency of its report, over all hops.
	 */
	static final long AGE_TOLERANCE_MILLIS = 100;

	/** Time for which sound answers before a crash count. */
	private static final long ANSWER_LIFETIME_MILLIS = 60_000;

	private final int process;

	private final LongSupplier clock;

	private final TrialSchedule trials;

	private final Listener listener;

	private final Map<String, EndpointCrash> crashes = new LinkedHashMap<>();

	private final Map<ServicePart, Suspicion> suspicions = new HashMap<>();

	private final Map<ServicePart, PromptBlock> blocks = new LinkedHashMap<>();

	private final Map<ServicePart, AnswerCount> answers = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<ServicePart, AnswerCount> eldest) {
			return size() > MAX_COUNTED_PARTS;
		}

	};

	private final Set<String> newCrashes = new LinkedHashSet<>();

	private final Set<ServicePart> newAnswers = new LinkedHashSet<>();

	private final Set<ServicePart> newBlocks = new LinkedHashSet<>();

	/**
	 * Creates empty evidence.
	 * @param self the name of this process
	 * @param clock returns the time in milliseconds
	 * @param trials decides which process tries a blocked part again
	 * @param listener is notified of changes
	 */
	public CrashEvidence(String self, LongSupplier clock, TrialSchedule trials, Listener listener) {
		this.process = self.hashCode();
		this.clock = clock;
		this.trials = trials;
		this.listener = listener;
	}

	/**
	 * Returns the block that keeps a request from being sent. A part whose block has
	 * expired is tried again by one request of the whole system.
	 * @param service the service of the request
	 * @param parts the shared parts of its prompt
	 * @return the block, empty if the request may be sent
	 */
	public Optional<PromptBlock> blockOf(String service, List<PromptPart> parts) {
		if (this.blocks.isEmpty() || parts.isEmpty()) {
			return Optional.empty();
		}
		long now = this.clock.getAsLong();
		List<PromptBlock> blocking = parts.stream()
			.map((part) -> this.blocks.get(new ServicePart(service, part)))
			.filter((block) -> block != null && !block.cleared())
			.toList();
		Optional<PromptBlock> inForce = blocking.stream()
			.filter((block) -> now < block.untilMillis() || !this.trials.mayTry(block, now))
			.findFirst();
		if (inForce.isEmpty()) {
			blocking.forEach(this.trials::tried);
		}
		return inForce;
	}

	/**
	 * Tells whether a request may be sent again after its response was lost before it had
	 * begun.
	 * @param service the service of the request
	 * @param parts the shared parts of its prompt
	 * @param sentMillis the time at which the lost attempt was sent
	 * @return {@code false} if responses to earlier requests with one of the parts were
	 * lost as well, and few have been sound
	 */
	public boolean mayRepeat(String service, List<PromptPart> parts, long sentMillis) {
		return parts.stream().map((part) -> new ServicePart(service, part)).allMatch((part) -> {
			long earlier = this.crashes.values()
				.stream()
				.filter((crash) -> crash.endedMillis() < sentMillis && crash.involves(part))
				.count();
			return earlier <= answersOf(part) && !isBlocked(part);
		});
	}

	private boolean isBlocked(ServicePart part) {
		PromptBlock block = this.blocks.get(part);
		return block != null && !block.cleared();
	}

	private int answersOf(ServicePart part) {
		AnswerCount count = this.answers.get(part);
		int own = (count != null) ? count.recent(this.clock.getAsLong()) : 0;
		Suspicion suspicion = this.suspicions.get(part);
		return Math.max(own, (suspicion != null) ? suspicion.answers() : 0);
	}

	/**
	 * Records that an answer began and went on soundly.
	 * @param service the service of the request
	 * @param parts the shared parts of its prompt
	 * @param sentMillis the time at which the request was sent
	 */
	public void answered(String service, List<PromptPart> parts, long sentMillis) {
		long now = this.clock.getAsLong();
		for (PromptPart each : parts) {
			ServicePart part = new ServicePart(service, each);
			this.answers.computeIfAbsent(part, (absent) -> new AnswerCount()).add(now);
			Suspicion suspicion = this.suspicions.get(part);
			if (suspicion != null && suspicion.addAnswer(this.process, sentMillis)) {
				this.newAnswers.add(part);
			}
			if (isBlocked(part) && this.blocks.get(part).untilMillis() <= now) {
				clear(part, now);
			}
		}
		notifyOfNews();
	}

	private void clear(ServicePart part, long now) {
		PromptBlock cleared = this.blocks.get(part).clear(now);
		this.blocks.put(part, cleared);
		this.newBlocks.add(part);
		this.listener.cleared(cleared);
	}

	/**
	 * Records that a response was lost before it had begun. It counts towards a block
	 * once the endpoint is known to have crashed.
	 * @param endpoint the incarnation of the endpoint
	 * @param address the endpoint's address
	 * @param service the service of the request
	 * @param parts the shared parts of its prompt
	 * @param sentMillis the time at which the request was sent
	 * @return {@code true} if it is not yet known whether the endpoint has crashed, and
	 * has to be found out
	 */
	public boolean lost(String endpoint, String address, String service, List<PromptPart> parts, long sentMillis) {
		long now = this.clock.getAsLong();
		EndpointCrash known = this.crashes.get(endpoint);
		EndpointCrash crash = (known != null) ? known : new EndpointCrash(endpoint, address, service, now);
		this.crashes.put(endpoint, crash);
		boolean changed = parts.stream().filter((part) -> crash.addSuspect(part, sentMillis)).count() > 0;
		if (crash.confirmed() && changed) {
			countCrash(crash);
		}
		discardOldCrashes(now);
		notifyOfNews();
		return known == null;
	}

	/**
	 * Records that an endpoint no longer accepts connections after responses were lost.
	 * @param endpoint the incarnation of the endpoint
	 */
	public void crashed(String endpoint) {
		EndpointCrash crash = this.crashes.get(endpoint);
		if (crash != null && !crash.confirmed()) {
			crash.confirm();
			this.listener.crashed(endpoint, crash.parts());
			countCrash(crash);
			notifyOfNews();
		}
	}

	/**
	 * Records that an endpoint still accepts connections after responses were lost.
	 * @param endpoint the incarnation of the endpoint
	 */
	public void alive(String endpoint) {
		EndpointCrash crash = this.crashes.get(endpoint);
		if (crash != null && !crash.confirmed()) {
			this.crashes.remove(endpoint);
		}
	}

	private void countCrash(EndpointCrash crash) {
		this.newCrashes.add(crash.endpoint());
		for (ServicePart part : crash.suspects().toList()) {
			suspect(part, crash);
			PromptBlock block = this.blocks.get(part);
			if (block != null && !block.cleared() && block.untilMillis() <= crash.endedMillis()) {
				block(part, block.level() + 1, PromptBlock.durationMillis(block.level() + 1), block.crashes() + 1);
			}
		}
		blockWorst(crash);
	}

	private void suspect(ServicePart part, EndpointCrash crash) {
		Suspicion known = this.suspicions.get(part);
		if (known != null && crash.endedMillis() - known.firstCrashMillis() <= Suspicion.SEQUENCE_MILLIS) {
			if (crash.endedMillis() >= known.firstCrashMillis() - AGE_TOLERANCE_MILLIS) {
				known.crashes().add(crash);
			}
			return;
		}
		AnswerCount count = this.answers.get(part);
		int earlier = Math.min(Suspicion.MAX_EARLIER_ANSWERS,
				(count != null) ? count.recent(this.clock.getAsLong()) : 0);
		if (earlier > 0) {
			this.newAnswers.add(part);
		}
		this.suspicions.put(part, new Suspicion(earlier, crash));
	}

	// Parts that came together in all crashes can't be told apart, so all of them are
	// blocked, for a short time.
	private void blockWorst(EndpointCrash crash) {
		Map<ServicePart, Integer> counts = crash.suspects()
			.filter((part) -> !isBlocked(part))
			.collect(Collectors.toMap((part) -> part, this::unexplainedCrashes));
		int worst = counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		if (worst < CRASHES_TO_BLOCK) {
			return;
		}
		List<ServicePart> parts = counts.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() == worst)
			.map(Map.Entry::getKey)
			.toList();
		parts.forEach((part) -> block(part, 1,
				(parts.size() > 1) ? PromptBlock.AMBIGUOUS_MILLIS : PromptBlock.durationMillis(1), worst));
	}

	// The longest sequence of crashes in which each request was sent after the crash
	// before, as crashes at the same time may have one cause outside the requests.
	private int unexplainedCrashes(ServicePart part) {
		PromptBlock cleared = this.blocks.get(part);
		Suspicion suspicion = this.suspicions.get(part);
		long afterMillis = (cleared != null) ? cleared.sinceMillis() : Long.MIN_VALUE;
		Set<String> addresses = new HashSet<>();
		int count = 0;
		if (suspicion.crashes().size() < CRASHES_TO_BLOCK) {
			return 0;
		}
		List<EndpointCrash> relevant = suspicion.crashes()
			.stream()
			.filter((crash) -> !explained(crash, part))
			.sorted(Comparator.comparingLong((crash) -> crash.endedMillis()))
			.toList();
		for (EndpointCrash crash : relevant) {
			if (crash.sentMillis(part.part()) > afterMillis) {
				count++;
				afterMillis = crash.endedMillis() + AGE_TOLERANCE_MILLIS;
				addresses.add(crash.address());
			}
		}
		return (addresses.size() < MIN_CRASHED_ADDRESSES) ? 0
				: Math.min(count, MAX_COUNTED_CRASHES) - suspicion.answers();
	}

	private boolean explained(EndpointCrash crash, ServicePart part) {
		return crash.suspects().anyMatch((other) -> !other.equals(part) && isBlocked(other));
	}

	private void block(ServicePart part, int level, long durationMillis, int crashCount) {
		adopt(new PromptBlock(part, level, false, this.clock.getAsLong(), durationMillis, crashCount));
	}

	private void adopt(PromptBlock block) {
		this.blocks.remove(block.part());
		this.blocks.put(block.part(), block);
		Iterator<ServicePart> eldest = this.blocks.keySet().iterator();
		if (this.blocks.size() > MAX_BLOCKS) {
			eldest.next();
			eldest.remove();
		}
		this.newBlocks.add(block.part());
		if (block.cleared()) {
			this.listener.cleared(block);
		}
		else {
			this.listener.blocked(block);
		}
	}

	private void discardOldCrashes(long now) {
		Iterator<EndpointCrash> eldest = this.crashes.values().iterator();
		while (eldest.hasNext()) {
			EndpointCrash crash = eldest.next();
			if (this.crashes.size() > MAX_CRASHES || now - crash.endedMillis() > CRASH_LIFETIME_MILLIS) {
				eldest.remove();
				crash.suspects().forEach((part) -> withdraw(part, crash));
			}
		}
	}

	private void withdraw(ServicePart part, EndpointCrash crash) {
		Suspicion suspicion = this.suspicions.get(part);
		if (suspicion != null) {
			suspicion.crashes().remove(crash);
			if (suspicion.crashes().isEmpty()) {
				this.suspicions.remove(part);
			}
		}
	}

	private void notifyOfNews() {
		if (!this.newCrashes.isEmpty() || !this.newAnswers.isEmpty() || !this.newBlocks.isEmpty()) {
			this.listener.news();
		}
	}

	/**
	 * Returns what peers have not been told, and forgets that.
	 * @return the news, empty if there are none
	 */
	PeerFrame.CrashNews takeNews() {
		List<EndpointCrash> told = this.newCrashes.stream()
			.map(this.crashes::get)
			.filter((crash) -> crash != null)
			.toList();
		// A peer that lacks the answers and blocks would draw other conclusions.
		told.stream().flatMap(EndpointCrash::suspects).forEach((part) -> {
			this.newAnswers.add(part);
			this.newBlocks.add(part);
		});
		PeerFrame.CrashNews news = newsOf(told, this.newAnswers, this.newBlocks);
		this.newCrashes.clear();
		this.newAnswers.clear();
		this.newBlocks.clear();
		return news;
	}

	/**
	 * Returns all that is known.
	 * @return crashes, sound answers and blocks
	 */
	PeerFrame.CrashNews all() {
		discardOldCrashes(this.clock.getAsLong());
		return newsOf(this.crashes.values().stream().filter((crash) -> crash.confirmed()).toList(),
				this.suspicions.keySet(), this.blocks.keySet());
	}

	/**
	 * Returns a digest by which peers find out whether their evidence differs.
	 * @return a hash of the crashes and blocks
	 */
	long digest() {
		discardOldCrashes(this.clock.getAsLong());
		long digest = 0;
		for (EndpointCrash crash : this.crashes.values()) {
			if (crash.confirmed()) {
				digest += 31L * crash.endpoint().hashCode() + crash.parts().hashCode();
			}
		}
		for (PromptBlock block : this.blocks.values()) {
			digest += 17L * block.part().hashCode() * (2 * block.level() + (block.cleared() ? 1 : 0));
		}
		return digest;
	}

	private PeerFrame.CrashNews newsOf(Collection<EndpointCrash> someCrashes, Collection<ServicePart> someAnswers,
			Collection<ServicePart> someBlocks) {
		long now = this.clock.getAsLong();
		return new PeerFrame.CrashNews(someCrashes.stream().map((crash) -> crash.report(now)).toList(),
				someAnswers.stream()
					.filter(this.suspicions::containsKey)
					.map((part) -> this.suspicions.get(part).report(part, now))
					.filter((sound) -> sound.earlier() > 0 || !sound.later().isEmpty())
					.toList(),
				someBlocks.stream()
					.map(this.blocks::get)
					.filter((block) -> block != null)
					.map((block) -> block.report(now))
					.toList());
	}

	/**
	 * Merges evidence of a peer. What is new here is news for other peers as well.
	 * @param news the evidence
	 */
	void merge(PeerFrame.CrashNews news) {
		long now = this.clock.getAsLong();
		news.blocks().forEach((report) -> merge(PromptBlock.of(report, now)));
		List<EndpointCrash> changed = new ArrayList<>();
		news.crashes()
			.stream()
			.filter((report) -> report.endedMillisAgo() <= CRASH_LIFETIME_MILLIS)
			.forEach((report) -> merge(report, now).ifPresent(changed::add));
		changed.forEach((crash) -> crash.suspects().forEach((part) -> suspect(part, crash)));
		news.soundAnswers().forEach(this::merge);
		changed.forEach(this::countCrash);
		discardOldCrashes(now);
		notifyOfNews();
	}

	private void merge(PromptBlock received) {
		PromptBlock known = this.blocks.get(received.part());
		if (known == null || received.supersedes(known)) {
			adopt(received);
		}
	}

	private Optional<EndpointCrash> merge(PeerFrame.Crash report, long now) {
		EndpointCrash crash = this.crashes.computeIfAbsent(report.endpoint(),
				(absent) -> new EndpointCrash(report.endpoint(), report.address(), report.service(),
						now - report.endedMillisAgo()));
		boolean changed = !crash.confirmed();
		crash.confirm();
		for (PeerFrame.CrashSuspect suspect : report.suspects()) {
			changed |= crash.addSuspect(new PromptPart(suspect.part()), crash.endedMillis() - suspect.waitedMillis());
		}
		return changed ? Optional.of(crash) : Optional.empty();
	}

	private void merge(PeerFrame.SoundAnswers sound) {
		ServicePart part = new ServicePart(sound.service(), new PromptPart(sound.part()));
		Suspicion suspicion = this.suspicions.get(part);
		if (suspicion != null && suspicion.merge(sound, this.clock.getAsLong())) {
			this.newAnswers.add(part);
		}
	}

	/**
	 * Returns the current time of the clock that blocks refer to.
	 * @return the time in milliseconds
	 */
	public long nowMillis() {
		return this.clock.getAsLong();
	}

	/**
	 * Returns the number of items in memory.
	 * @return crashes, suspected, counted and blocked parts
	 */
	public int size() {
		return this.crashes.size() + this.suspicions.size() + this.answers.size() + this.blocks.size();
	}

	/**
	 * Returns the number of parts that are blocked.
	 * @return the number of parts
	 */
	public int blockedParts() {
		return (int) this.blocks.values().stream().filter((block) -> !block.cleared()).count();
	}

	/**
	 * Receives changes of the evidence.
	 */
	public interface Listener {

		/**
		 * Endpoint crashes, sound answers or blocks are new to peers.
		 */
		void news();

		/**
		 * An endpoint crashed before responses of this process had begun.
		 * @param endpoint the incarnation of the endpoint
		 * @param suspects the parts of the prompts
		 */
		void crashed(String endpoint, Collection<PromptPart> suspects);

		/**
		 * A part is blocked.
		 * @param block the block
		 */
		void blocked(PromptBlock block);

		/**
		 * A part is no longer blocked.
		 * @param block the block that ended
		 */
		void cleared(PromptBlock block);

	}

	/**
	 * Chooses the process that tries a part again after its block has expired.
	 */
	public interface TrialSchedule {

		/**
		 * Tells whether this process may try a part again now.
		 * @param block the expired block
		 * @param nowMillis the current time, in milliseconds
		 * @return {@code true} if no other process may, and this one has not
		 */
		boolean mayTry(PromptBlock block, long nowMillis);

		/**
		 * Records that this process tries a part again.
		 * @param block the expired block
		 */
		void tried(PromptBlock block);

	}

	/**
	 * The sound answers to requests with a part, since the last long pause between them.
	 */
	private static final class AnswerCount {

		private int count;

		private long lastMillis;

		private void add(long nowMillis) {
			this.count = recent(nowMillis) + 1;
			this.lastMillis = nowMillis;
		}

		private int recent(long nowMillis) {
			return (nowMillis - this.lastMillis > ANSWER_LIFETIME_MILLIS) ? 0 : this.count;
		}

	}

}
