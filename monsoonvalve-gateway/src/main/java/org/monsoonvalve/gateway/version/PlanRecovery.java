package org.monsoonvalve.gateway.version;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Recovers the planned groups of an availability zone that the platform's store has lost,
 * from what the engines report of themselves. A group is stored before its first order,
 * so a membership with a higher epoch than the last planned one belongs to a lost plan.
 *
 * @author monsoonvalve maintainers
 */
public final class PlanRecovery {

	private PlanRecovery() {
	}

	/**
	 * Adds the lost groups whose members are all present, and removes planned groups
	 * whose members have joined later ones. Epochs of other lost groups are not assigned
	 * again.
	 * @param planned the groups that are planned
	 * @param engine the profile of the engine service
	 * @param endpoints the zone's endpoints of that service
	 * @param era the era of the store
	 * @return the groups, the same value if nothing was lost
	 */
	public static ZoneGroups recover(ZoneGroups planned, EngineProfile engine, Collection<EndpointRecord> endpoints,
			long era) {
		long epochLimit = (era + 1) * ZoneGroups.EPOCHS_PER_ERA;
		List<EndpointRecord> lost = endpoints.stream()
			.filter((record) -> record.membership()
				.filter((membership) -> membership.epoch() > planned.lastEpoch() && membership.epoch() < epochLimit)
				.isPresent())
			.toList();
		if (lost.isEmpty()) {
			return planned;
		}
		ZoneGroups recovered = planned;
		for (ReplicaGroup group : planned.groups()) {
			if (lost.stream().map(ReplicaGroup.MemberVm::of).anyMatch(group.members()::contains)) {
				recovered = recovered.without(group.name());
			}
		}
		for (ReplicaGroup group : wholeGroups(engine, lost)) {
			recovered = recovered.withReported(group);
		}
		long lastEpoch = lost.stream().mapToLong((record) -> record.membership().get().epoch()).max().getAsLong();
		return recovered.withEpochsAfter(lastEpoch, era);
	}

	private static List<ReplicaGroup> wholeGroups(EngineProfile engine, List<EndpointRecord> lost) {
		Map<GroupKey, List<EndpointRecord>> byGroup = lost.stream()
			.collect(Collectors.groupingBy((record) -> GroupKey.of(record.membership().get())));
		return byGroup.entrySet()
			.stream()
			.flatMap((entry) -> wholeGroup(engine, entry.getKey(), entry.getValue()).stream())
			.sorted(Comparator.comparingLong(ReplicaGroup::epoch))
			.toList();
	}

	private static Optional<ReplicaGroup> wholeGroup(EngineProfile engine, GroupKey key,
			List<EndpointRecord> reported) {
		List<EndpointRecord> byRank = reported.stream()
			.sorted(Comparator.comparingInt((record) -> record.membership().get().rank()))
			.toList();
		boolean ranksComplete = IntStream.range(0, byRank.size())
			.allMatch((rank) -> byRank.get(rank).membership().get().rank() == rank);
		boolean sound = byRank.stream()
			.noneMatch((record) -> record.draining() || record.membership().get().state() == GroupState.BROKEN);
		return byRank.get(0)
			.models()
			.stream()
			.map((model) -> engine.model(model).orElse(null))
			.filter(Objects::nonNull)
			.filter((model) -> ranksComplete && sound && model.groupSize() == byRank.size())
			.findFirst()
			.map((model) -> ReplicaGroup.of(key.name(), key.epoch(), model.name(),
					byRank.stream().map(ReplicaGroup.MemberVm::of).toList()));
	}

	/**
	 * Identifies a group in the reports of its members.
	 *
	 * @param name the group's name
	 * @param epoch the group's epoch
	 */
	private record GroupKey(String name, long epoch) {

		private static GroupKey of(GroupMembership membership) {
			return new GroupKey(membership.group(), membership.epoch());
		}

	}

}
