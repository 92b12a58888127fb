package org.monsoonvalve.core.connection;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A message between processes, encoded as an array of the type's tag and the component
 * values in order.
 *
 * @author monsoonvalve maintainers
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({ @JsonSubTypes.Type(value = PeerFrame.Gossip.class, name = "g"),
		@JsonSubTypes.Type(value = PeerFrame.GossipReply.class, name = "r"),
		@JsonSubTypes.Type(value = PeerFrame.Push.class, name = "p"),
		@JsonSubTypes.Type(value = PeerFrame.SlotRequest.class, name = "s"),
		@JsonSubTypes.Type(value = PeerFrame.SlotReply.class, name = "t"),
		@JsonSubTypes.Type(value = PeerFrame.SlotRelease.class, name = "u"),
		@JsonSubTypes.Type(value = PeerFrame.FactsQuestion.class, name = "q"),
		@JsonSubTypes.Type(value = PeerFrame.Facts.class, name = "f"),
		@JsonSubTypes.Type(value = PeerFrame.CrashNews.class, name = "c"),
		@JsonSubTypes.Type(value = PeerFrame.CrashQuestion.class, name = "e"),
		@JsonSubTypes.Type(value = PeerFrame.LimitNews.class, name = "l"),
		@JsonSubTypes.Type(value = PeerFrame.DemandReport.class, name = PeerFrame.DemandReport.TAG),
		@JsonSubTypes.Type(value = PeerFrame.LoanQuestion.class, name = "b"),
		@JsonSubTypes.Type(value = PeerFrame.LoanGrant.class, name = "a"),
		@JsonSubTypes.Type(value = PeerFrame.Ack.class, name = "d") })
public sealed interface PeerFrame {

