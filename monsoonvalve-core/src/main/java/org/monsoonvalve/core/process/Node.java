package org.monsoonvalve.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.EtcdPlatformStore;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.Member;
import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.core.connection.PeerTransport;
import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.VmList;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.core.version.Configuration;
import org.monsoonvalve.core.version.DocumentKey;
import org.monsoonvalve.core.version.DocumentStore;
import org.monsoonvalve.core.version.VersionedDocument;

/**
 * What entries and controllers have in common: connections, replicated documents,
 * membership and background tasks.
 *
 * @author monsoonvalve maintainers
 */
public final class Node implements AutoCloseable {

	private static final long CONNECT_TIMEOUT_MILLIS = 1000;

	private static final long PLATFORM_TIMEOUT_MILLIS = 1500;

	private static final long PEER_TIMEOUT_MILLIS = 1000;

	private static final long ROUND_TIMEOUT_MILLIS = 800;

	private static final long GOSSIP_PERIOD_MILLIS = 500;

	private static final long READER_PERIOD_MILLIS = 500;

	private static final long VM_LIST_PERIOD_MILLIS = 1000;

	private static final long BYSTANDER_PERIOD_MILLIS = 10_000;

	private static final long FRESH_MILLIS = 2000;

	private static final long PAUSE_TICK_MILLIS = 250;

	private static final long PAUSE_MILLIS = 1500;

	private static final int TASK_THREADS = 6;

	private static final int READERS_PER_ZONE = 2;

	private static final int GOSSIP_FANOUT = 2;

	private static final int PUSH_FANOUT = 4;

	private static final int MEMBERS_PER_GOSSIP = 8;

	private final EventLog log = EventLog.of(Node.class);

	private final NodeSettings settings;

	private final String role;

	private final ElapsedClock clock;

	private final HttpClient http;

	private final PeerTransport peers;

	private final PlatformStore platform;

	private final VmList vmList;

	private final DocumentStore documents = DocumentStore.empty();

	private final AtomicReference<Configuration> configuration = new AtomicReference<>(Configuration.empty());

	private final Membership membership;

	private final LeavingVms leavingVms;

	private final PauseGate gate;

	private final ScheduledExecutorService tasks;

	private final long startedMillis;

	private final AtomicLong heartbeat = new AtomicLong();

	private final AtomicLong platformRevision = new AtomicLong();

	private final AtomicLong platformReads = new AtomicLong();

	private final AtomicBoolean platformAnswers = new AtomicBoolean(true);

	private final AtomicBoolean leaving = new AtomicBoolean();

	private final AtomicBoolean slotIssuer = new AtomicBoolean();

	private final AtomicReference<ElapsedClock.Reading> lastPlatformRead = new AtomicReference<>();

	private final AtomicReference<Function<PeerFrame, CompletableFuture<PeerFrame>>> extraFrames;

	private Node(NodeSettings settings, String role) {
		this.settings = settings;
		this.role = role;
		this.clock = ElapsedClock.system();
		this.startedMillis = this.clock.wallMillis();
		this.http = HttpClient.start(CONNECT_TIMEOUT_MILLIS);
		this.tasks = Executors.newScheduledThreadPool(TASK_THREADS, (task) -> {
			Thread thread = new Thread(task, "node-task");
			thread.setDaemon(true);
			return thread;
		});
		String userAgent = "monsoonvalve-" + role + "/" + settings.zone() + "/" + settings.id();
		this.platform = EtcdPlatformStore.of(this.http, settings.platform(), userAgent, PLATFORM_TIMEOUT_MILLIS);
		this.vmList = VmList.of(this.http, settings.platform(), userAgent, PLATFORM_TIMEOUT_MILLIS);
		this.membership = Membership.of(settings.id(), this.clock);
		this.leavingVms = LeavingVms.of(this.clock);
		this.extraFrames = new AtomicReference<>((frame) -> CompletableFuture.completedFuture(new PeerFrame.Done()));
		this.gate = PauseGate.of(this.clock, FRESH_MILLIS, this::round);
		this.documents.listen(this::compile);
		this.peers = PeerTransport.start(settings.peerListen(), this.http.timer(), this::received);
	}

