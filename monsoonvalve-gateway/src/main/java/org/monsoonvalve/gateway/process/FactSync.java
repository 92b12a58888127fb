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
 * Keeps the copy of the platform's store current: watches the store, and compares with
 * peers, so that a process that the store refuses or leaves in silence still learns what
 * others know. Everything happens on one control thread.
 *
 * @author monsoonvalve maintainers
 */
final class FactSync {

	/**
	 * How long the store may hold a watch open; short, so that silence is noticed soon.
	 */
	private static final long WATCH_MILLIS = 700;

	/** Age of the store's last answer at which a reader no longer serves its zone. */
	private static final long STALE_MILLIS = 1100;

	/** Time without an answer after which a reader no longer serves its zone. */
	private static final long READER_SILENCE_MILLIS = 600;

	/** Time between questions to the reader of the own zone. */
	private static final long ASK_READER_MILLIS = 150;

	/** Pause between two watches, so that changes in quick succession cost one call. */
	private static final long COALESCE_MILLIS = 120;

	/** Pause after a failed call to the store. */
	private static final long RETRY_MILLIS = 400;

	/**
	 * Time between comparisons with any peer; a quarter of the bound on configuration.
	 */
	private static final long COMPARE_MILLIS = 500;

	/** Longest wait for a peer; peers are a few milliseconds away. */
	private static final long PEER_TIMEOUT_MILLIS = 400;

	private final FactStore store;

	private final GatewaySettings settings;

	private final ScheduledExecutorService control;

	private final FactReplica replica = new FactReplica();

	private final FleetViewBuilder builder;

	private final Consumer<FleetView> onChange;

	private final DecisionLog log;

	private final PeerTransport peers;

	private FleetView view = FleetView.empty();

	private boolean storeAnswers = true;

	private long storeAnsweredMillis = EventLoop.nowMillis();

	private long readerAnsweredMillis = EventLoop.nowMillis();

	private boolean asking;

	FactSync(FactStore store, FactDecoder decoder, GatewaySettings settings, ScheduledExecutorService control,
			DecisionLog log, Consumer<FleetView> onChange) {
		this.store = store;
		this.settings = settings;
		this.control = control;
		this.log = log;
		this.onChange = onChange;
		this.builder = new FleetViewBuilder(decoder, log);
		this.peers = PeerTransport.start(settings.peers(), control, this::answerPeer);
	}

