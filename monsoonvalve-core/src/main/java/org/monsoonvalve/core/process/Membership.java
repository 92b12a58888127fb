package org.monsoonvalve.core.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.Member;

/**
 * Tracks the other processes by their heartbeats, which peers gossip to each other.
 *
 * @author monsoonvalve maintainers
 */
public final class Membership {

	private static final long LIVENESS_TIMEOUT_MILLIS = 10_000;

	// While an observation is retained, a repeated heartbeat from a peer does not
	// make its member live again.
	private static final long RETENTION_MILLIS = 60_000;

	private final String selfId;

	private final ElapsedClock clock;

	private final ConcurrentMap<String, Observation> observations = new ConcurrentHashMap<>();

	private Membership(String selfId, ElapsedClock clock) {
		this.selfId = selfId;
		this.clock = clock;
	}

	/**
	 * Creates a membership without other members.
	 * @param self the identifier of this process
	 * @param clock measures the age of heartbeats
	 * @return the membership
	 */
	public static Membership of(NodeId self, ElapsedClock clock) {
		return new Membership(self.value(), clock);
	}

	/**
	 * Merges the members that a peer sent; the latest start and heartbeat of each wins.
	 * @param members the members
	 */
	public void merge(List<Member> members) {
		members.stream()
			.filter((member) -> !member.id().equals(this.selfId))
			.forEach((member) -> this.observations.compute(member.id(), (id, known) -> newer(known, member)));
	}

	private Observation newer(Observation known, Member member) {
		return (known == null || member.newerThan(known.member())) ? new Observation(member, this.clock.now()) : known;
	}

	/**
	 * Returns the members whose heartbeat advanced recently.
	 * @return the live members sorted by identifier, without this process
	 */
	public List<Member> live() {
		this.observations.values().removeIf((entry) -> this.clock.elapsedMillis(entry.at()) > RETENTION_MILLIS);
		return this.observations.values()
			.stream()
			.filter((entry) -> this.clock.elapsedMillis(entry.at()) <= LIVENESS_TIMEOUT_MILLIS)
			.map(Observation::member)
			.sorted(Comparator.comparing(Member::id))
			.toList();
	}

	/**
	 * Selects live members at random.
	 * @param count the maximum number of members
	 * @param random the source of randomness
	 * @return the members
	 */
	public List<Member> sample(int count, RandomGenerator random) {
		List<Member> all = new ArrayList<>(live());
		Collections.shuffle(all, new Random(random.nextLong()));
		return all.subList(0, Math.min(count, all.size()));
	}

	/**
	 * Selects live members at random, with separate limits for one availability zone and
	 * for all others.
	 * @param zone the availability zone
	 * @param inZone the maximum number of members from that availability zone
	 * @param elsewhere the maximum number of members from other availability zones
	 * @param random the source of randomness
	 * @return the members
	 */
	public List<Member> sampleByZone(String zone, int inZone, int elsewhere, RandomGenerator random) {
		List<Member> all = sample(Integer.MAX_VALUE, random);
		Stream<Member> local = all.stream().filter((member) -> member.zone().equals(zone)).limit(inZone);
		Stream<Member> remote = all.stream().filter((member) -> !member.zone().equals(zone)).limit(elsewhere);
		return Stream.concat(local, remote).toList();
	}

	/**
	 * Finds the process that issues the cold-start slots of an availability zone; of
	 * several that claim to, the one that started last.
	 * @param zone the availability zone
	 * @return its peer address, empty if no live member is the issuer
	 */
	public Optional<Address> slotIssuer(String zone) {
		return live().stream()
			.filter((member) -> member.slotIssuer() && member.zone().equals(zone))
			.max(Comparator.comparingLong(Member::startedMillis))
			.map(Member::peerAddress);
	}

	private record Observation(Member member, ElapsedClock.Reading at) {

	}

}
