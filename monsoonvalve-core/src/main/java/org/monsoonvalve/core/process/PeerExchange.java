package org.monsoonvalve.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.Member;
import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.core.connection.PeerTransport;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.core.version.DocumentKey;
import org.monsoonvalve.core.version.DocumentStore;
import org.monsoonvalve.core.version.VersionedDocument;

/**
 * Compares documents with peers, passes new ones on, and learns which processes live. A
 * new document leads to comparisons with a few peers at once, which hand it to those that
 * lack it; regular comparisons find what these missed.
 *
 * @author monsoonvalve maintainers
 */
public final class PeerExchange implements AutoCloseable {

	private static final long PEER_TIMEOUT_MILLIS = 1000;

	private static final int GOSSIP_FANOUT = 1;

	private static final int PUSH_FANOUT = 4;

	private static final int URGENT_FANOUT = 8;

	private static final int OWN_ZONE_MEMBERS_PER_GOSSIP = 6;

	private static final int OTHER_MEMBERS_PER_GOSSIP = 2;

	private final EventLog log = EventLog.of(PeerExchange.class);

	private final NodeSettings settings;

	private final Supplier<Member> self;

	private final DocumentStore documents;

	private final Membership membership;

	private final LeavingVms leavingVms;

	private final PeerTransport transport;

	private final AtomicReference<Function<PeerFrame, CompletableFuture<PeerFrame>>> otherFrames = new AtomicReference<>(
			(frame) -> CompletableFuture.completedFuture(new PeerFrame.Ack()));

	private final AtomicReference<Consumer<ElapsedClock.Reading>> compared = new AtomicReference<>((start) -> {
	});

	private final ElapsedClock clock = ElapsedClock.system();

	private PeerExchange(NodeSettings settings, Supplier<Member> self, DocumentStore documents, Membership membership,
			LeavingVms leavingVms, ScheduledExecutorService timer) {
		this.settings = settings;
		this.self = self;
		this.documents = documents;
		this.membership = membership;
		this.leavingVms = leavingVms;
		this.transport = PeerTransport.start(settings.peerListen(), timer, this::received);
	}

	/**
	 * Starts listening for peers.
	 * @param settings the node's settings
	 * @param self describes the node
	 * @param documents the node's documents
	 * @param membership the processes that the node knows
	 * @param leavingVms the leaving VMs that the node knows
	 * @param timer drives timeouts
	 * @return the exchange
	 */
	public static PeerExchange start(NodeSettings settings, Supplier<Member> self, DocumentStore documents,
			Membership membership, LeavingVms leavingVms, ScheduledExecutorService timer) {
		return new PeerExchange(settings, self, documents, membership, leavingVms, timer);
	}

	/**
	 * Sets who answers frames that concern neither documents nor membership.
	 * @param receiver the receiver
	 */
	public void onOtherFrame(Function<PeerFrame, CompletableFuture<PeerFrame>> receiver) {
		this.otherFrames.set(receiver);
	}

	/**
	 * Sets who is told of each comparison that a peer answered.
	 * @param receiver takes the time at which the comparison began
	 */
	public void onCompared(Consumer<ElapsedClock.Reading> receiver) {
		this.compared.set(receiver);
	}

	/**
	 * Returns the transport that carries the frames.
	 * @return the transport
	 */
	public PeerTransport transport() {
		return this.transport;
	}

	/**
	 * Compares with a few peers, as is done regularly.
	 */
	public void gossip() {
		targets(GOSSIP_FANOUT).forEach(this::gossipWith);
	}

	/**
	 * Compares with many peers at once, as after news that should spread fast.
	 */
	public void gossipUrgently() {
		targets(URGENT_FANOUT).forEach(this::gossipWith);
	}

	/**
	 * Compares with some peers and tells when they have answered.
	 * @return a future for each peer
	 */
	public List<CompletableFuture<Void>> compare() {
		return targets(PUSH_FANOUT).stream().map(this::gossipWith).toList();
	}

	/**
	 * Takes in a document that this process wrote or read, and hands it to peers.
	 * @param document the document
	 */
	public void accept(VersionedDocument document) {
		if (this.documents.offer(document) && Mechanism.PEER_DOCUMENTS.on()) {
			gossipUrgently();
		}
	}

	@Override
	public void close() {
		this.transport.close();
	}

	private List<Address> targets(int fanout) {
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
		PeerFrame.Gossip question = new PeerFrame.Gossip(this.self.get(), this.documents.digest().revisions(),
				someMembers(), this.leavingVms.recent());
		ElapsedClock.Reading start = this.clock.now();
		return this.transport.ask(address, question, PEER_TIMEOUT_MILLIS).handle((answer, failure) -> {
			if (answer instanceof PeerFrame.GossipReply reply) {
				learn(reply.self(), reply.members(), reply.leaving());
				offerAll(reply.documents());
				this.compared.get().accept(start);
				pushLacking(address, new DocumentStore.Digest(reply.digest()));
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
			List<PeerFrame.Document> lacking = frames(lacking(new DocumentStore.Digest(gossip.digest())));
			return CompletableFuture.completedFuture(new PeerFrame.GossipReply(this.self.get(),
					this.documents.digest().revisions(), lacking, someMembers(), this.leavingVms.recent()));
		}
		if (frame instanceof PeerFrame.Push push) {
			offerAll(push.documents());
			return CompletableFuture.completedFuture(new PeerFrame.Ack());
		}
		return this.otherFrames.get().apply(frame);
	}

	private List<Member> someMembers() {
		return this.membership.sampleByZone(this.settings.zone(), OWN_ZONE_MEMBERS_PER_GOSSIP, OTHER_MEMBERS_PER_GOSSIP,
				ThreadLocalRandom.current());
	}

	private void learn(Member peer, List<Member> others, List<PeerFrame.LeavingVm> leaving) {
		this.membership.learn(List.of(peer));
		this.membership.learn(others);
		leaving.forEach(this.leavingVms::learn);
	}

	private void offerAll(List<PeerFrame.Document> received) {
		List<VersionedDocument> fresh = received.stream()
			.map((document) -> new VersionedDocument(new DocumentKey(document.path()), document.revision(),
					Compression.unpack(document.bytes())))
			.filter(this.documents::offer)
			.toList();
		if (!fresh.isEmpty()) {
			targets(PUSH_FANOUT).forEach(this::gossipWith);
		}
	}

	private List<VersionedDocument> lacking(DocumentStore.Digest theirs) {
		return Mechanism.PEER_DOCUMENTS.on() ? this.documents.newerThan(theirs) : List.of();
	}

	private void pushLacking(Address address, DocumentStore.Digest theirs) {
		List<VersionedDocument> lacking = lacking(theirs);
		if (!lacking.isEmpty()) {
			push(address, lacking);
		}
	}

	private void push(Address address, List<VersionedDocument> fresh) {
		this.transport.ask(address, new PeerFrame.Push(frames(fresh)), PEER_TIMEOUT_MILLIS);
	}

	private static List<PeerFrame.Document> frames(List<VersionedDocument> fresh) {
		return fresh.stream()
			.map((document) -> new PeerFrame.Document(document.key().path(), document.revision(),
					Compression.pack(document.bytes())))
			.toList();
	}

}
