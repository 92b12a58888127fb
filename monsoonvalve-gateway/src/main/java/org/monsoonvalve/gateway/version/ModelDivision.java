package org.monsoonvalve.gateway.version;

import java.util.Map;
import java.util.OptionalDouble;

import org.monsoonvalve.admission.process.ZoneNeed;

/**
 * How the VMs of an availability zone are to be divided among the models.
 *
 * @author monsoonvalve maintainers
 * @param shares the parts of the VMs by model, empty if the configured shares apply
 * @param mayTurn whether a group may be closed so that another model gets its VMs
 * @param mayTurnEarly whether a group may be closed if its model has many times the VMs
 * per need, although no whole wave of demand has been seen
 * @param requestsInProgress the requests in progress at the heads of groups, by the
 * head's identifier, as far as they are known
 */
public record ModelDivision(Map<String, Double> shares, boolean mayTurn, boolean mayTurnEarly,
		Map<String, Integer> requestsInProgress) {

	private static final ModelDivision CONFIGURED = new ModelDivision(Map.of(), true, false, Map.of());

	/**
	 * Creates a division with copies of the maps.
	 */
	public ModelDivision {
		shares = Map.copyOf(shares);
		requestsInProgress = Map.copyOf(requestsInProgress);
	}

	/**
	 * Returns the division by the configured shares.
	 * @return the division
	 */
	public static ModelDivision configured() {
		return CONFIGURED;
	}

	/**
	 * Creates a division by demand.
	 * @param need the division that the demand of callers needs
	 * @param requestsInProgress the requests in progress by the head's identifier
	 * @return the division
	 */
	public static ModelDivision of(ZoneNeed.Division need, Map<String, Integer> requestsInProgress) {
		return new ModelDivision(need.shares(), need.mayTurn(), need.mayTurnEarly(), requestsInProgress);
	}

	/**
	 * Tells whether the demand of callers determines the division.
	 * @return {@code false} if the configured shares apply
	 */
	boolean byDemand() {
		return !this.shares.isEmpty();
	}

	/**
	 * Tells whether any group may be turned.
	 * @return {@code false} if all groups stay
	 */
	boolean mayTurnAny() {
		return this.mayTurn || this.mayTurnEarly;
	}

	/**
	 * Returns the part of the VMs that a model is to have.
	 * @param model the model's name
	 * @return the part, empty if the configured shares apply
	 */
	OptionalDouble share(String model) {
		return byDemand() ? OptionalDouble.of(this.shares.getOrDefault(model, 0.0)) : OptionalDouble.empty();
	}

	/**
	 * Returns the requests in progress at the head of a group.
	 * @param group the group
	 * @return the number of requests, 0 if it isn't known
	 */
	int requestsInProgress(ReplicaGroup group) {
		return this.requestsInProgress.getOrDefault(group.head().id(), 0);
	}

}
