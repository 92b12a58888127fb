package org.monsoonvalve.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.monsoonvalve.core.connection.EtcdPlatformStore;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.Member;
import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.VmList;
import org.monsoonvalve.core.version.Configuration;
import org.monsoonvalve.core.version.DocumentStore;
import org.monsoonvalve.core.version.VersionedDocument;

/**
 * Provides what entries and controllers have in common: connections, replicated
 * documents, membership and background tasks.
 *
 * @author monsoonvalve maintainers
 */
public final class Node implements AutoCloseable {

	private static final long CONNECT_TIMEOUT_MILLIS = 1000;

	private static final long PLATFORM_TIMEOUT_MILLIS = 1500;

	private static final long COMPARISON_TIMEOUT_MILLIS = 800;

	private static final long GOSSIP_PERIOD_MILLIS = 1000;

	private static final long DOCUMENT_READ_PERIOD_MILLIS = 500;

	private static final long VM_LIST_READ_PERIOD_MILLIS = 1000;

	private static final long COMPARISON_MAX_AGE_MILLIS = 2000;

	private static final long PAUSE_CHECK_PERIOD_MILLIS = 250;

	private static final long PAUSE_THRESHOLD_MILLIS = 1500;

	private static final int LEASE_CANDIDATES_PER_ZONE = 3;

	private static final int TASK_THREADS = 6;

	private final EventLog log = EventLog.of(Node.class);

	private final NodeSettings settings;

	private final String role;

	private final ElapsedClock clock = ElapsedClock.system();

	private final long startedMillis = this.clock.wallMillis();

	private final HttpClient http = HttpClient.start(CONNECT_TIMEOUT_MILLIS);

	private final PlatformStore platform;

	private final VmList vmList;

	private final DocumentStore documents = DocumentStore.empty();

	private final AtomicReference<Configuration> configuration = new AtomicReference<>(Configuration.empty());

	private final Membership membership;

	private final LeavingVms leavingVms = LeavingVms.of(this.clock);

	private final PeerExchange exchange;

	private final PlatformReader reader;

	private final PauseGate gate = PauseGate.of(this.clock, COMPARISON_MAX_AGE_MILLIS, this::compareDocuments);

	private final ScheduledExecutorService tasks = Executors.newScheduledThreadPool(TASK_THREADS, (task) -> {
		Thread thread = new Thread(task, "node-task");
		thread.setDaemon(true);
		return thread;
	});

	// Announcements advance it too, as peers ignore a description of this process whose
	// heartbeat is not newer.
	private final AtomicLong heartbeat = new AtomicLong();

	private final AtomicBoolean leaving = new AtomicBoolean();

	private final AtomicBoolean slotIssuer = new AtomicBoolean();

	private Node(NodeSettings settings, String role) {
		this.settings = settings;
		this.role = role;
		String userAgent = "monsoonvalve-" + role + "/" + settings.zone() + "/" + settings.id();
		this.platform = EtcdPlatformStore.of(this.http, settings.platform(), userAgent, PLATFORM_TIMEOUT_MILLIS);
		this.vmList = VmList.of(this.http, settings.platform(), userAgent, PLATFORM_TIMEOUT_MILLIS);
		this.membership = Membership.of(settings.id(), this.clock);
		this.documents.addListener(this::rebuildConfiguration);
		this.exchange = PeerExchange.start(settings, this::self, this.documents, this.membership, this.leavingVms,
				this.http.timer());
		this.exchange.onCompared(this.gate::recordComparison);
		this.reader = new PlatformReader(settings, this.platform, this.vmList, this.membership, this.leavingVms,
				this.exchange, this.clock);
	}

	/**
	 * Starts a node and its background tasks.
	 * @param settings the settings of the node
	 * @param role the role of the process, {@code entry} or {@code controller}
	 * @return the node
	 */
	public static Node start(NodeSettings settings, String role) {
		Node node = new Node(settings, role);
		node.every("gossip", GOSSIP_PERIOD_MILLIS, node::gossip);
		node.every("platform", DOCUMENT_READ_PERIOD_MILLIS,
				() -> node.reader.readIfDue(() -> node.configuration().ready()));
		node.every("vm-list", VM_LIST_READ_PERIOD_MILLIS, node.reader::readVmListIfReader);
		node.every("pause-watch", PAUSE_CHECK_PERIOD_MILLIS, node.new PauseDetector()::tick);
		return node;
	}

	/**
	 * Schedules a task with a fixed delay; a run that fails is logged.
	 * @param name the task's name in logs
	 * @param periodMillis the delay between the end of a run and the start of the next,
	 * in milliseconds
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
	 * Stores a document that this node wrote or read, and sends it to peers if it is new.
	 * @param document the document
	 */
	public void accept(VersionedDocument document) {
		this.exchange.accept(document);
	}