	void start() {
		this.control.execute(this::load);
		this.control.scheduleWithFixedDelay(this::compare, COMPARE_MILLIS, COMPARE_MILLIS, TimeUnit.MILLISECONDS);
		this.control.scheduleWithFixedDelay(this::askReader, ASK_READER_MILLIS, ASK_READER_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	void close() {
		this.peers.close();
	}

	private void load() {
		this.store.read("", 0).whenCompleteAsync((snapshot, failure) -> {
			if (failure != null) {
				lost(failure);
				later(this::load, RETRY_MILLIS);
				return;
			}
			answered();
			if (this.replica.reset(snapshot)) {
				this.log.record(LogEvent.FACTS_READ, "revision", snapshot.revision(), "keys",
						snapshot.entries().size());
				publish();
			}
			watch();
		}, this.control);
	}

	private void watch() {
		if (readerServes()) {
			later(this::watch, ASK_READER_MILLIS);
			return;
		}
		this.store.changes(this.replica.revision(), WATCH_MILLIS).whenCompleteAsync((changes, failure) -> {
			if (failure == null) {
				answered();
				if (this.replica.apply(changes)) {
					publish();
				}
				later(this::watch, COALESCE_MILLIS);
			}
			else if (ServingException.from(failure).code() == FailureCode.CONFLICT) {
				load();
			}
			else {
				lost(failure);
				later(this::watch, RETRY_MILLIS);
			}
		}, this.control);
	}

	private void later(Runnable task, long millis) {
		this.control.schedule(task, millis, TimeUnit.MILLISECONDS);
	}

	// One process of each zone watches the store, and the others ask it.
	private Optional<Member> reader() {
		return this.view.members()
			.values()
			.stream()
			.filter((member) -> member.zone().equals(this.settings.zone()))
			.min(Comparator.comparing(Member::name))
			.filter((member) -> !member.name().equals(this.settings.name()));
	}

	private boolean readerServes() {
		return reader().isPresent() && EventLoop.nowMillis() - this.readerAnsweredMillis < READER_SILENCE_MILLIS;
	}

	private void askReader() {
		Optional<Member> reader = reader();
		if (reader.isPresent() && !this.asking) {
			this.asking = true;
			ask(reader.get().peerAddress()).whenCompleteAsync((facts, failure) -> {
				this.asking = false;
				if (facts != null && facts.storeAgeMillis() < STALE_MILLIS) {
					this.readerAnsweredMillis = EventLoop.nowMillis();
				}
			}, this.control);
		}
	}

	private void answered() {
		this.storeAnsweredMillis = EventLoop.nowMillis();
		if (!this.storeAnswers) {
			this.storeAnswers = true;
			this.log.record(LogEvent.PLATFORM_BACK, "revision", this.replica.revision());
		}
	}

	private void lost(Throwable failure) {
		if (this.storeAnswers) {
			this.storeAnswers = false;
			this.log.record(LogEvent.PLATFORM_LOST, "reason", ServingException.from(failure).getMessage(), "revision",
					this.replica.revision());
		}
	}

	private void publish() {
		this.view = this.builder.build(this.replica);
		this.onChange.accept(this.view);
	}

	private void compare() {
		List<Address> others = this.view.members()
			.values()
			.stream()
			.filter((member) -> !member.name().equals(this.settings.name()))
			.map(Member::peerAddress)
			.toList();
		if (!others.isEmpty()) {
			ask(others.get(ThreadLocalRandom.current().nextInt(others.size())));
		}
	}

	private CompletableFuture<PeerFrame.Facts> ask(Address peer) {
		return this.peers.ask(peer, new PeerFrame.FactsQuestion(this.replica.revision()), PEER_TIMEOUT_MILLIS)
			.handleAsync((answer, failure) -> {
				if (answer instanceof PeerFrame.Facts facts) {
					learn(peer, facts);
					return facts;
				}
				if (failure != null) {
					this.log.record(LogEvent.PEER_FAILED, "peer", peer, "reason",
							ServingException.from(failure).getMessage());
				}
				return null;
			}, this.control);
	}

	private void learn(Address peer, PeerFrame.Facts facts) {
		if (facts.revision() <= this.replica.revision()) {
			return;
		}
		boolean changed = facts.whole()
				? this.replica.reset(new PlatformStore.Snapshot(facts.revision(),
						facts.facts()
							.stream()
							.map((fact) -> new PlatformStore.Entry(fact.key(), fact.revision(), fact.value()))
							.toList()))
				: this.replica.apply(new FactStore.Changes(facts.revision(),
						facts.facts()
							.stream()
							.map((fact) -> new FactStore.Change(fact.key(), fact.revision(), fact.value()))
							.toList()));
		if (changed) {
			if (!this.storeAnswers) {
				this.log.record(LogEvent.FACTS_FROM_PEER, "peer", peer, "revision", facts.revision());
			}
			publish();
		}
	}

	private CompletableFuture<PeerFrame> answerPeer(PeerFrame frame) {
		return CompletableFuture.supplyAsync(() -> {
			if (frame instanceof PeerFrame.FactsQuestion question) {
				return factsAfter(question.afterRevision());
			}
			return new PeerFrame.Ack();
		}, this.control);
	}

	private PeerFrame factsAfter(long revision) {
		long storeAge = EventLoop.nowMillis() - this.storeAnsweredMillis;
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
