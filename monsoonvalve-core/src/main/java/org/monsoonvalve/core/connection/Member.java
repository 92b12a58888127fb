package org.monsoonvalve.core.connection;

/**
 * A process as known to its peers.
 *
 * @author monsoonvalve maintainers
 * @param id its identifier
 * @param zone its availability zone
 * @param role its role, {@code entry} or {@code controller}
 * @param peerAddress the address on which it listens for peers
 * @param httpAddress the address on which it listens for HTTP
 * @param startedMillis its start time, in milliseconds since the epoch
 * @param heartbeat a counter, higher in each newer state from the same start
 * @param inventoryRevision the revision of the inventory in force on it
 * @param rulesRevision the revision of the rules in force on it
 * @param leaving whether it is shutting down
 * @param slotIssuer whether it issues the cold-start slots of its availability zone
 */
public record Member(String id, String zone, String role, Address peerAddress, Address httpAddress, long startedMillis,
		long heartbeat, long inventoryRevision, long rulesRevision, boolean leaving, boolean slotIssuer) {

	/**
	 * Tells whether this state is newer than another state of the same process.
	 * @param other the other state
	 * @return {@code true} if this is from a later start or a later heartbeat
	 */
	public boolean newerThan(Member other) {
		return (this.startedMillis != other.startedMillis) ? this.startedMillis > other.startedMillis
				: this.heartbeat > other.heartbeat;
	}

}