	/**
	 * Starts a node.
	 * @param settings its settings
	 * @param role what it does, {@code entry} or {@code controller}
	 * @return the node
	 */
	public static Node start(NodeSettings settings, String role) {
		Node node = new Node(settings, role);
		node.every("gossip", GOSSIP_PERIOD_MILLIS, node::gossip);
		node.every("platform", READER_PERIOD_MILLIS, node::readPlatformInTurn);
		node.every("vm-list", VM_LIST_PERIOD_MILLIS, node::readVmList);
		node.every("pause-watch", PAUSE_TICK_MILLIS, node.new PauseWatch()::tick);
		return node;
	}

	/**
	 * Runs a task again and again.
	 * @param name the task's name in logs
	 * @param periodMillis the pause between runs, in milliseconds
	 * @param task the task
	 */
	public void every(String name, long periodMillis, Runnable task) {
		this.tasks.scheduleWithFixedDelay(() -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				this.log.emit(LogEvent.TASK_FAILED, name, ex);
			}
		}, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Sets who answers frames that concern neither documents nor membership.
	 * @param receiver the receiver
	 */
	public void onFrame(Function<PeerFrame, CompletableFuture<PeerFrame>> receiver) {
		this.extraFrames.set(receiver);
	}

	/**
	 * Takes in a document that this node wrote or read, and hands it to peers.
	 * @param document the document
	 */
	public void accept(VersionedDocument document) {
		if (this.documents.offer(document)) {
			spread(List.of(document), PUSH_FANOUT * 2);
		}
	}

