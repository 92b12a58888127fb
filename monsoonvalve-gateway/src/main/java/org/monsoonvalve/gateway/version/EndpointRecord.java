package org.monsoonvalve.gateway.version;

import java.util.List;
import java.util.Optional;

import org.monsoonvalve.admission.process.SharedEndpoint;
import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.StorePosition;

/**
 * The record that an endpoint publishes about itself in the platform's store.
 *
 * @author monsoonvalve maintainers
 * @param id the endpoint's identifier
 * @param service the name of the service that it provides
 * @param address the address at which it accepts requests
 * @param zone its availability zone
 * @param slots the maximum number of concurrent requests
 * @param draining whether it shuts down soon and accepts no new requests
 * @param coldMillis the remaining time of its cold start, during which it is slow, in
 * milliseconds
 * @param bornMillis the wall-clock time of its start, in milliseconds since the Unix
 * epoch
 * @param domain its fabric domain, which a replica group can't extend beyond, empty for a
 * service without engines
 * @param staged the models whose weights are on its host
 * @param models the models that its engine has loaded
 * @param membership its membership in a replica group, empty if it is in none
 * @param position the store's position at which the record was written
 */
public record EndpointRecord(String id, String service, Address address, String zone, int slots, boolean draining,
		long coldMillis, long bornMillis, String domain, List<String> staged, List<String> models,
		Optional<GroupMembership> membership, StorePosition position) {

	/**
	 * Creates a record with copies of the lists.
	 */
	public EndpointRecord {
		staged = List.copyOf(staged);
		models = List.copyOf(models);
	}

	/**
	 * Returns a key for this incarnation of the endpoint.
	 * @return a key that changes when the endpoint restarts under the same identifier
	 */
	public String incarnation() {
		return this.id + "@" + this.bornMillis;
	}

	/**
	 * Returns this incarnation of the endpoint as processes share it.
	 * @return the endpoint
	 */
	public SharedEndpoint shared() {
		return new SharedEndpoint(incarnation(), this.zone);
	}

	/**
	 * Returns the address of the endpoint's engine.
	 * @return the address
	 */
	public EngineAddress engine() {
		return new EngineAddress(this.id, this.address);
	}

	/**
	 * Tells whether the VM can join a group of a model without loading from the weight
	 * store.
	 * @param model the model's name
	 * @return {@code true} if its engine has loaded the model or the weights are on its
	 * host
	 */
	public boolean hasWeights(String model) {
		return this.models.contains(model) || this.staged.contains(model);
	}

	/**
	 * Tells whether the VM is a member of a group in a given epoch.
	 * @param group the group's name
	 * @param epoch the epoch
	 * @return {@code true} if its engine reports that membership
	 */
	public boolean memberOf(String group, long epoch) {
		return this.membership.filter((current) -> current.group().equals(group) && current.epoch() == epoch)
			.isPresent();
	}

}
