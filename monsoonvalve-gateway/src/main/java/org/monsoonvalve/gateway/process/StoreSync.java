package org.monsoonvalve.gateway.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.core.connection.PeerTransport;
import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.Member;

/**
 * Keeps the replica of the platform's store up to date. One process of the system watches
 * the store, and the others follow it through a reader in each availability zone; a
 * process whose reader is not up to date watches the store itself. A process that has
 * neither requests changes from random peers, so that it still receives what its peers
 * have when the store refuses its calls or doesn't answer them. Confined to the control
 * thread.
 *
 * @author monsoonvalve maintainers
 */
final class StoreSync {

	/**
	 * Longest time that the store may hold a watch open; short, so that an unresponsive
	 * store is detected soon.
	 */
	private static final long WATCH_TIMEOUT_MILLIS = 700;

	/**
	 * Longest wait of the watch that confirms a snapshot, which may be out of date; the
	 * store answers at once if it is.
	 */
	private static final long CONFIRM_TIMEOUT_MILLIS = 20;

	/**
	 * Time since the store confirmed a revision after which the replica is no longer up
	 * to date.
	 */
	private static final long MAX_STORE_AGE_MILLIS = 1100;

	/**
	 * Time without an up-to-date answer from the reader after which a process watches the
	 * store itself.
	 */
	private static final long READER_TIMEOUT_MILLIS = 1000;

	/** Longest time that a reader waits for a change before it answers a follower. */
	private static final long READER_WAIT_MILLIS = 600;

	/** Questions that may wait for a change; each follower asks one at a time. */
	private static final int MAX_WAITING_FOLLOWERS = 1000;

	/** Interval between checks for a reader that is up to date. */
	private static final long READER_CHECK_MILLIS = 150;

	/** Delay after a watch, so that changes in quick succession cost one call. */
	private static final long COALESCE_MILLIS = 120;

	/**
	 * Delay after a watch in a large fleet, where endpoints change all the time and each
	 * answer is passed on to many processes.
	 */
	private static final long LARGE_FLEET_COALESCE_MILLIS = 250;

	/** Processes from which on a fleet is large. */
	private static final int LARGE_FLEET_PROCESSES = 32;

	/** Delay after a failed call to the store. */
	private static final long RETRY_MILLIS = 400;

	/**
	 * Interval between requests to random peers while the replica is not up to date; a
	 * quarter of the bound on the propagation of a configuration.
	 */
	private static final long PEER_SYNC_MILLIS = 500;

	/**
	 * Time after a start, and after the store was restored, during which random peers are
	 * asked even if the replica is up to date: they may have a newer configuration than
	 * the store.
	 */
	private static final long ORIENTATION_MILLIS = 10_000;

	/** Timeout for a peer's answer; the latency between peers is a few milliseconds. */
	private static final long PEER_TIMEOUT_MILLIS = 400;

	/**
	 * Failures of a watch that would fail again: the store has dropped the changes, or
	 * they are larger than a response may be. Its content is read instead.
	 */
	private static final Set<FailureCode> UNAVAILABLE_CHANGES = EnumSet.of(FailureCode.CONFLICT,
			FailureCode.ANSWER_TOO_LARGE);

	private final EraCheckedStore store;

	private final GatewaySettings settings;

	private final ScheduledExecutorService control;

	private final StoreReplica replica;

	private final FleetViewBuilder viewBuilder;

	private final Consumer<FleetView> onChange;

	private final DecisionLog log;

	private final PeerTransport peers;

	private final Function<PeerFrame, CompletableFuture<PeerFrame>> otherFrames;

	private final FactsUpstream upstream;

	private final FactCompressor compressor = new FactCompressor();

	/** A key may have a retained record beside the one that the store holds. */
	private final FactCompressor retainedCompressor = new FactCompressor();

	private final List<WaitingFollower> waitingFollowers = new ArrayList<>();

	private FleetView view = FleetView.empty();

	private boolean storeAvailable = true;

