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
 * Knows the other processes by their heartbeats, which peers pass on to each other.
 *
 * @author monsoonvalve maintainers
 */
public final class Membership {

	private static final long LIVE_MILLIS = 10_000;

	private static final long FORGET_MILLIS = 60_000;

	private final String selfId;

	private final ElapsedClock clock;

	private final ConcurrentMap<String, Seen> seen = new ConcurrentHashMap<>();

	private Membership(String selfId, ElapsedClock clock) {
		this.selfId = selfId;
		this.clock = clock;
	}

	/**
	 * Creates a membership that knows nobody.
	 * @param self this process
	 * @param clock measures the age of heartbeats
	 * @return the membership
	 */
	public static Membership of(NodeId self, ElapsedClock clock) {
		return new Membership(self.value(), clock);
	}

	/**
	 * Takes in what a peer knows.
	 * @param members the members
	 */
	public void merge(List<Member> members) {
		members.stream()
			.filter((member) -> !member.id().equals(this.selfId))
			.forEach((member) -> this.seen.compute(member.id(), (id, known) -> newer(known, member)));
	}

	private Seen newer(Seen known, Member member) {
		return (known == null || member.newerThan(known.member())) ? new Seen(member, this.clock.now()) : known;
	}

	/**
	 * Returns the members whose heartbeat advanced lately.
	 * @return the live members by name, without this process
	 */
	public List<Member> live() {
		this.seen.values().removeIf((entry) -> this.clock.elapsedMillis(entry.at()) > FORGET_MILLIS);
		return this.seen.values()
			.stream()
			.filter((entry) -> this.clock.elapsedMillis(entry.at()) <= LIVE_MILLIS)
			.map(Seen::member)
			.sorted(Comparator.comparing(Member::id))
			.toList();
	}

	/**
	 * Picks some live members at random.
	 * @param count how many at most
	 * @param random the source of chance
	 * @return the members
	 */
	public List<Member> sample(int count, RandomGenerator random) {
		List<Member> all = new ArrayList<>(live());
		Collections.shuffle(all, new Random(random.nextLong()));
		return all.subList(0, Math.min(count, all.size()));
	}

	/**
	 * Picks some live members at random, most of them from one availability zone.
	 * @param zone the availability zone
	 * @param inZone how many of it at most
	 * @param elsewhere how many of other availability zones at most
	 * @param random the source of chance
	 * @return the members
	 */
	public List<Member> sampleByZone(String zone, int inZone, int elsewhere, RandomGenerator random) {
		List<Member> all = sample(Integer.MAX_VALUE, random);
		Stream<Member> near = all.stream().filter((member) -> member.zone().equals(zone)).limit(inZone);
		Stream<Member> far = all.stream().filter((member) -> !member.zone().equals(zone)).limit(elsewhere);
		return Stream.concat(near, far).toList();
	}

	/**
	 * Finds the process that issues the cold-start slots of an availability zone.
	 * @param zone the availability zone
	 * @return its address for peers
	 */
	public Optional<Address> slotIssuer(String zone) {
		return live().stream()
			.filter((member) -> member.slotIssuer() && member.zone().equals(zone))
			.max(Comparator.comparingLong(Member::startedMillis))
			.map(Member::peerAddress);
	}

	private record Seen(Member member, ElapsedClock.Reading at) {

	}

}
