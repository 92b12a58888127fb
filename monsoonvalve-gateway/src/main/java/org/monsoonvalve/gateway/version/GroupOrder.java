package org.monsoonvalve.gateway.version;

import java.util.List;
import java.util.Optional;

/**
 * A command to the engine of one VM to change its part in a replica group or to load
 * weights in advance.
 *
 * @author monsoonvalve maintainers
 * @param action the action to perform
 * @param group the group's name, empty for {@link Action#STAGE}
 * @param epoch the group's epoch, 0 for {@link Action#STAGE}
 * @param model the model's name, empty for orders without one
 * @param memberIds the members' identifiers, the head first, for {@link Action#JOIN}
 */
public record GroupOrder(Action action, String group, long epoch, String model, List<String> memberIds) {

	/**
	 * Creates an order with a copy of the member identifiers.
	 */
	public GroupOrder {
		memberIds = List.copyOf(memberIds);
	}

	/**
	 * Creates an order for a group.
	 * @param action the action to perform
	 * @param group the group
	 * @return the order
	 */
	public static GroupOrder of(Action action, ReplicaGroup group) {
		return new GroupOrder(action, group.name(), group.epoch(), group.model(),
				group.members().stream().map(ReplicaGroup.MemberVm::id).toList());
	}

	/**
	 * Creates an order to load a model's weights onto a host.
	 * @param model the model's name
	 * @return the order
	 */
	public static GroupOrder stage(String model) {
		return new GroupOrder(Action.STAGE, "", 0, model, List.of());
	}

	/**
	 * Tells whether an endpoint's record shows that the order has been carried out.
	 * @param endpoint the record
	 * @return {@code true} once the record has the state that the order asks for; other
	 * changes of the record don't count
	 */
	public boolean reflectedIn(EndpointRecord endpoint) {
		Optional<GroupState> state = endpoint.membership()
			.filter((membership) -> membership.group().equals(this.group) && membership.epoch() == this.epoch)
			.map(GroupMembership::state);
		return switch (this.action) {
			case JOIN -> state.isPresent();
			case OPEN ->
				state.filter((current) -> current != GroupState.READY && current != GroupState.JOINING).isPresent();
			case CLOSE -> state.filter((current) -> current == GroupState.OPEN).isEmpty();
			case EVICT -> state.filter(GroupState::active).isEmpty();
			case LEAVE -> state.isEmpty();
			case STAGE -> endpoint.staged().contains(this.model);
		};
	}

	/**
	 * The action that an order asks for.
	 */
	public enum Action {

		/** Join the group. */
		JOIN,

		/** Start serving as the group's head. */
		OPEN,

		/** Finish the requests in progress and accept no new ones. */
		CLOSE,

		/** Abort the requests in progress and accept no new ones. */
		EVICT,

		/** Leave the group. */
		LEAVE,

		/** Load a model's weights onto the host. */
		STAGE

	}

	/**
	 * The result of sending an order to an engine.
	 */
	public enum Outcome {

		/** The engine started to carry out the order. */
		BEGUN,

		/** The engine is already in the state that the order asks for. */
		DONE,

		/** The order is not valid in the engine's current state. */
		UNFIT,

		/** The address now belongs to another endpoint. */
		MOVED,

		/** No answer arrived; the order may have been carried out or may still be. */
		UNANSWERED

	}

}
