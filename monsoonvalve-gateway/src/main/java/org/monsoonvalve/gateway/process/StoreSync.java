package org.monsoonvalve.gateway.process;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.core.connection.PeerTransport;
import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.Member;

/**
 * Keeps the replica of the platform's store up to date. One process of each availability
 * zone, the reader, watches the store, and the others poll the reader; without an
 * up-to-date reader a process watches the store itself. Every process also requests
 * changes from random peers, so that a process whose calls the store refuses or doesn't
 * answer still receives what its peers have. Confined to the control thread.
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
	 * Age of the store's last answer to the reader at which the reader is no longer up to
	 * date.
	 */
	private static final long MAX_STORE_AGE_MILLIS = 1100;

	/**
	 * Time without an up-to-date answer from the reader after which a process watches the
	 * store itself.
	 */
	private static final long READER_TIMEOUT_MILLIS = 600;

	/** Interval between requests to the reader of this process's zone. */
	private static final long READER_POLL_MILLIS = 150;

	/** Delay after a watch, so that changes in quick succession cost one call. */
	private static final long COALESCE_MILLIS = 120;

	/** Delay after a failed call to the store. */
	private static final long RETRY_MILLIS = 400;

	/**
	 * Interval between requests to a random peer; a quarter of the bound on the
	 * propagation of a configuration.
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

	private FleetView view = FleetView.empty();

	private boolean storeAvailable = true;

	private long lastStoreAnswerMillis = EventLoop.nowMillis();

	private long lastReaderAnswerMillis = EventLoop.nowMillis();

	private boolean readerRequestPending;

	StoreSync(WatchableStore store, EntryDecoder decoder, GatewaySettings settings, ScheduledExecutorService control,
			DecisionLog log, Consumer<FleetView> onChange) {
		this.store = store;
		this.settings = settings;
		this.control = control;
		this.log = log;
		this.onChange = onChange;
		this.viewBuilder = new FleetViewBuilder(decoder, log);
		this.peers = PeerTransport.start(settings.peers(), control, this::handleFrame);
	}

	void start() {
		this.control.execute(this::loadSnapshot);
		this.control.scheduleWithFixedDelay(this::syncWithRandomPeer, PEER_SYNC_MILLIS, PEER_SYNC_MILLIS,
				TimeUnit.MILLISECONDS);
		this.control.scheduleWithFixedDelay(this::pollReader, READER_POLL_MILLIS, READER_POLL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	void close() {
		this.peers.close();
	}

	private void loadSnapshot() {
		this.store.read("", 0).whenCompleteAsync((snapshot, failure) -> {
			if (failure != null) {
				storeFailed(failure);
				schedule(this::loadSnapshot, RETRY_MILLIS);
				return;
			}
			storeAnswered();
			if (this.replica.reset(snapshot)) {
				this.log.record(LogEvent.FACTS_READ, "revision", snapshot.revision(), "keys",
						snapshot.entries().size());
				publishView();
			}
			watchStore();
		}, this.control);
	}

	private void watchStore() {
		if (readerUpToDate()) {
			schedule(this::watchStore, READER_POLL_MILLIS);
			return;
		}
		this.store.changes(this.replica.revision(), WATCH_TIMEOUT_MILLIS).whenCompleteAsync((changes, failure) -> {
			if (failure == null) {
				storeAnswered();
				if (this.replica.apply(changes)) {
					publishView();
				}
				schedule(this::watchStore, COALESCE_MILLIS);
			}
			else if (ServingException.from(failure).code() == FailureCode.CONFLICT) {
				loadSnapshot();
			}
			else {
				storeFailed(failure);
				schedule(this::watchStore, RETRY_MILLIS);
			}
		}, this.control);
	}

	private void schedule(Runnable task, long millis) {
		this.control.schedule(task, millis, TimeUnit.MILLISECONDS);
	}

	// Returns the process of this zone with the lowest name, empty if that is this
	// process.
	private Optional<Member> zoneReader() {
		return this.view.members()
			.values()
			.stream()
			.filter((member) -> member.zone().equals(this.settings.zone()))
			.min(Comparator.comparing(Member::name))
			.filter((member) -> !member.name().equals(this.settings.name()));
	}

	private boolean readerUpToDate() {
		return zoneReader().isPresent() && EventLoop.nowMillis() - this.lastReaderAnswerMillis < READER_TIMEOUT_MILLIS;
	}

	private void pollReader() {
		Optional<Member> reader = zoneReader();
		if (reader.isPresent() && !this.readerRequestPending) {
			this.readerRequestPending = true;
			requestFacts(reader.get().peerAddress()).whenCompleteAsync((facts, failure) -> {
				this.readerRequestPending = false;
				if (facts != null && facts.storeAgeMillis() < MAX_STORE_AGE_MILLIS) {
					this.lastReaderAnswerMillis = EventLoop.nowMillis();
				}
			}, this.control);
		}
	}

	private void storeAnswered() {
		this.lastStoreAnswerMillis = EventLoop.nowMillis();
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

	private void publishView() {
		this.view = this.viewBuilder.build(this.replica);
		this.onChange.accept(this.view);
	}

	private void syncWithRandomPeer() {
		List<Address> others = this.view.members()
			.values()
			.stream()
			.filter((member) -> !member.name().equals(this.settings.name()))
			.map(Member::peerAddress)
			.toList();
		if (!others.isEmpty()) {
			requestFacts(others.get(ThreadLocalRandom.current().nextInt(others.size())));
		}
	}

	private CompletableFuture<PeerFrame.Facts> requestFacts(Address peer) {
		return this.peers.ask(peer, new PeerFrame.FactsQuestion(this.replica.revision()), PEER_TIMEOUT_MILLIS)
			.handleAsync((answer, failure) -> {
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
		if (facts.revision() <= this.replica.revision()) {
			return;
		}
		boolean changed = facts.whole()
				? this.replica.reset(new PlatformStore.Snapshot(facts.revision(),
						facts.facts()
							.stream()
							.map((fact) -> new PlatformStore.Entry(fact.key(), fact.revision(), fact.value()))
							.toList()))
				: this.replica.apply(new WatchableStore.Changes(facts.revision(),
						facts.facts()
							.stream()
							.map((fact) -> new WatchableStore.Change(fact.key(), fact.revision(), fact.value()))
							.toList()));
		if (changed) {
			if (!this.storeAvailable) {
				this.log.record(LogEvent.FACTS_FROM_PEER, "peer", peer, "revision", facts.revision());
			}
			publishView();
		}
	}

	private CompletableFuture<PeerFrame> handleFrame(PeerFrame frame) {
		return CompletableFuture.supplyAsync(() -> {
			if (frame instanceof PeerFrame.FactsQuestion question) {
				return factsAfter(question.afterRevision());
			}
			return new PeerFrame.Ack();
		}, this.control);
	}

	// Replies with the changes after a revision, or with all entries if the history no
	// longer includes those changes.
	private PeerFrame factsAfter(long revision) {
		long storeAge = EventLoop.nowMillis() - this.lastStoreAnswerMillis;
		return this.replica.changesAfter(revision)
			.map((changes) -> new PeerFrame.Facts(changes.revision(), storeAge, false,
					changes.changes()
						.stream()
						.map((change) -> new PeerFrame.Fact(change.key(), change.revision(), change.value()))
						.toList()))
			.orElseGet(() -> new PeerFrame.Facts(this.replica.revision(), storeAge, true,
					this.replica.entries()
						.stream()
						.map((entry) -> new PeerFrame.Fact(entry.key(), entry.revision(), entry.value()))
						.toList()));
	}

}