	private long confirmedMillis = EventLoop.nowMillis() - MAX_STORE_AGE_MILLIS;

	private long lastReaderAnswerMillis = EventLoop.nowMillis();

	private boolean readerRequestPending;

	private int watchSequence;

	private long orientedAtMillis = EventLoop.nowMillis() + ORIENTATION_MILLIS;

	StoreSync(EraCheckedStore store, EntryDecoder decoder, GatewaySettings settings, EventLoop loop,
			ScheduledExecutorService control, DecisionLog log, Consumer<FleetView> onChange,
			Function<PeerFrame, CompletableFuture<PeerFrame>> otherFrames) {
		this.store = store;
		this.settings = settings;
		this.control = control;
		this.log = log;
		this.onChange = onChange;
		this.replica = new StoreReplica(new RecordRetention(decoder, log));
		this.viewBuilder = new FleetViewBuilder(decoder, log);
		this.upstream = new FactsUpstream(settings.name(), settings.zone());
		this.otherFrames = otherFrames;
		this.peers = PeerTransport.start(loop, settings.peers(), control, this::handleFrame);
		store.onLaterEra((era, previous) -> control.execute(() -> runAndLogFailure("enter an era", this::enterEra)));
	}

	void start() {
		this.control.execute(() -> loadSnapshot(this.store.staleSnapshot(), this.watchSequence));
		this.control.scheduleWithFixedDelay(() -> runAndLogFailure("ask a peer", this::syncWithRandomPeer),
				PEER_SYNC_MILLIS, PEER_SYNC_MILLIS, TimeUnit.MILLISECONDS);
		this.control.scheduleWithFixedDelay(() -> runAndLogFailure("follow the reader", this::followReader),
				READER_CHECK_MILLIS, READER_CHECK_MILLIS, TimeUnit.MILLISECONDS);
		this.control.scheduleWithFixedDelay(() -> runAndLogFailure("expire records", this::expireRetained),
				READER_CHECK_MILLIS, READER_CHECK_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the number of records of an earlier era that are in effect.
	 * @return the number; may be out of date on other threads than the control thread
	 */
	int retainedRecords() {
		return this.replica.retainedCount();
	}

	/**
	 * Returns the size of the values that are kept for peers and after their removal.
	 * @return the number of bytes; may be out of date on other threads than the control
	 * thread
	 */
	long historyBytes() {
		return this.replica.historyBytes() + this.compressor.keptBytes() + this.retainedCompressor.keptBytes();
	}

	/**
	 * Returns how often a configuration stayed in force against an older one.
	 * @return the number; may be out of date on other threads than the control thread
	 */
	long keptConfigurations() {
		return this.viewBuilder.keptConfigurations();
	}

	// A pending watch belongs to the ended era. A process that follows another one gets
	// the new content from there.
	private void enterEra() {
		this.orientedAtMillis = EventLoop.nowMillis() + ORIENTATION_MILLIS;
		boolean restored = this.replica.position().era() > 0 && this.store.isPast(this.replica.position().era());
		if (restored && !readerAnswers()) {
			this.watchSequence++;
			loadSnapshot(this.store.read("", 0), this.watchSequence);
		}
	}

	private void expireRetained() {
		if (this.replica.expireRetained(EventLoop.nowMillis())) {
			publishView();
		}
	}

	private void runAndLogFailure(String task, Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			logFailure(task, ex);
		}
	}

	private void logFailure(String task, Throwable failure) {
		this.log.record(LogEvent.TASK_FAILED, "task", task, "reason", ServingException.from(failure).getMessage());
	}

	// An unexpected error must not end the sequence of watches.
	private <T> void handle(CompletableFuture<T> answer, int sequence, BiConsumer<T, Throwable> handler) {
		answer.handleAsync((value, failure) -> {
			if (sequence == this.watchSequence) {
				handler.accept(value, failure);
			}
			return null;
		}, this.control).exceptionally((unexpected) -> {
			logFailure("follow the store", unexpected);
			schedule(() -> watchStore(sequence), RETRY_MILLIS);
			return null;
		});
	}

	PeerTransport peers() {
		return this.peers;
	}

	void close() {
		this.peers.close();
	}

	// The view of a snapshot is published once a watch has shown what it lacks.
	private void loadSnapshot(CompletableFuture<PlatformStore.Snapshot> reading, int sequence) {
		handle(reading, sequence, (snapshot, failure) -> {
			if (failure != null) {
				storeFailed(failure);
				schedule(() -> readStore(sequence), RETRY_MILLIS);
				return;
			}
			StorePosition before = this.replica.position();
			boolean applied = resetReplica(snapshot, "store");
			this.log.record(LogEvent.FACTS_READ, "position", snapshot.position(), "keys", snapshot.entries().size(),
					"before", before, "applied", applied);
			watchStore(CONFIRM_TIMEOUT_MILLIS, sequence);
		});
	}

	private void readStore(int sequence) {
		if (sequence == this.watchSequence) {
			loadSnapshot(this.store.read("", 0), sequence);
		}
	}

	private boolean resetReplica(PlatformStore.Snapshot snapshot, String source) {
		StorePosition before = this.replica.position();
		boolean applied = this.replica.reset(snapshot, EventLoop.nowMillis());
		if (applied && before.era() > 0 && before.precedesEraOf(snapshot.position())) {
			this.log.record(LogEvent.STORE_RESTORED, "before", before, "position", snapshot.position(), "source",
					source, "keys", snapshot.entries().size(), "retained", this.replica.retainedCount());
		}
		return applied;
	}

	private void watchStore(int sequence) {
		if (sequence != this.watchSequence) {
			return;
		}
		if (readerUpToDate()) {
			schedule(() -> watchStore(sequence), READER_CHECK_MILLIS);
		}
		else {
			watchStore(WATCH_TIMEOUT_MILLIS, sequence);
		}
	}

	private void watchStore(long waitMillis, int sequence) {
		handle(this.store.changes(this.replica.position(), waitMillis), sequence, (changes, failure) -> {
			if (failure == null) {
				storeAnswered();
				apply(changes);
				schedule(() -> watchStore(sequence), coalesceMillis());
			}
			else if (UNAVAILABLE_CHANGES.contains(ServingException.from(failure).code())) {
				logFailure("watch the store", failure);
				readStore(sequence);
			}
			else {
				storeFailed(failure);
				schedule(() -> watchStore(sequence), RETRY_MILLIS);
			}
		});
	}

	private long coalesceMillis() {
		return (this.view.members().size() < LARGE_FLEET_PROCESSES) ? COALESCE_MILLIS : LARGE_FLEET_COALESCE_MILLIS;
	}

	private void schedule(Runnable task, long millis) {
		this.control.schedule(task, millis, TimeUnit.MILLISECONDS);
	}

	private Optional<Member> reader() {
		return this.upstream.select(this.view.members().values(), EventLoop.nowMillis());
	}

	private boolean readerUpToDate() {
		return readerAnswers() && !this.store.isPast(this.replica.position().era());
	}

	private boolean readerAnswers() {
		return reader().isPresent() && EventLoop.nowMillis() - this.lastReaderAnswerMillis < READER_TIMEOUT_MILLIS;
	}

	private void followReader() {
		Optional<Member> reader = reader();
		if (reader.isEmpty() || this.readerRequestPending) {
			return;
		}
		this.readerRequestPending = true;
		Address address = reader.get().peerAddress();
		requestFacts(address, READER_WAIT_MILLIS).whenCompleteAsync((facts, failure) -> {
			this.readerRequestPending = false;
			if (failure != null) {
				logFailure("follow the reader", failure);
			}
			if (facts == null) {
				this.upstream.failed(address, EventLoop.nowMillis());
			}
			else if (facts.storeAgeMillis() < MAX_STORE_AGE_MILLIS) {
				this.lastReaderAnswerMillis = EventLoop.nowMillis();
				followReader();
			}
		}, this.control);
	}

	private void storeAnswered() {
		this.confirmedMillis = EventLoop.nowMillis();
		if (!this.storeAvailable) {
			this.storeAvailable = true;
			this.log.record(LogEvent.PLATFORM_BACK, "position", this.replica.position());
		}
	}

	private void storeFailed(Throwable failure) {
		if (this.storeAvailable) {
			this.storeAvailable = false;
			this.log.record(LogEvent.PLATFORM_LOST, "reason", ServingException.from(failure).getMessage(), "position",
					this.replica.position());
		}
	}

	private void apply(WatchableStore.Changes changes) {
		this.replica.apply(changes, EventLoop.nowMillis());
		answerFollowers();
		if (this.replica.changedSinceTaken()) {
			publishView();
		}
	}

	private void publishView() {
		Predicate<String> exists = (key) -> this.replica.entry(key).isPresent();
		this.compressor.retain(exists);
		this.retainedCompressor.retain(exists);
		this.view = this.viewBuilder.build(this.replica);
		this.onChange.accept(this.view);
	}

	private long storeAgeMillis() {
		return EventLoop.nowMillis() - this.confirmedMillis;
	}

	private void syncWithRandomPeer() {
		if (storeAgeMillis() < MAX_STORE_AGE_MILLIS && EventLoop.nowMillis() > this.orientedAtMillis) {
			return;
		}
		List<Address> others = this.view.members()
			.values()
			.stream()
			.filter((member) -> !member.name().equals(this.settings.name()))
			.map(Member::peerAddress)
			.toList();
		if (!others.isEmpty()) {
			requestFacts(others.get(ThreadLocalRandom.current().nextInt(others.size())), 0);
		}
	}

	private CompletableFuture<PeerFrame.Facts> requestFacts(Address peer, long waitMillis) {
		PeerFrame question = new PeerFrame.FactsQuestion(this.replica.position().revision(), waitMillis,
				this.replica.position().era(), this.view.configurationVersion());
		return this.peers.ask(peer, question, waitMillis + PEER_TIMEOUT_MILLIS).handleAsync((answer, failure) -> {
			if (answer instanceof PeerFrame.Facts facts) {
				applyFacts(peer, facts);
				return facts;
			}
			if (failure != null) {
				this.log.record(LogEvent.PEER_FAILED, "peer", peer, "reason",
						ServingException.from(failure).getMessage());
			}
			return null;
		}, this.control);
	}

	private void applyFacts(Address peer, PeerFrame.Facts facts) {
		this.store.observe(facts.era());
		StorePosition position = facts.position();
		if (this.store.isPast(position.era())) {
			this.log.record(LogEvent.PEER_FAILED, "peer", peer, "reason",
					(position.era() > 0) ? "its content of the store is of the earlier era " + position.era()
							: "it doesn't state the era of its content of the store");
			return;
		}
		if (!this.replica.position().isAfter(position)) {
			this.confirmedMillis = Math.max(this.confirmedMillis, EventLoop.nowMillis() - facts.storeAgeMillis());
		}
		boolean changed = false;
		FactCompressor.Decoder decoder = FactCompressor.decoder();
		if (position.isAfter(this.replica.position())) {
			if (facts.whole()) {
				changed = resetReplica(new PlatformStore.Snapshot(position, entriesOf(facts.facts(), decoder)),
						peer.toString());
			}
			else {
				changed = this.replica.apply(new WatchableStore.Changes(position,
						facts.facts()
							.stream()
							.map((fact) -> new WatchableStore.Change(fact.key(), position.at(fact.revision()),
									decoder.valueOf(fact)))
							.toList()),
						EventLoop.nowMillis());
			}
			answerFollowers();
		}
		for (PlatformStore.Entry record : entriesOf(Objects.requireNonNullElse(facts.retained(), List.of()), decoder)) {
			changed |= this.replica.retainFromPeer(record);
		}
		// A snapshot that no watch has confirmed yet is not published.
		if (changed) {
			if (!this.storeAvailable) {
				this.log.record(LogEvent.FACTS_FROM_PEER, "peer", peer, "position", position);
			}
			publishView();
		}
	}

	private static List<PlatformStore.Entry> entriesOf(List<PeerFrame.Fact> facts, FactCompressor.Decoder decoder) {
		return facts.stream()
			.map((fact) -> new PlatformStore.Entry(fact.key(), fact.position(), decoder.valueOf(fact)))
			.toList();
	}

	private CompletableFuture<PeerFrame> handleFrame(PeerFrame frame) {
		if (!(frame instanceof PeerFrame.FactsQuestion question)) {
			return this.otherFrames.apply(frame);
		}
		CompletableFuture<PeerFrame> reply = new CompletableFuture<>();
		this.control.execute(() -> answerOrHold(question, reply));
		return reply;
	}

	private void answerOrHold(PeerFrame.FactsQuestion question, CompletableFuture<PeerFrame> reply) {
		this.store.observe(question.era());
		if (question.waitMillis() <= 0 || this.replica.position().isAfter(question.after())
				|| this.waitingFollowers.size() >= MAX_WAITING_FOLLOWERS) {
			reply.complete(factsFor(question));
			return;
		}
		WaitingFollower follower = new WaitingFollower(question, reply);
		this.waitingFollowers.add(follower);
		Future<?> end = this.control.schedule(() -> {
			this.waitingFollowers.remove(follower);
			reply.complete(factsFor(question));
		}, Math.min(question.waitMillis(), READER_WAIT_MILLIS), TimeUnit.MILLISECONDS);
		reply.whenComplete((facts, failure) -> end.cancel(false));
	}

	// Comes before the update of this process's own view, which may fail.
	private void answerFollowers() {
		List<WaitingFollower> waiting = List.copyOf(this.waitingFollowers);
		this.waitingFollowers.clear();
		// Most followers have the same content, so that its changes are compressed once.
		Map<FactsRange, PeerFrame> answers = new HashMap<>();
		waiting.forEach((follower) -> follower.reply()
			.complete(answers.computeIfAbsent(rangeOf(follower.question()), this::factsIn)));
	}

	private PeerFrame factsFor(PeerFrame.FactsQuestion question) {
		return factsIn(rangeOf(question));
	}

	private FactsRange rangeOf(PeerFrame.FactsQuestion question) {
		return new FactsRange(question.after(), question.configurationVersion() < this.view.configurationVersion());
	}

	// Replies with the changes after a position, or with all entries if the history no
	// longer includes those changes.
	private PeerFrame factsIn(FactsRange range) {
		StorePosition position = this.replica.position();
		Optional<WatchableStore.Changes> changes = this.replica.changesAfter(range.after());
		List<PeerFrame.Fact> facts = changes
			.map((missing) -> missing.changes()
				.stream()
				.map((change) -> this.compressor.encode(change.key(), change.position(), change.value()))
				.toList())
			.orElseGet(() -> encode(this.compressor, this.replica.storedEntries()));
		List<PeerFrame.Fact> retained = (changes.isEmpty() || range.lacksConfiguration())
				? encode(this.retainedCompressor, this.replica.retainedForPeers()) : List.of();
		return new PeerFrame.Facts(position.revision(), storeAgeMillis(), changes.isEmpty(), facts, position.era(),
				retained);
	}

	private static List<PeerFrame.Fact> encode(FactCompressor compressor, Collection<PlatformStore.Entry> entries) {
		return entries.stream()
			.map((entry) -> compressor.encode(entry.key(), entry.position(), entry.value()))
			.toList();
	}

	/**
	 * What a peer lacks.
	 *
	 * @param after the position of the peer's content
	 * @param lacksConfiguration whether it has an older configuration
	 */
	private record FactsRange(StorePosition after, boolean lacksConfiguration) {

	}

	/**
	 * A follower's request that waits for a change.
	 *
	 * @param question the request
	 * @param reply receives the facts
	 */
	private record WaitingFollower(PeerFrame.FactsQuestion question, CompletableFuture<PeerFrame> reply) {

	}

}
