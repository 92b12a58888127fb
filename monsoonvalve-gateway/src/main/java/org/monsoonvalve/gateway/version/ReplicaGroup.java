package org.monsoonvalve.gateway.version;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.monsoonvalve.core.connection.Address;

/**
 * A planned replica of a model that spans several VMs, one of which, the head, accepts
 * the requests.
 *
 * @author monsoonvalve maintainers
 * @param name the group's name, never reused for another set of members
 * @param epoch the group's number among all groups of its zone, in order of their
 * creation, by which a VM's later membership is told from an earlier one
 * @param model the model
 * @param members the incarnations of its members, the head first
 * @param successor the model that preempts the group and gets its VMs, empty if the group
 * is not preempted
 * @param headAddress the address at which the head accepts orders, also when it has no
 * record, {@code null} if the group was planned without it
 */
public record ReplicaGroup(String name, long epoch, String model, List<MemberVm> members, String successor,
		Address headAddress) {

	/**
	 * Creates a group with a copy of the members; a {@code null} successor becomes empty.
	 */
	public ReplicaGroup {
		members = List.copyOf(members);
		successor = Objects.requireNonNullElse(successor, "");
	}

	/**
	 * Creates a group that is not preempted.
	 * @param name the group's name
	 * @param epoch the group's number among all groups of its zone
	 * @param model the model
	 * @param members the incarnations of its members, the head first
	 * @return the group
	 */
	public static ReplicaGroup of(String name, long epoch, String model, List<MemberVm> members) {
		return new ReplicaGroup(name, epoch, model, members, "", null);
	}

	/**
	 * Returns a copy of the group that is preempted by another model.
	 * @param nextModel the model that gets the group's VMs
	 * @return the preempted group
	 */
	public ReplicaGroup preemptedBy(String nextModel) {
		return new ReplicaGroup(this.name, this.epoch, this.model, this.members, nextModel, this.headAddress);
	}

	/**
	 * Returns a copy of the group with the address of its head.
	 * @param address the address
	 * @return the group
	 */
	ReplicaGroup withHeadAddress(Address address) {
		return new ReplicaGroup(this.name, this.epoch, this.model, this.members, this.successor, address);
	}

	/**
	 * Tells whether the group must close so that another model gets its VMs.
	 * @return {@code true} if it is preempted
	 */
	public boolean preempted() {
		return !this.successor.isEmpty();
	}

	/**
	 * Returns the member that accepts the group's requests.
	 * @return the head
	 */
	public MemberVm head() {
		return this.members.get(0);
	}

	/**
	 * Returns the head's engine, which can be asked also when the head has no record.
	 * @return the engine, empty if its address is unknown
	 */
	public Optional<EngineAddress> headEngine() {
		return Optional.ofNullable(this.headAddress).map((address) -> new EngineAddress(head().id(), address));
	}

	/**
	 * A member of a group, as one incarnation of an endpoint.
	 *
	 * @param id the endpoint's identifier
	 * @param bornMillis the incarnation's start, in milliseconds since the Unix epoch
	 */
	public record MemberVm(String id, long bornMillis) {

		/**
		 * Returns the key of the incarnation.
		 * @return the same key as {@link EndpointRecord#incarnation()}
		 */
		public String incarnation() {
			return this.id + "@" + this.bornMillis;
		}

		/**
		 * Creates the member that an endpoint's record describes.
		 * @param endpoint the record
		 * @return the member
		 */
		public static MemberVm of(EndpointRecord endpoint) {
			return new MemberVm(endpoint.id(), endpoint.bornMillis());
		}

	}

}
