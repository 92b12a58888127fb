package org.monsoonvalve.gateway.version;

import java.util.Comparator;
import java.util.Objects;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.StorePosition;

/**
 * A process of the system, as registered in the platform's store.
 *
 * @author monsoonvalve maintainers
 * @param name the process's name, unique in the system
 * @param zone its availability zone
 * @param peerAddress the address at which it accepts frames from its peers
 * @param registered the store's position of the registration, {@link StorePosition#NONE}
 * before it is stored; a process that restarts registers again
 */
public record Member(String name, String zone, Address peerAddress, StorePosition registered) {

	/**
	 * Orders processes by the time for which they have been registered, the longest
	 * first.
	 */
	public static final Comparator<Member> BY_SENIORITY = Comparator.comparing(Member::registered)
		.thenComparing(Member::name);

	/**
	 * Creates a member; a {@code null} position becomes {@link StorePosition#NONE}.
	 * @throws NullPointerException if another component is {@code null}
	 */
	public Member {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(peerAddress, "peerAddress");
		registered = Objects.requireNonNullElse(registered, StorePosition.NONE);
	}

	/**
	 * Creates a member that is not stored yet.
	 * @param name the process's name
	 * @param zone its availability zone
	 * @param peerAddress the address at which it accepts frames from its peers
	 * @return the member
	 */
	public static Member of(String name, String zone, Address peerAddress) {
		return new Member(name, zone, peerAddress, StorePosition.NONE);
	}

	/**
	 * Returns a copy with the position of the stored registration.
	 * @param position the store's position
	 * @return the copy
	 */
	public Member registeredAt(StorePosition position) {
		return new Member(this.name, this.zone, this.peerAddress, position);
	}

}
