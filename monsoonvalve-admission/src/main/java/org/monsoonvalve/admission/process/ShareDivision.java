package org.monsoonvalve.admission.process;

import java.util.Collection;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Divides the requests that an endpoint may receive in a second among processes, a whole
 * number for each. Processes that know the same members compute the same division.
 * <p>
 * A process's share never grows when it knows more members. The shares of processes with
 * different members therefore add up to no more than the divided requests, plus the
 * shares of those processes that are unknown to another one or don't know another one.
 * The margin pays for these.
 *
 * @author monsoonvalve maintainers
 * @param requestsPerSecond the requests per second that are divided
 */
public record ShareDivision(int requestsPerSecond) {

	/**
	 * Largest share of a process. A fleet that is small enough for the equal division
	 * gives each process at least as much, so shares only fall when a fleet grows beyond
	 * it.
	 */
	static final int MAX_SHARE = 2;

	/**
	 * Requests per second that are not divided: one process with the largest share, or
	 * two with a share of one, may have outdated members for longer than
	 * {@link ShareMembers#PROPAGATION_MILLIS}.
	 */
	static final int MARGIN = 2;

	/**
	 * Part of the requests that is given to processes of other zones if the endpoint's
	 * zone can spare it; about what a zone's callers exceed its endpoints by.
	 */
	private static final int PART_OF_OTHER_ZONES = 6;

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	/**
	 * Creates the division of a bound.
	 * @param boundPerSecond the requests that the endpoint may receive in any second
	 * @return the division
	 */
	public static ShareDivision of(double boundPerSecond) {
		return new ShareDivision(Math.max(1, (int) Math.floor(boundPerSecond) - MARGIN));
	}

	/**
	 * Tells whether a bound is divided into shares rather than equally.
	 * @param boundPerSecond the requests that the endpoint may receive in any second
	 * @param processes the number of processes
	 * @return {@code true} if an equal division leaves a process less than two requests
	 */
	public static boolean appliesTo(double boundPerSecond, int processes) {
		return boundPerSecond < MAX_SHARE * processes;
	}

	/**
	 * Returns the share of a process. A member of the endpoint's zone has a share of at
	 * least one as long as there are no more members than requests.
	 * @param process the process
	 * @param members the processes among which the requests are divided
	 * @param endpoint the endpoint
	 * @return the requests that the process may send to the endpoint in any second, 0 if
	 * the process isn't a member
	 */
	public int shareOf(SharingProcess process, Collection<SharingProcess> members, SharedEndpoint endpoint) {
		if (!members.contains(process)) {
			return 0;
		}
		Predicate<SharingProcess> inZone = (member) -> member.zone().equals(endpoint.zone());
		int zoneMembers = (int) members.stream().filter(inZone).count();
		boolean near = inZone.test(process);
		long endpointHash = hash(endpoint.incarnation());
		long ownRank = rank(process, endpointHash);
		Stream<SharingProcess> group = members.stream().filter((member) -> inZone.test(member) == near);
		int precedingMembers = (int) group.filter((member) -> precedes(member, process, endpointHash, ownRank)).count();
		int groupSize = near ? zoneMembers : members.size() - zoneMembers;
		int requests = near ? this.requestsPerSecond - requestsOfOtherZones(zoneMembers)
				: requestsOfOtherZones(zoneMembers);
		// The requests are dealt to the members of the group in turn.
		int dealt = Math.floorDiv(requests - precedingMembers + groupSize - 1, groupSize);
		return Math.max(0, Math.min(MAX_SHARE, dealt));
	}

	// Processes of other zones get a part of the requests, less if not every process of
	// the zone could have one then, and what the processes of the zone can't hold.
	private int requestsOfOtherZones(int zoneMembers) {
		int spare = Math.min(this.requestsPerSecond - zoneMembers, this.requestsPerSecond / PART_OF_OTHER_ZONES);
		return Math.max(Math.min(1, this.requestsPerSecond - 1),
				Math.max(spare, this.requestsPerSecond - MAX_SHARE * zoneMembers));
	}

	private static boolean precedes(SharingProcess member, SharingProcess process, long endpointHash, long ownRank) {
		long memberRank = rank(member, endpointHash);
		return memberRank < ownRank || (memberRank == ownRank && member.name().compareTo(process.name()) < 0);
	}

	/**
	 * Returns the rank of a process by rendezvous hashing.
	 * @param process the process
	 * @param key what the processes are ranked for
	 * @return the rank, the lowest first
	 */
	static long rank(SharingProcess process, String key) {
		return rank(process, hash(key));
	}

	// The finalizer of SplitMix64 makes the ranks at different endpoints independent also
	// for names that differ in one digit; the sum of their hashes doesn't.
	private static long rank(SharingProcess process, long endpointHash) {
		long mixed = hash(process.name()) + 0x9e3779b97f4a7c15L * endpointHash;
		mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

	private static long hash(String text) {
		long hash = FNV_OFFSET;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * FNV_PRIME;
		}
		return hash;
	}

}
