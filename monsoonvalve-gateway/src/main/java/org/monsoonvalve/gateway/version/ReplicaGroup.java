package org.monsoonvalve.gateway.version;

import java.util.List;
import java.util.Objects;

/**
 * A planned replica of a model.
 *
 * @author monsoonvalve maintainers
 * @param name the group's name, never used again for another membership
 * @param epoch the number that orders memberships of a VM
 * @param model the model
 * @param members the incarnations of its members, the head first
 * @param successor the model that its VMs are to carry next, empty while the group is
 * wanted
 */
public record ReplicaGroup(String name, long epoch, String model, List<MemberVm> members, String successor) {

	/**
	 * Copies the members.
	 */
	public ReplicaGroup {
		members = List.copyOf(members);
		successor = Objects.requireNonNullElse(successor, "");
	}

	/**
	 * Creates a group that is wanted.
	 * @param name the group's name
	 * @param epoch the number that orders memberships of a VM
	 * @param model the model
	 * @param members the incarnations of its members, the head first
	 * @return the group
	 */
	public static ReplicaGroup of(String name, long epoch, String model, List<MemberVm> members) {
		return new ReplicaGroup(name, epoch, model, members, "");
	}

	/**
	 * Returns the group as one that another model preempts.
	 * @param next the model that its VMs are to carry next
	 * @return the changed group
	 */
	public ReplicaGroup preemptedBy(String next) {
		return new ReplicaGroup(this.name, this.epoch, this.model, this.members, next);
	}

	/**
	 * Tells whether the group is to close so that another model can have its VMs.
	 * @return {@code true} if it is preempted
	 */
	public boolean preempted() {
		return !this.successor.isEmpty();
	}

	/**
	 * Returns the member that takes the group's requests.
	 * @return the head
	 */
	public MemberVm head() {
		return this.members.get(0);
	}

	/**
	 * A member of a group.
	 *
	 * @param id the endpoint's identifier
	 * @param bornMillis the start of its incarnation, in milliseconds since the epoch
	 */
	public record MemberVm(String id, long bornMillis) {

		/**
		 * Identifies the incarnation.
		 * @return the key that endpoints' records use
		 */
		public String incarnation() {
			return this.id + "@" + this.bornMillis;
		}

		/**
		 * Identifies the incarnation that an endpoint's record describes.
		 * @param endpoint the record
		 * @return the member
		 */
		public static MemberVm of(EndpointRecord endpoint) {
			return new MemberVm(endpoint.id(), endpoint.bornMillis());
		}

	}

}
