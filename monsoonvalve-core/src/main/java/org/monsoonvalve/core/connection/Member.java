package org.monsoonvalve.core.connection;

/**
 * A process of the system as its peers know it.
 *
 * @author monsoonvalve maintainers
 * @param id its name
 * @param zone its availability zone
 * @param role what it does, {@code entry} or {@code controller}
 * @param peerAddress where it listens for peers
 * @param httpAddress where it listens for HTTP
 * @param startedMillis when it started, in milliseconds since the epoch
 * @param heartbeat a counter that it advances
 * @param inventoryRevision the inventory's revision in force there
 * @param rulesRevision the rules' revision in force there
 * @param leaving whether it is shutting down
 * @param slotIssuer whether it issues the cold-start slots of its availability zone
 */
public record Member(String id, String zone, String role, Address peerAddress, Address httpAddress, long startedMillis,
		long heartbeat, long inventoryRevision, long rulesRevision, boolean leaving, boolean slotIssuer) {

	/**
	 * Tells whether this is later knowledge about the same process.
	 * @param other the other knowledge
	 * @return {@code true} if this is from a later start or a later heartbeat
	 */
	public boolean newerThan(Member other) {
		return (this.startedMillis != other.startedMillis) ? this.startedMillis > other.startedMillis
				: this.heartbeat > other.heartbeat;
	}

}
