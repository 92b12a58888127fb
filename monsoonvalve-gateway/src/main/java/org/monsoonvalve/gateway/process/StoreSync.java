package org.monsoonvalve.gateway.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;

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

	/** Timeout for a peer's answer; the latency between peers is a few milliseconds. */
	private static final long PEER_TIMEOUT_MILLIS = 400;

	private final WatchableStore store;

	private final GatewaySettings settings;

	private final ScheduledExecutorService control;

	private final StoreReplica replica = new StoreReplica();

	private final FleetViewBuilder viewBuilder;

	private final Consumer<FleetView> onChange;

	private final DecisionLog log;

	private final PeerTransport peers;

	private final Function<PeerFrame, CompletableFuture<PeerFrame>> otherFrames;

	private final FactsUpstream upstream;

	private final FactCompressor compressor = new FactCompressor();

	private final List<WaitingFollower> waitingFollowers = new ArrayList<>();

	private FleetView view = FleetView.empty();

	private boolean storeAvailable = true;

	private long confirmedMillis = EventLoop.nowMillis() - MAX_STORE_AGE_MILLIS;

	private long lastReaderAnswerMillis = EventLoop.nowMillis();

	private boolean readerRequestPending;

	StoreSync(WatchableStore store, EntryDecoder decoder, GatewaySettings settings, EventLoop loop,
			ScheduledExecutorService control, DecisionLog log, Consumer<FleetView> onChange,
			Function<PeerFrame, CompletableFuture<PeerFrame>> otherFrames) {
		this.store = store;
		this.settings = settings;
		this.control = control;
		this.log = log;
		this.onChange = onChange;
		this.viewBuilder = new FleetViewBuilder(decoder, log);
		this.upstream = new FactsUpstream(settings.name(), settings.zone());
		this.otherFrames = otherFrames;
		this.peers = PeerTransport.start(loop, settings.peers(), control, this::handleFrame);
	}

	void start() {
		this.control.execute(() -> loadSnapshot(this.store.staleSnapshot()));
		this.control.scheduleWithFixedDelay(() -> runAndLogFailure("ask a peer", this::syncWithRandomPeer),
				PEER_SYNC_MILLIS, PEER_SYNC_MILLIS, TimeUnit.MILLISECONDS);
		this.control.scheduleWithFixedDelay(() -> runAndLogFailure("follow the reader", this::followReader),
				READER_CHECK_MILLIS, READER_CHECK_MILLIS, TimeUnit.MILLISECONDS);
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
	private <T> void handle(CompletableFuture<T> answer, BiConsumer<T, Throwable> handler) {
		answer.handleAsync((value, failure) -> {
			handler.accept(value, failure);
			return null;
		}, this.control).exceptionally((unexpected) -> {
			logFailure("follow the store", unexpected);
			schedule(this::watchStore, RETRY_MILLIS);
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
	private void loadSnapshot(CompletableFuture<PlatformStore.Snapshot> reading) {
		handle(reading, (snapshot, failure) -> {
			if (failure != null) {
				storeFailed(failure);
				schedule(() -> loadSnapshot(this.store.read("", 0)), RETRY_MILLIS);
				return;
			}
			StorePosition before = StorePosition.of(this.replica.revision());
			boolean applied = this.replica.reset(snapshot);
			this.log.record(LogEvent.FACTS_READ, "position", snapshot.position(), "keys", snapshot.entries().size(),
					"before", before, "applied", applied);
			watchStore(CONFIRM_TIMEOUT_MILLIS);
		});
	}

	private void watchStore() {
		if (readerUpToDate()) {
			schedule(this::watchStore, READER_CHECK_MILLIS);
		}
		else {
			watchStore(WATCH_TIMEOUT_MILLIS);
		}
	}

	private void watchStore(long waitMillis) {
		handle(this.store.changes(StorePosition.of(this.replica.revision()), waitMillis), (changes, failure) -> {
			if (failure == null) {
				storeAnswered();
				apply(changes);
				schedule(this::watchStore, coalesceMillis());
			}
			else if (ServingException.from(failure).code() == FailureCode.CONFLICT) {
				loadSnapshot(this.store.read("", 0));
			}
			else {
				storeFailed(failure);
				schedule(this::watchStore, RETRY_MILLIS);
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
			this.log.record(LogEvent.PLATFORM_BACK, "revision", this.replica.revision());
		}
	}

	private void storeFailed(Throwable failure) {
		if (this.storeAvailable) {
			this.storeAvailable = false;
			this.log.record(LogEvent.PLATFORM_LOST, "reason", ServingException.from(failure).getMessage(), "revision",
					this.replica.revision());
		}
	}

	private void apply(WatchableStore.Changes changes) {
		this.replica.apply(changes);
		answerFollowers();
		if (this.replica.changedSinceTaken()) {
			publishView();
		}
	}

	private void publishView() {
		this.view = this.viewBuilder.build(this.replica);
		this.onChange.accept(this.view);
	}

	private long storeAgeMillis() {
		return EventLoop.nowMillis() - this.confirmedMillis;
	}

	private void syncWithRandomPeer() {
		if (storeAgeMillis() < MAX_STORE_AGE_MILLIS) {
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
		PeerFrame question = new PeerFrame.FactsQuestion(this.replica.revision(), waitMillis);
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
		if (facts.revision() >= this.replica.revision()) {
			this.confirmedMillis = Math.max(this.confirmedMillis, EventLoop.nowMillis() - facts.storeAgeMillis());
		}
		if (facts.revision() <= this.replica.revision()) {
			return;
		}
		boolean changed = facts.whole()
				? this.replica.reset(new PlatformStore.Snapshot(facts.revision(), facts.facts()
					.stream()
					.map((fact) -> new PlatformStore.Entry(fact.key(), fact.revision(), FactCompressor.valueOf(fact)))
					.toList()))
				: this.replica.apply(new WatchableStore.Changes(StorePosition.of(facts.revision()),
						facts.facts()
							.stream()
							.map((fact) -> new WatchableStore.Change(fact.key(), StorePosition.of(fact.revision()),
									FactCompressor.valueOf(fact)))
							.toList()));
		answerFollowers();
		if (changed) {
			if (!this.storeAvailable) {
				this.log.record(LogEvent.FACTS_FROM_PEER, "peer", peer, "revision", facts.revision());
			}
			publishView();
		}
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
		if (question.waitMillis() <= 0 || question.afterRevision() < this.replica.revision()) {
			reply.complete(factsAfter(question.afterRevision()));
			return;
		}
		WaitingFollower follower = new WaitingFollower(question.afterRevision(), reply);
		this.waitingFollowers.add(follower);
		Future<?> end = this.control.schedule(() -> {
			this.waitingFollowers.remove(follower);
			reply.complete(factsAfter(question.afterRevision()));
		}, Math.min(question.waitMillis(), READER_WAIT_MILLIS), TimeUnit.MILLISECONDS);
		reply.whenComplete((facts, failure) -> end.cancel(false));
	}

	// Comes before the update of this process's own view, which may fail.
	private void answerFollowers() {
		List<WaitingFollower> waiting = List.copyOf(this.waitingFollowers);
		this.waitingFollowers.clear();
		waiting.forEach((follower) -> follower.reply().complete(factsAfter(follower.afterRevision())));
	}

	// Replies with the changes after a revision, or with all entries if the history no
	// longer includes those changes.
	private PeerFrame factsAfter(long revision) {
		long storeAge = storeAgeMillis();
		return this.replica.changesAfter(revision)
			.map((changes) -> new PeerFrame.Facts(changes.position().revision(), storeAge, false, changes.changes()
				.stream()
				.map((change) -> this.compressor.encode(change.key(), change.position().revision(), change.value()))
				.toList()))
			.orElseGet(() -> new PeerFrame.Facts(this.replica.revision(), storeAge, true,
					this.replica.entries()
						.stream()
						.map((entry) -> this.compressor.encode(entry.key(), entry.revision(), entry.value()))
						.toList()));
	}

	/**
	 * A follower's request that waits for a change.
	 *
	 * @param afterRevision the revision that the follower has
	 * @param reply receives the facts
	 */
	private record WaitingFollower(long afterRevision, CompletableFuture<PeerFrame> reply) {

	}

}
