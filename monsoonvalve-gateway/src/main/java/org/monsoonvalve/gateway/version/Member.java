package org.monsoonvalve.gateway.version;

import java.util.Objects;

import org.monsoonvalve.core.connection.Address;

/**
 * A process of the system, as registered in the platform's store.
 *
 * @author monsoonvalve maintainers
 * @param name the process's name, unique in the system
 * @param zone its availability zone
 * @param peerAddress the address at which it accepts frames from its peers
 */
public record Member(String name, String zone, Address peerAddress) {

	/**
	 * Creates a member.
	 * @throws NullPointerException if a component is {@code null}
	 */
	public Member {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(peerAddress, "peerAddress");
	}

}
