package org.monsoonvalve.gateway.process;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.gateway.version.Member;

/**
 * Spreads the evidence of crashed endpoints and the limits of endpoints among the
 * processes. Each process has a number of neighbours that grows with the logarithm of the
 * fleet. It tells them news at once, and they pass on what is new to them; besides, it
 * compares its evidence with one neighbour after the other, so that a process that
 * started or was partitioned is told what it lacks. Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
final class FleetGossip implements CrashEvidence.TrialSchedule {

	/**
	 * Time for which one process may try an expired part again before another one may; an
	 * answer or a crash comes sooner.
	 */
	static final long TRIAL_TURN_MILLIS = 30_000;

	private static final int MAX_TRIED = 1024;

	/** Comparisons of evidence for each neighbour that is told all limits. */
	private static final int COMPARISONS_PER_LIMITS = 5;

	private final String self;

	private final Sender sender;

	private final Map<ServicePart, Integer> triedLevels = new HashMap<>();

	private CrashEvidence evidence;

	private EndpointLimits limits;

	private List<Member> members = List.of();

	private List<Member> neighbours = List.of();

	private int nextNeighbour;

	/**
	 * Creates a gossip without members.
	 * @param self the name of this process
	 * @param sender sends frames to peers
	 */
	FleetGossip(String self, Sender sender) {
		this.self = self;
		this.sender = sender;
	}

	/**
	 * Sets what is spread.
	 * @param sharedEvidence the evidence of crashed endpoints
	 * @param sharedLimits the limits of endpoints
	 */
	void spread(CrashEvidence sharedEvidence, EndpointLimits sharedLimits) {
		this.evidence = sharedEvidence;
		this.limits = sharedLimits;
	}

	/**
	 * Replaces the members and compares the evidence with a neighbour if there were none.
	 * @param newMembers the registered processes
	 */
	void update(Collection<Member> newMembers) {
		List<Member> sorted = newMembers.stream()
			.sorted(Comparator.comparing(Member::zone).thenComparing(Member::name))
			.toList();
		if (sorted.equals(this.members)) {
			return;
		}
		boolean first = this.neighbours.isEmpty();
		this.members = sorted;
		List<Member> others = IntStream.range(0, this.members.size())
			.filter((i) -> this.members.get(i).name().equals(this.self))
			.mapToObj(this::membersAfter)
			.findFirst()
			.orElse(this.members);
		this.limits.update(this.members);
		this.neighbours = IntStream.iterate(1, (distance) -> distance <= others.size(), (distance) -> 2 * distance)
			.mapToObj((distance) -> others.get(distance - 1))
			.toList();
		if (first) {
			compare();
		}
	}

	private List<Member> membersAfter(int position) {
		return IntStream.range(1, this.members.size())
			.mapToObj((distance) -> this.members.get((position + distance) % this.members.size()))
			.toList();
	}

	/**
	 * Tells the neighbours the news, if there are any.
	 */
	void tellNews() {
		PeerFrame.CrashNews news = this.evidence.takeNews();
		if (!news.nothing()) {
			this.neighbours.forEach((neighbour) -> this.sender.send(neighbour, news, (ignored) -> {
			}));
		}
		PeerFrame.LimitNews limitNews = this.limits.takeNews();
		if (!limitNews.limits().isEmpty()) {
			this.neighbours.forEach((neighbour) -> this.sender.send(neighbour, limitNews, (ignored) -> {
			}));
		}
	}

	/**
	 * Compares the evidence with the next neighbour.
	 */
	void compare() {
		if (this.neighbours.isEmpty()) {
			return;
		}
		Member neighbour = this.neighbours.get(this.nextNeighbour++ % this.neighbours.size());
		this.sender.send(neighbour, new PeerFrame.CrashQuestion(this.evidence.digest()), (reply) -> {
			if (reply instanceof PeerFrame.CrashNews news && !news.nothing()) {
				this.evidence.merge(news);
			}
		});
		if (this.nextNeighbour % COMPARISONS_PER_LIMITS == 0) {
			tellAllLimits(neighbour);
		}
	}

	private void tellAllLimits(Member neighbour) {
		PeerFrame.LimitNews all = this.limits.all();
		if (!all.limits().isEmpty()) {
			this.sender.send(neighbour, all, (ignored) -> {
			});
		}
	}

	/**
	 * Handles a frame of a peer.
	 * @param frame the frame
	 * @return the reply, empty if the frame is about neither crashes nor limits
	 */
	Optional<PeerFrame> handle(PeerFrame frame) {
		if (frame instanceof PeerFrame.CrashNews news) {
			this.evidence.merge(news);
			return Optional.of(new PeerFrame.Ack());
		}
		if (frame instanceof PeerFrame.LimitNews news) {
			this.limits.merge(news);
			return Optional.of(new PeerFrame.Ack());
		}
		if (frame instanceof PeerFrame.CrashQuestion question) {
			return Optional.of((question.digest() == this.evidence.digest())
					? new PeerFrame.CrashNews(List.of(), List.of(), List.of()) : this.evidence.all());
		}
		return Optional.empty();
	}

	@Override
	public boolean mayTry(PromptBlock block, long nowMillis) {
		long turn = (nowMillis - block.untilMillis()) / TRIAL_TURN_MILLIS;
		return !this.triedLevels.getOrDefault(block.part(), 0).equals(block.level()) && this.members.stream()
			.max(Comparator.comparingInt((member) -> rank(member, block, turn)))
			.filter((member) -> member.name().equals(this.self))
			.isPresent();
	}

	private static int rank(Member member, PromptBlock block, long turn) {
		int hash = 31 * (31 * member.name().hashCode() + block.part().hashCode()) + (int) turn;
		hash *= 0x9E3779B1;
		return hash ^ (hash >>> 15);
	}

	@Override
	public void tried(PromptBlock block) {
		if (this.triedLevels.size() >= MAX_TRIED) {
			this.triedLevels.clear();
		}
		this.triedLevels.put(block.part(), block.level());
	}

	/**
	 * Sends frames to peers.
	 */
	interface Sender {

		/**
		 * Sends a frame.
		 * @param peer the receiver
		 * @param frame the frame
		 * @param onReply receives the reply on the event loop, if there is one
		 */
		void send(Member peer, PeerFrame frame, Consumer<PeerFrame> onReply);

	}

}
