package org.monsoonvalve.gateway.version;

import java.util.Comparator;
import java.util.Objects;

import org.monsoonvalve.core.connection.Address;

/**
 * A process of the system, as registered in the platform's store.
 *
 * @author monsoonvalve maintainers
 * @param name the process's name, unique in the system
 * @param zone its availability zone
 * @param peerAddress the address at which it accepts frames from its peers
 * @param registeredRevision the store's revision of the registration, 0 before it is
 * stored; a process that restarts registers again
 */
public record Member(String name, String zone, Address peerAddress, long registeredRevision) {

	/**
	 * Orders processes by the time for which they have been registered, the longest
	 * first.
	 */
	public static final Comparator<Member> BY_SENIORITY = Comparator.comparingLong(Member::registeredRevision)
		.thenComparing(Member::name);

	/**
	 * Creates a member.
	 * @throws NullPointerException if a component is {@code null}
	 */
	public Member {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(peerAddress, "peerAddress");
	}

	/**
	 * Creates a member that is not stored yet.
	 * @param name the process's name
	 * @param zone its availability zone
	 * @param peerAddress the address at which it accepts frames from its peers
	 * @return the member
	 */
	public static Member of(String name, String zone, Address peerAddress) {
		return new Member(name, zone, peerAddress, 0);
	}

	/**
	 * Returns a copy with the revision of the stored registration.
	 * @param revision the store's revision
	 * @return the copy
	 */
	public Member registeredAt(long revision) {
		return new Member(this.name, this.zone, this.peerAddress, revision);
	}

}
