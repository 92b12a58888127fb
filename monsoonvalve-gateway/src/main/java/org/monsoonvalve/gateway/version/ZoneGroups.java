package org.monsoonvalve.gateway.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * All replica groups of an availability zone, stored as one value in the platform's store
 * so that two planners can't both change it.
 *
 * @author monsoonvalve maintainers
 * @param lastEpoch the highest epoch assigned so far
 * @param groups the groups
 * @param version the number of changes so far, by which two values of a zone are ordered
 * whatever the store's positions are
 */
public record ZoneGroups(long lastEpoch, List<ReplicaGroup> groups, long version) {

	/**
	 * Number of epochs of each era of the store. Epochs of different eras are disjoint,
	 * so that none is assigned twice although the store loses the groups of one.
	 */
	static final long EPOCHS_PER_ERA = 1_000_000;

	/**
	 * Creates a value with a copy of the groups.
	 */
	public ZoneGroups {
		groups = List.copyOf(groups);
	}

	/**
	 * Returns the value of a zone without groups.
	 * @return the empty value
	 */
	public static ZoneGroups empty() {
		return new ZoneGroups(0, List.of(), 0);
	}

	/**
	 * Returns a copy with one more group, under the next epoch.
	 * @param zone the zone, the prefix of group names
	 * @param model the model's name
	 * @param members the members, the head first
	 * @return the changed copy
	 */
	public ZoneGroups with(String zone, String model, List<ReplicaGroup.MemberVm> members) {
		long epoch = this.lastEpoch + 1;
		List<ReplicaGroup> all = new ArrayList<>(this.groups);
		all.add(ReplicaGroup.of(zone + "-" + epoch, epoch, model, members));
		return new ZoneGroups(epoch, all, this.version + 1);
	}

	/**
	 * Returns a copy without a group.
	 * @param name the group's name
	 * @return the changed copy
	 */
	public ZoneGroups without(String name) {
		return new ZoneGroups(this.lastEpoch,
				this.groups.stream().filter((group) -> !group.name().equals(name)).toList(), this.version + 1);
	}

	/**
	 * Returns a copy with the same groups that counts as a change.
	 * @return the copy
	 */
	public ZoneGroups rewritten() {
		return new ZoneGroups(this.lastEpoch, this.groups, this.version + 1);
	}

	/**
	 * Returns a copy in which another model preempts a group.
	 * @param name the group's name
	 * @param successor the model that gets the group's VMs
	 * @return the changed copy
	 */
	public ZoneGroups withPreempted(String name, String successor) {
		return new ZoneGroups(this.lastEpoch,
				this.groups.stream()
					.map((group) -> group.name().equals(name) ? group.preemptedBy(successor) : group)
					.toList(),
				this.version + 1);
	}

	/**
	 * Returns a copy whose next epoch is higher than a given one and belongs to an era of
	 * the store.
	 * @param epoch an epoch that was assigned
	 * @param era the era of the store
	 * @return the copy, or this value if its last epoch is high enough
	 */
	public ZoneGroups withEpochsAfter(long epoch, long era) {
		long last = Math.max(epoch, era * EPOCHS_PER_ERA);
		return (last <= this.lastEpoch) ? this : new ZoneGroups(last, this.groups, this.version + 1);
	}

	/**
	 * Returns a copy with a group that engines report and the plan lacks, in place of
	 * those that share a member with it.
	 * @param found the group
	 * @return the changed copy
	 */
	ZoneGroups withReported(ReplicaGroup found) {
		List<ReplicaGroup> all = new ArrayList<>(this.groups);
		all.removeIf((group) -> group.members().stream().anyMatch(found.members()::contains));
		all.add(found);
		return new ZoneGroups(Math.max(this.lastEpoch, found.epoch()), all, this.version + 1);
	}

	/**
	 * Returns a copy in which groups whose head's address is unknown have the one of the
	 * head's record.
	 * @param records finds the current record of a member
	 * @return the copy, or this value if no address was added
	 */
	ZoneGroups withHeadAddresses(Function<ReplicaGroup.MemberVm, Optional<EndpointRecord>> records) {
		List<ReplicaGroup> all = this.groups.stream()
			.map((group) -> group.headEngine().isPresent() ? group
					: records.apply(group.head())
						.map((record) -> group.withHeadAddress(record.address()))
						.orElse(group))
			.toList();
		return all.equals(this.groups) ? this : new ZoneGroups(this.lastEpoch, all, this.version + 1);
	}

	/**
	 * Returns the incarnations of the groups' heads.
	 * @return the incarnation keys
	 */
	public Set<String> headIncarnations() {
		return this.groups.stream().map((group) -> group.head().incarnation()).collect(Collectors.toSet());
	}

	/**
	 * Counts the VMs that serve each model; those of a preempted group count for its
	 * successor.
	 * @param present tells whether a head has a record; a group whose head has none does
	 * not serve and is not counted
	 * @return the number of VMs by model
	 */
	public Map<String, Integer> vmsByModel(Predicate<ReplicaGroup.MemberVm> present) {
		return this.groups.stream()
			.filter((group) -> present.test(group.head()))
			.collect(Collectors.groupingBy((group) -> group.preempted() ? group.successor() : group.model(),
					Collectors.summingInt((group) -> group.members().size())));
	}

	/**
	 * Finds the group that a VM belongs to.
	 * @param member the VM
	 * @return the group, empty if the VM is in none
	 */
	public Optional<ReplicaGroup> groupOf(ReplicaGroup.MemberVm member) {
		return this.groups.stream().filter((group) -> group.members().contains(member)).findFirst();
	}

}
