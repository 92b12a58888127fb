package org.monsoonvalve.gateway.version;

import java.util.List;
import java.util.Optional;

import org.monsoonvalve.core.connection.Address;

/**
 * What an endpoint says of itself in the platform's store.
 *
 * @author monsoonvalve maintainers
 * @param id the incarnation's identifier
 * @param service the service that it provides
 * @param address where it takes requests
 * @param zone its availability zone
 * @param slots requests that it runs at once
 * @param draining whether it leaves soon and takes no new requests
 * @param coldMillis how much longer it is slow after its start, in milliseconds
 * @param bornMillis the wall-clock time of its start, in milliseconds since the epoch
 * @param domain its fabric domain, empty for a plain service
 * @param staged the models whose weights its host holds
 * @param models the models that its engine carries
 * @param membership its place in a replica group
 * @param revision the store's revision of this record
 */
public record EndpointRecord(String id, String service, Address address, String zone, int slots, boolean draining,
		long coldMillis, long bornMillis, String domain, List<String> staged, List<String> models,
		Optional<GroupMembership> membership, long revision) {

	/**
	 * Copies the lists.
	 */
	public EndpointRecord {
		staged = List.copyOf(staged);
		models = List.copyOf(models);
	}

	/**
	 * Identifies the incarnation.
	 * @return a key that differs after a restart under the same identifier
	 */
	public String incarnation() {
		return this.id + "@" + this.bornMillis;
	}

	/**
	 * Tells whether the VM can join a group of a model without a load from the weight
	 * store.
	 * @param model the model's name
	 * @return {@code true} if its engine carries the model or its host holds the weights
	 */
	public boolean hasWeights(String model) {
		return this.models.contains(model) || this.staged.contains(model);
	}

	/**
	 * Tells whether this is a member of a group in a given epoch.
	 * @param group the group's name
	 * @param epoch the epoch
	 * @return {@code true} if its engine reports that membership
	 */
	public boolean memberOf(String group, long epoch) {
		return this.membership.filter((place) -> place.group().equals(group) && place.epoch() == epoch).isPresent();
	}

}
