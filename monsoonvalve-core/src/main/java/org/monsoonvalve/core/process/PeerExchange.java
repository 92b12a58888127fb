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
 * Replicates documents and membership between peers by gossip. In a comparison, two peers
 * exchange the revisions of their documents, and each sends the documents that the other
 * lacks. A new document triggers immediate comparisons with a few peers; periodic
 * comparisons repair what these missed.
 *
 * @author monsoonvalve maintainers
 */
public final class PeerExchange implements AutoCloseable {

	private static final long PEER_TIMEOUT_MILLIS = 1000;

	private static final int GOSSIP_FANOUT = 1;

	private static final int COMPARISON_FANOUT = 4;

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

	private final AtomicReference<Function<PeerFrame, CompletableFuture<PeerFrame>>> otherFrameHandler = new AtomicReference<>(
			(frame) -> CompletableFuture.completedFuture(new PeerFrame.Ack()));

	private final AtomicReference<Consumer<ElapsedClock.Reading>> comparisonListener = new AtomicReference<>(
			(start) -> {
			});

	private final ElapsedClock clock = ElapsedClock.system();

	private PeerExchange(NodeSettings settings, Supplier<Member> self, DocumentStore documents, Membership membership,
			LeavingVms leavingVms, ScheduledExecutorService timer) {
		this.settings = settings;
		this.self = self;
		this.documents = documents;
		this.membership = membership;
		this.leavingVms = leavingVms;
		this.transport = PeerTransport.start(settings.peerListen(), timer, this::handleFrame);
	}

	/**
	 * Creates an exchange and starts listening for peers.
	 * @param settings the node's settings
	 * @param self supplies the current description of the node
	 * @param documents the node's documents
	 * @param membership the other processes known to the node
	 * @param leavingVms the leaving VMs known to the node
	 * @param timer the executor for timeouts
	 * @return the exchange
	 */
	public static PeerExchange start(NodeSettings settings, Supplier<Member> self, DocumentStore documents,
			Membership membership, LeavingVms leavingVms, ScheduledExecutorService timer) {
		return new PeerExchange(settings, self, documents, membership, leavingVms, timer);
	}

	/**
	 * Sets the handler for frames that concern neither documents nor membership.
	 * @param handler the handler, which returns the reply
	 */
	public void onOtherFrame(Function<PeerFrame, CompletableFuture<PeerFrame>> handler) {
		this.otherFrameHandler.set(handler);
	}

	/**
	 * Sets the listener for comparisons that a peer has answered.
	 * @param listener the listener, which receives the time at which the comparison
	 * started
	 */
	public void onCompared(Consumer<ElapsedClock.Reading> listener) {
		this.comparisonListener.set(listener);
	}

	/**
	 * Returns the transport that carries the frames.
	 * @return the transport
	 */
	public PeerTransport transport() {
		return this.transport;
	}

	/**
	 * Compares with one random peer; to be called periodically.
	 */
	public void gossip() {
		selectPeers(GOSSIP_FANOUT).forEach(this::gossipWith);
	}

	/**
	 * Compares with more peers than {@link #gossip()}, to propagate a change quickly.
	 */
	public void gossipUrgently() {
		selectPeers(URGENT_FANOUT).forEach(this::gossipWith);
	}

	/**
	 * Compares with several random peers and tells when each has answered.
	 * @return a future for each peer, completed when it has answered or failed
	 */
	public List<CompletableFuture<Void>> compare() {
		return selectPeers(COMPARISON_FANOUT).stream().map(this::gossipWith).toList();
	}

	/**
	 * Stores a document that this process wrote or read, and sends it to peers if it is
	 * new.
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

	private List<Address> selectPeers(int fanout) {
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
		PeerFrame.Gossip request = new PeerFrame.Gossip(this.self.get(), this.documents.digest().revisions(),
				sampleMembers(), this.leavingVms.recent());
		ElapsedClock.Reading start = this.clock.now();
		return this.transport.ask(address, request, PEER_TIMEOUT_MILLIS).handle((response, failure) -> {
			if (response instanceof PeerFrame.GossipReply reply) {
				merge(reply.self(), reply.members(), reply.leaving());
				offerAll(reply.documents());
				this.comparisonListener.get().accept(start);
				pushMissing(address, new DocumentStore.Digest(reply.digest()));
			}
			else if (failure != null) {
				this.log.emit(LogEvent.PEER_FAILED, address, ServingException.from(failure).getMessage());
			}
			return null;
		});
	}

	private CompletableFuture<PeerFrame> handleFrame(PeerFrame frame) {
		if (frame instanceof PeerFrame.Gossip gossip) {
			merge(gossip.self(), gossip.members(), gossip.leaving());
			List<PeerFrame.Document> missing = toFrames(missingFrom(new DocumentStore.Digest(gossip.digest())));
			return CompletableFuture.completedFuture(new PeerFrame.GossipReply(this.self.get(),
					this.documents.digest().revisions(), missing, sampleMembers(), this.leavingVms.recent()));
		}
		if (frame instanceof PeerFrame.Push push) {
			offerAll(push.documents());
			return CompletableFuture.completedFuture(new PeerFrame.Ack());
		}
		return this.otherFrameHandler.get().apply(frame);
	}

	private List<Member> sampleMembers() {
		return this.membership.sampleByZone(this.settings.zone(), OWN_ZONE_MEMBERS_PER_GOSSIP, OTHER_MEMBERS_PER_GOSSIP,
				ThreadLocalRandom.current());
	}

	private void merge(Member peer, List<Member> others, List<PeerFrame.LeavingVm> leaving) {
		this.membership.merge(List.of(peer));
		this.membership.merge(others);
		leaving.forEach(this.leavingVms::add);
	}

	private void offerAll(List<PeerFrame.Document> frames) {
		List<VersionedDocument> accepted = frames.stream()
			.map((document) -> new VersionedDocument(new DocumentKey(document.path()), document.revision(),
					Compression.decompress(document.bytes())))
			.filter(this.documents::offer)
			.toList();
		if (!accepted.isEmpty()) {
			selectPeers(COMPARISON_FANOUT).forEach(this::gossipWith);
		}
	}

	private List<VersionedDocument> missingFrom(DocumentStore.Digest digest) {
		return Mechanism.PEER_DOCUMENTS.on() ? this.documents.newerThan(digest) : List.of();
	}

	private void pushMissing(Address address, DocumentStore.Digest digest) {
		List<VersionedDocument> missing = missingFrom(digest);
		if (!missing.isEmpty()) {
			push(address, missing);
		}
	}

	private void push(Address address, List<VersionedDocument> newer) {
		this.transport.ask(address, new PeerFrame.Push(toFrames(newer)), PEER_TIMEOUT_MILLIS);
	}

	private static List<PeerFrame.Document> toFrames(List<VersionedDocument> newer) {
		return newer.stream()
			.map((document) -> new PeerFrame.Document(document.key().path(), document.revision(),
					Compression.compress(document.bytes())))
			.toList();
	}

}
