package org.monsoonvalve.gateway.version;

import java.util.List;
import java.util.Optional;

/**
 * An order to the engine of one VM.
 *
 * @author monsoonvalve maintainers
 * @param action what to do
 * @param group the group's name, empty for {@link Action#STAGE}
 * @param epoch the group's epoch, 0 for {@link Action#STAGE}
 * @param model the model, empty for orders that don't name one
 * @param memberIds the members' identifiers, the head first, for {@link Action#JOIN}
 */
public record GroupOrder(Action action, String group, long epoch, String model, List<String> memberIds) {

	/**
	 * Copies the members.
	 */
	public GroupOrder {
		memberIds = List.copyOf(memberIds);
	}

	/**
	 * Creates an order that concerns a whole group.
	 * @param action what to do
	 * @param group the group
	 * @return the order
	 */
	public static GroupOrder of(Action action, ReplicaGroup group) {
		return new GroupOrder(action, group.name(), group.epoch(), group.model(),
				group.members().stream().map(ReplicaGroup.MemberVm::id).toList());
	}

	/**
	 * Creates an order to load weights onto a host.
	 * @param model the model
	 * @return the order
	 */
	public static GroupOrder stage(String model) {
		return new GroupOrder(Action.STAGE, "", 0, model, List.of());
	}

	/**
	 * Tells whether an endpoint's record shows that the order has been carried out.
	 * @param endpoint the record
	 * @return {@code true} once the record shows it; a record that changed for another
	 * reason does not
	 */
	public boolean reflectedIn(EndpointRecord endpoint) {
		Optional<GroupState> state = endpoint.membership()
			.filter((place) -> place.group().equals(this.group) && place.epoch() == this.epoch)
			.map(GroupMembership::state);
		return switch (this.action) {
			case JOIN -> state.isPresent();
			case OPEN ->
				state.filter((present) -> present != GroupState.READY && present != GroupState.JOINING).isPresent();
			case CLOSE -> state.filter((present) -> present == GroupState.OPEN).isEmpty();
			case EVICT -> state.filter(GroupState::active).isEmpty();
			case LEAVE -> state.isEmpty();
			case STAGE -> endpoint.staged().contains(this.model);
		};
	}

	/**
	 * What an order asks for.
	 */
	public enum Action {

		/** Become a member of the group. */
		JOIN,

		/** Start to serve as the group's head. */
		OPEN,

		/** Finish the requests in progress and take no new ones. */
		CLOSE,

		/** Break off the requests in progress and take no new ones. */
		EVICT,

		/** Leave the group. */
		LEAVE,

		/** Load a model's weights onto the host. */
		STAGE

	}

	/**
	 * What an engine made of an order.
	 */
	public enum Outcome {

		/** The engine began to carry the order out. */
		BEGUN,

		/** The state that the order asks for holds already. */
		DONE,

		/** The order does not fit the engine's state. */
		UNFIT,

		/** Another endpoint has the address now. */
		MOVED,

		/** No answer came; the order may be carried out, or still come to be. */
		UNANSWERED

	}

}