	/**
	 * Requests the documents that the sender lacks.
	 *
	 * @param self the sender
	 * @param digest the revisions that the sender holds, by document path
	 * @param members some of the members that the sender knows
	 * @param leaving VMs that the platform's VM list recently reported as leaving
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Gossip(Member self, Map<String, Long> digest, List<Member> members,
			List<LeavingVm> leaving) implements PeerFrame {

	}

	/**
	 * Replies to {@link Gossip}.
	 *
	 * @param self the sender
	 * @param digest the revisions that the sender holds, by document path
	 * @param documents the documents that the requester lacks
	 * @param members some of the members that the sender knows
	 * @param leaving VMs that the platform's VM list recently reported as leaving
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record GossipReply(Member self, Map<String, Long> digest, List<Document> documents, List<Member> members,
			List<LeavingVm> leaving) implements PeerFrame {

	}

	/**
	 * Sends newer documents to a peer.
	 *
	 * @param documents the documents
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Push(List<Document> documents) implements PeerFrame {

	}

	/**
	 * Requests a cold-start slot from the slot issuer.
	 *
	 * @param slotId the slot's identifier, chosen by the requester so that it can release
	 * the slot even if the reply is late
	 * @param requester the requesting process
	 * @param vm the endpoint's VM
	 * @param bootId the identifier of the endpoint's incarnation
	 * @param uptimeMillis the uptime of that incarnation, in milliseconds
	 * @param capacity the number of concurrent requests that the endpoint accepts
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record SlotRequest(String slotId, String requester, String vm, String bootId, long uptimeMillis,
			int capacity) implements PeerFrame {

		/**
		 * Returns a copy with another capacity.
		 * @param newCapacity the capacity of the copy
		 * @return the copy
		 */
		public SlotRequest withCapacity(int newCapacity) {
			return new SlotRequest(this.slotId, this.requester, this.vm, this.bootId, this.uptimeMillis, newCapacity);
		}

	}

	/**
	 * Replies to {@link SlotRequest}.
	 *
	 * @param slotId the identifier of the issued slot, empty if none was issued
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record SlotReply(String slotId) implements PeerFrame {

	}

	/**
	 * Releases a cold-start slot.
	 *
	 * @param slotId the slot's identifier
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record SlotRelease(String slotId) implements PeerFrame {

	}

	/**
	 * Requests the changes in the platform's store that a peer knows.
	 *
	 * @param afterRevision the revision that the requester already has
	 * @param waitMillis the longest time for which the peer may wait for news before it
	 * replies, in milliseconds
	 * @param era the era of the store that the revision belongs to, 0 if it is not known
	 * @param configurationVersion the version of the configuration that the requester has
	 * in force, 0 if it has none
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record FactsQuestion(long afterRevision, long waitMillis, long era,
			long configurationVersion) implements PeerFrame {

		/**
		 * Returns the position that the requester already has.
		 * @return the position
		 */
		public StorePosition after() {
			return new StorePosition(this.era, this.afterRevision);
		}

	}

	/**
	 * Replies to {@link FactsQuestion}.
	 *
	 * @param revision the store revision that the sender has
	 * @param storeAgeMillis the time since the store confirmed the sender's revision,
	 * directly or through a peer, in milliseconds
	 * @param whole whether this is a full snapshot rather than the changes
	 * @param facts the keys or changes, in order of revision
	 * @param era the era of the store that the revision belongs to, 0 if the sender
	 * doesn't know it
	 * @param retained records that the sender keeps in effect although the store has lost
	 * them, {@code null} from a sender that doesn't know eras
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Facts(long revision, long storeAgeMillis, boolean whole, List<Fact> facts, long era,
			List<Fact> retained) implements PeerFrame {

		/**
		 * Returns the store position that the sender has.
		 * @return the position
		 */
		public StorePosition position() {
			return new StorePosition(this.era, this.revision);
		}

	}

	/**
	 * Tells a peer of endpoints that crashed before their responses had begun, and of
	 * prompt parts that are blocked for it.
	 *
	 * @param crashes the crashes
	 * @param soundAnswers the sound answers to requests with suspected parts
	 * @param blocks the parts that are or were blocked
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CrashNews(List<Crash> crashes, List<SoundAnswers> soundAnswers,
			List<CrashBlock> blocks) implements PeerFrame {

		/**
		 * Tells whether there is nothing to tell.
		 * @return {@code true} if all lists are empty
		 */
		public boolean nothing() {
			return this.crashes.isEmpty() && this.soundAnswers.isEmpty() && this.blocks.isEmpty();
		}

	}

	/**
	 * Requests {@link CrashNews} from a peer whose evidence differs.
	 *
	 * @param digest the digest of the sender's evidence
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CrashQuestion(long digest) implements PeerFrame {

	}

	/**
	 * Tells a peer of the request rates that endpoints accept.
	 *
	 * @param limits the limits, also those that ended lately
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record LimitNews(List<EndpointLimit> limits) implements PeerFrame {

	}

	/**
	 * Tells the planner of a zone the demand that a process of the zone has measured. A
	 * build that doesn't know this frame closes the connection, so it is sent only to
	 * processes whose registration names it.
	 *
	 * @param process the name of the sender
	 * @param zone the availability zone
	 * @param demands the demand for each model, at most {@value #MAX_DEMANDS}
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record DemandReport(String process, String zone, List<ModelDemand> demands) implements PeerFrame {

		/** The tag of the frame, which registrations name. */
		public static final String TAG = "m";

		/** The largest number of models in a report. */
		public static final int MAX_DEMANDS = 32;

		/**
		 * Creates a report of the first demands; {@code null} becomes an empty list.
		 */
		public DemandReport {
			demands = (demands != null) ? List.copyOf(demands.subList(0, Math.min(MAX_DEMANDS, demands.size())))
					: List.of();
		}

	}

	/**
	 * Asks a peer to lend requests of its shares of endpoints. What it lends is used
	 * within a fixed time of the question.
	 *
	 * @param service the endpoints' service
	 * @param endpoints the incarnations of the endpoints
	 * @param requests the number of requests wanted at all endpoints together
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record LoanQuestion(String service, List<String> endpoints, int requests) implements PeerFrame {

	}

	/**
	 * Replies to {@link LoanQuestion}.
	 *
	 * @param requests the requests lent at each endpoint, in the order of the question
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record LoanGrant(List<Integer> requests) implements PeerFrame {

	}

	/**
	 * Acknowledges a message that has no other reply.
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Ack() implements PeerFrame {

	}

	/**
	 * A replicated document.
	 *
	 * @param path the document's path
	 * @param revision its revision in the platform's store
	 * @param bytes the stored value
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Document(String path, long revision, byte[] bytes) {

	}

	/**
	 * A key of the platform's store.
	 *
	 * @param key the key
	 * @param revision the revision of its last change
	 * @param value the value, {@code null} if the key was removed
	 * @param deflated whether the value is compressed by the deflate algorithm
	 * @param era the era of the store that the revision belongs to
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Fact(String key, long revision, byte[] value, boolean deflated, long era) {

		/**
		 * Returns the position of the last change.
		 * @return the position
		 */
		public StorePosition position() {
			return new StorePosition(this.era, this.revision);
		}

	}

	/**
	 * The crash of an endpoint.
	 *
	 * @param endpoint the incarnation of the endpoint
	 * @param address the endpoint's address
	 * @param service the endpoint's service
	 * @param endedMillisAgo the time since the crash, in milliseconds
	 * @param suspects the parts of prompts whose responses had not begun
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Crash(String endpoint, String address, String service, long endedMillisAgo, List<CrashSuspect> suspects) {

	}

	/**
	 * A part of a prompt whose response had not begun when an endpoint crashed.
	 *
	 * @param part the part's identifier
	 * @param waitedMillis the time from the sending of the request to the crash, in
	 * milliseconds
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CrashSuspect(long part, long waitedMillis) {

	}

	/**
	 * The sound answers to requests with a suspected part.
	 *
	 * @param service the service
	 * @param part the part's identifier
	 * @param firstCrashMillisAgo the time since the first crash of the sequence, in
	 * milliseconds
	 * @param earlier the answers before the first crash, at most a few
	 * @param later the answers to requests sent after it
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record SoundAnswers(String service, long part, long firstCrashMillisAgo, int earlier, List<LaterAnswers> later) {

	}

	/**
	 * The sound answers that one process received.
	 *
	 * @param process a number that identifies the process
	 * @param answers the number of answers
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record LaterAnswers(int process, int answers) {

	}

	/**
	 * A part that is not sent to endpoints, or was not.
	 *
	 * @param service the service
	 * @param part the part's identifier
	 * @param level how often the part was blocked
	 * @param cleared whether a later answer was sound
	 * @param sinceMillisAgo the time since the last change, in milliseconds
	 * @param durationMillis the time after which the part is tried again, in milliseconds
	 * @param crashes the number of endpoints that crashed
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CrashBlock(String service, long part, int level, boolean cleared, long sinceMillisAgo, long durationMillis,
			int crashes) {

	}

	/**
	 * The requests per second that an endpoint accepts from all processes.
	 *
	 * @param endpoint the endpoint's identifier
	 * @param bornMillis the start time of its incarnation, in milliseconds since the Unix
	 * epoch
	 * @param zone its availability zone
	 * @param perSecond the requests per second, {@value #NONE} if it has no limit any
	 * longer
	 * @param namedMillisAgo the time since an answer said so, in milliseconds
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record EndpointLimit(String endpoint, long bornMillis, String zone, double perSecond, long namedMillisAgo) {

		/** The rate of an endpoint that has no limit any longer. */
		public static final double NONE = -1;

	}

	/**
	 * The demand for a model.
	 *
	 * @param service the service
	 * @param model the model
	 * @param slots the slot-seconds of the requests that arrived per second
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record ModelDemand(String service, String model, double slots) {

	}

	/**
	 * A VM that the platform's VM list reported as leaving.
	 *
	 * @param vm the VM's identifier
	 * @param ageMillis the time since the list was read, in milliseconds
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record LeavingVm(String vm, long ageMillis) {

	}

}