	/**
	 * Compares the documents with the platform and some peers.
	 * @return completed when the platform has answered, when all calls have ended, or
	 * after the timeout
	 */
	private CompletableFuture<Void> compareDocuments() {
		CompletableFuture<Void> done = new CompletableFuture<>();
		CompletableFuture<Boolean> platformRead = this.reader.read();
		platformRead.thenAccept((answered) -> {
			if (answered) {
				done.complete(null);
			}
		});
		List<CompletableFuture<?>> pending = new ArrayList<>(this.exchange.compare());
		pending.add(platformRead);
		CompletableFuture.allOf(pending.toArray(CompletableFuture[]::new))
			.whenComplete((all, failure) -> done.complete(null));
		return done.completeOnTimeout(null, COMPARISON_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void gossip() {
		this.heartbeat.incrementAndGet();
		this.exchange.gossip();
		// Starts a comparison if none is recent; else the next request would.
		this.gate.pass();
	}

	private void rebuildConfiguration(VersionedDocument document) {
		try {
			this.configuration.set(Configuration.of(this.documents));
			this.log.emit(LogEvent.DOCUMENT_IN_FORCE, document.key().path(), document.revision());
		}
		catch (RuntimeException ex) {
			this.log.emit(LogEvent.DOCUMENT_REFUSED, document.key().path(), document.revision(), ex.getMessage());
		}
	}

	/**
	 * Returns the description of this process that is sent to peers.
	 * @return the description
	 */
	public Member self() {
		Configuration current = this.configuration.get();
		return new Member(this.settings.id().value(), this.settings.zone(), this.role, this.settings.peerListen(),
				this.settings.httpListen(), this.startedMillis, this.heartbeat.get(), current.inventoryRevision(),
				current.rulesRevision(), this.leaving.get(), this.slotIssuer.get());
	}

	/**
	 * Returns the configuration that this process currently applies.
	 * @return the configuration
	 */
	public Configuration configuration() {
		return this.configuration.get();
	}

	/**
	 * Returns the gate that holds back new requests until the configuration was recently
	 * compared with others.
	 * @return the gate
	 */
	public PauseGate gate() {
		return this.gate;
	}

	/**
	 * Returns the store of replicated documents.
	 * @return the store
	 */
	public DocumentStore documents() {
		return this.documents;
	}

	/**
	 * Returns the membership of the other processes.
	 * @return the membership
	 */
	public Membership membership() {
		return this.membership;
	}

	/**
	 * Returns the VMs that the platform reports as leaving.
	 * @return the VMs
	 */
	public LeavingVms leavingVms() {
		return this.leavingVms;
	}

	/**
	 * Returns the platform's key-value store.
	 * @return the store
	 */
	public PlatformStore platform() {
		return this.platform;
	}

	/**
	 * Returns the client for the platform's VM list.
	 * @return the client
	 */
	public VmList vmList() {
		return this.vmList;
	}

	/**
	 * Returns the reader of documents and VM list from the platform.
	 * @return the reader
	 */
	public PlatformReader reader() {
		return this.reader;
	}

	/**
	 * Returns the HTTP client.
	 * @return the client
	 */
	public HttpClient http() {
		return this.http;
	}

	/**
	 * Returns the document and membership exchange with peers.
	 * @return the exchange
	 */
	public PeerExchange exchange() {
		return this.exchange;
	}

	/**
	 * Returns the clock that measures elapsed time.
	 * @return the clock
	 */
	public ElapsedClock clock() {
		return this.clock;
	}

	/**
	 * Returns the settings of this node.
	 * @return the settings
	 */
	public NodeSettings settings() {
		return this.settings;
	}

	/**
	 * Tells whether this process campaigns for the leases of its availability zone. Only
	 * the first few processes of a role by identifier do, so that the load on the
	 * platform does not grow with the number of processes.
	 * @return {@code true} if it is one of the first few
	 */
	public boolean leaseCandidate() {
		long precedingMembers = this.membership.live()
			.stream()
			.filter((member) -> member.zone().equals(this.settings.zone()) && member.role().equals(this.role))
			.filter((member) -> !member.leaving() && member.id().compareTo(this.settings.id().value()) < 0)
			.count();
		return precedingMembers < LEASE_CANDIDATES_PER_ZONE;
	}

	/**
	 * Announces to peers that this process is shutting down.
	 */
	public void leave() {
		this.leaving.set(true);
		this.heartbeat.incrementAndGet();
		this.exchange.gossipUrgently();
	}

	/**
	 * Sets whether this process issues the cold-start slots of its availability zone, and
	 * announces a change to peers.
	 * @param issuer whether it issues them
	 */
	public void setSlotIssuer(boolean issuer) {
		if (this.slotIssuer.getAndSet(issuer) != issuer) {
			this.log.emit(LogEvent.SLOT_ISSUER, this.settings.zone(), issuer);
			this.heartbeat.incrementAndGet();
			this.exchange.gossipUrgently();
		}
	}

	@Override
	public void close() {
		this.tasks.shutdownNow();
		this.exchange.close();
		this.http.close();
	}

	private final class PauseDetector {

		private ElapsedClock.Reading last = Node.this.clock.now();

		private void tick() {
			long elapsedMillis = Node.this.clock.elapsedMillis(this.last);
			if (elapsedMillis > PAUSE_THRESHOLD_MILLIS) {
				Node.this.log.emit(LogEvent.PAUSED, elapsedMillis);
			}
			this.last = Node.this.clock.now();
		}

	}

}