	/**
	 * Compares the documents with the platform and some peers.
	 * @return completed when the platform or all asked peers have answered or timed out
	 */
	private CompletableFuture<Void> round() {
		CompletableFuture<Void> done = new CompletableFuture<>();
		List<CompletableFuture<?>> asked = new ArrayList<>();
		CompletableFuture<Boolean> platformRead = readPlatform();
		platformRead.thenAccept((answered) -> {
			if (answered) {
				done.complete(null);
			}
		});
		asked.add(platformRead);
		gossipTargets(PUSH_FANOUT).forEach((address) -> asked.add(gossipWith(address)));
		CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
			.whenComplete((all, failure) -> done.complete(null));
		return done.completeOnTimeout(null, ROUND_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void gossip() {
		this.heartbeat.incrementAndGet();
		gossipTargets(GOSSIP_FANOUT).forEach(this::gossipWith);
		this.gate.pass();
	}

	private List<Address> gossipTargets(int fanout) {
		List<Address> targets = new ArrayList<>(
				this.membership.sample(fanout, ThreadLocalRandom.current()).stream().map(Member::peerAddress).toList());
		List<Address> seeds = this.settings.peers()
			.stream()
			.filter((seed) -> !seed.equals(this.settings.peerListen()))
			.toList();
		if (!seeds.isEmpty() && targets.size() < fanout) {
			targets.add(seeds.get(ThreadLocalRandom.current().nextInt(seeds.size())));
		}
		return targets.stream().distinct().toList();
	}

	private CompletableFuture<Void> gossipWith(Address address) {
		PeerFrame.Gossip question = new PeerFrame.Gossip(self(), this.documents.digest().revisions(),
				this.membership.sample(MEMBERS_PER_GOSSIP, ThreadLocalRandom.current()), this.leavingVms.recent());
		return this.peers.ask(address, question, PEER_TIMEOUT_MILLIS).handle((answer, failure) -> {
			if (answer instanceof PeerFrame.GossipReply reply) {
				learn(reply.self(), reply.members(), reply.leaving());
				offerAll(reply.documents());
				List<VersionedDocument> lacking = this.documents.newerThan(new DocumentStore.Digest(reply.digest()));
				if (!lacking.isEmpty() && Mechanism.PEER_DOCUMENTS.on()) {
					push(address, lacking);
				}
			}
			else if (failure != null) {
				this.log.emit(LogEvent.PEER_FAILED, address, ServingException.from(failure).getMessage());
			}
			return null;
		});
	}

	private CompletableFuture<PeerFrame> received(PeerFrame frame) {
		if (frame instanceof PeerFrame.Gossip gossip) {
			learn(gossip.self(), gossip.members(), gossip.leaving());
			List<PeerFrame.Document> lacking = Mechanism.PEER_DOCUMENTS.on()
					? frames(this.documents.newerThan(new DocumentStore.Digest(gossip.digest()))) : List.of();
			return CompletableFuture.completedFuture(new PeerFrame.GossipReply(self(),
					this.documents.digest().revisions(), lacking,
					this.membership.sample(MEMBERS_PER_GOSSIP, ThreadLocalRandom.current()), this.leavingVms.recent()));
		}
		if (frame instanceof PeerFrame.Push push) {
			offerAll(push.documents());
			return CompletableFuture.completedFuture(new PeerFrame.Done());
		}
		return this.extraFrames.get().apply(frame);
	}

	private void learn(Member peer, List<Member> others, List<PeerFrame.LeavingVm> leaving) {
		this.membership.learn(List.of(peer));
		this.membership.learn(others);
		leaving.forEach(this.leavingVms::learn);
	}

	private void readVmList() {
		if (!isReader()) {
			return;
		}
		this.vmList.read().thenAccept((content) -> {
			boolean news = content.vms()
				.stream()
				.filter((vm) -> VmList.Vm.LEAVING.equals(vm.state()))
				.map((vm) -> this.leavingVms.learn(new PeerFrame.LeavingVm(vm.id(), 0)))
				.reduce(false, Boolean::logicalOr);
			if (news) {
				gossipTargets(PUSH_FANOUT * 2).forEach(this::gossipWith);
			}
		});
	}

	private void offerAll(List<PeerFrame.Document> received) {
		List<VersionedDocument> fresh = received.stream()
			.map((document) -> new VersionedDocument(new DocumentKey(document.path()), document.revision(),
					document.bytes()))
			.filter(this.documents::offer)
			.toList();
		if (!fresh.isEmpty()) {
			spread(fresh, PUSH_FANOUT);
		}
	}

	private void spread(List<VersionedDocument> fresh, int fanout) {
		if (Mechanism.PEER_DOCUMENTS.on()) {
			this.membership.sample(fanout, ThreadLocalRandom.current())
				.forEach((member) -> push(member.peerAddress(), fresh));
		}
	}

	private void push(Address address, List<VersionedDocument> fresh) {
		this.peers.ask(address, new PeerFrame.Push(frames(fresh)), PEER_TIMEOUT_MILLIS);
	}

	private static List<PeerFrame.Document> frames(List<VersionedDocument> fresh) {
		return fresh.stream()
			.map((document) -> new PeerFrame.Document(document.key().path(), document.revision(), document.bytes()))
			.toList();
	}

	private void readPlatformInTurn() {
		ElapsedClock.Reading last = this.lastPlatformRead.get();
		boolean due = last == null || this.clock.elapsedMillis(last) >= BYSTANDER_PERIOD_MILLIS;
		if (due || isReader() || !this.configuration.get().ready()) {
			readPlatform();
		}
	}

	private boolean isReader() {
		long before = this.membership.live()
			.stream()
			.filter((member) -> member.zone().equals(this.settings.zone()) && !member.leaving())
			.filter((member) -> member.id().compareTo(this.settings.id().value()) < 0)
			.count();
		return before < READERS_PER_ZONE;
	}

	private CompletableFuture<Boolean> readPlatform() {
		this.platformReads.incrementAndGet();
		long since = this.platformRevision.get();
		this.lastPlatformRead.set(this.clock.now());
		return this.platform.read(DocumentKey.PREFIX, (since > 0) ? since + 1 : 0).handle((snapshot, failure) -> {
			if (failure != null) {
				if (this.platformAnswers.getAndSet(false)) {
					this.log.emit(LogEvent.PLATFORM_LOST, ServingException.from(failure).getMessage());
				}
				return false;
			}
			if (!this.platformAnswers.getAndSet(true)) {
				this.log.emit(LogEvent.PLATFORM_BACK);
			}
			snapshot.entries()
				.forEach((entry) -> accept(
						new VersionedDocument(new DocumentKey(entry.key()), entry.revision(), entry.value())));
			this.platformRevision.accumulateAndGet(snapshot.revision(), Math::max);
			return true;
		});
	}

	private void compile(VersionedDocument document) {
		try {
			this.configuration.set(Configuration.of(this.documents));
			this.log.emit(LogEvent.DOCUMENT_IN_FORCE, document.key().path(), document.revision());
		}
		catch (RuntimeException ex) {
			this.log.emit(LogEvent.DOCUMENT_REFUSED, document.key().path(), document.revision(), ex.getMessage());
		}
	}

	/**
	 * Describes this process to peers.
	 * @return the description
	 */
	public Member self() {
		Configuration current = this.configuration.get();
		return new Member(this.settings.id().value(), this.settings.zone(), this.role, this.settings.peerListen(),
				this.settings.httpListen(), this.startedMillis, this.heartbeat.get(), current.inventoryRevision(),
				current.rulesRevision(), this.leaving.get(), this.slotIssuer.get());
	}

	/**
	 * Returns the configuration in force here.
	 * @return the configuration
	 */
	public Configuration configuration() {
		return this.configuration.get();
	}

	/**
	 * Returns the gate that new work passes before it is judged.
	 * @return the gate
	 */
	public PauseGate gate() {
		return this.gate;
	}

	/**
	 * Returns the replicated documents.
	 * @return the store
	 */
	public DocumentStore documents() {
		return this.documents;
	}

	/**
	 * Returns the other processes.
	 * @return the membership
	 */
	public Membership membership() {
		return this.membership;
	}

	/**
	 * Returns the VMs that the platform is about to take away.
	 * @return the VMs
	 */
	public LeavingVms leavingVms() {
		return this.leavingVms;
	}

	/**
	 * Returns the platform's key-value service.
	 * @return the store
	 */
	public PlatformStore platform() {
		return this.platform;
	}

	/**
	 * Returns the platform's VM list.
	 * @return the list
	 */
	public VmList vmList() {
		return this.vmList;
	}

	/**
	 * Returns the opener of connections.
	 * @return the client
	 */
	public HttpClient http() {
		return this.http;
	}

	/**
	 * Returns the exchange of frames with peers.
	 * @return the transport
	 */
	public PeerTransport peers() {
		return this.peers;
	}

	/**
	 * Returns the clock.
	 * @return the clock
	 */
	public ElapsedClock clock() {
		return this.clock;
	}

	/**
	 * Returns the settings.
	 * @return the settings
	 */
	public NodeSettings settings() {
		return this.settings;
	}

	/**
	 * Returns how often this process read the documents from the platform.
	 * @return the reads since the start
	 */
	public long platformReads() {
		return this.platformReads.get();
	}

	/**
	 * Tells whether the platform answered the last read.
	 * @return {@code false} during an outage
	 */
	public boolean platformAnswers() {
		return this.platformAnswers.get();
	}

	/**
	 * Tells peers that this process is shutting down.
	 */
	public void leave() {
		this.leaving.set(true);
		this.heartbeat.incrementAndGet();
		gossipTargets(PUSH_FANOUT).forEach(this::gossipWith);
	}

	/**
	 * Tells peers whether this process issues the cold-start slots of its availability
	 * zone.
	 * @param issuer whether it does
	 */
	public void issuesSlots(boolean issuer) {
		if (this.slotIssuer.getAndSet(issuer) != issuer) {
			this.log.emit(LogEvent.SLOT_ISSUER, this.settings.zone(), issuer);
			this.heartbeat.incrementAndGet();
			this.membership.sample(PUSH_FANOUT * 2, ThreadLocalRandom.current())
				.forEach((member) -> gossipWith(member.peerAddress()));
		}
	}

	@Override
	public void close() {
		this.tasks.shutdownNow();
		this.peers.close();
		this.http.close();
	}

	private final class PauseWatch {

		private ElapsedClock.Reading last = Node.this.clock.now();

		private void tick() {
			long elapsedMillis = Node.this.clock.elapsedMillis(this.last);
			if (elapsedMillis > PAUSE_MILLIS) {
				Node.this.log.emit(LogEvent.PAUSED, elapsedMillis);
			}
			this.last = Node.this.clock.now();
		}

	}

}
