package org.monsoonvalve.gateway.version;

import java.util.Collections;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.monsoonvalve.core.connection.StorePosition;

/**
 * A process's view of the fleet at one position of the platform's store.
 *
 * @author monsoonvalve maintainers
 * @param position the store's position that this view includes
 * @param configuration the configuration, empty until one is received
 * @param configurationPosition the store's position of the configuration
 * @param evacuatedZones the availability zones that operators have taken out of service
 * @param endpoints the endpoints by identifier
 * @param members the processes of this system by name
 * @param groups the planned groups by availability zone
 * @param roleHolders the names of the processes that hold a lease on a role, by role
 */
public record FleetView(StorePosition position, Optional<ServingConfiguration> configuration,
		StorePosition configurationPosition, Set<String> evacuatedZones, Map<String, EndpointRecord> endpoints,
		Map<String, Member> members, Map<String, PlannedGroups> groups, Map<String, String> roleHolders) {

	/**
	 * Creates a view with copies of the collections.
	 */
	public FleetView {
		evacuatedZones = Collections.unmodifiableSet(new HashSet<>(evacuatedZones));
		endpoints = ImmutableHashMap.copyOf(endpoints);
		members = ImmutableHashMap.copyOf(members);
		groups = ImmutableHashMap.copyOf(groups);
		roleHolders = ImmutableHashMap.copyOf(roleHolders);
	}

	/**
	 * Returns the view of a process that has not received any data.
	 * @return the empty view
	 */
	public static FleetView empty() {
		return new FleetView(StorePosition.NONE, Optional.empty(), StorePosition.NONE, Set.of(), Map.of(), Map.of(),
				Map.of(), Map.of());
	}

	/**
	 * Returns the version of the configuration.
	 * @return the version, 0 until a configuration is received
	 */
	public long configurationVersion() {
		return this.configuration.map(ServingConfiguration::version).orElse(0L);
	}

	/**
	 * Returns the planned groups of a zone.
	 * @param zone the zone
	 * @return its groups, none if no value is stored
	 */
	public PlannedGroups groupsOf(String zone) {
		return this.groups.getOrDefault(zone, PlannedGroups.none());
	}

	/**
	 * Tells whether an endpoint is the serving head of a complete planned group.
	 * @param head the endpoint's record
	 * @return {@code true} if the head serves, its group is planned under the same name
	 * and epoch, and every member is present and not draining
	 */
	public boolean servesWholeGroup(EndpointRecord head) {
		return head.membership()
			.filter(GroupMembership::serving)
			.flatMap((membership) -> groupsOf(head.zone()).groupOf(ReplicaGroup.MemberVm.of(head))
				.filter((group) -> group.name().equals(membership.group()) && group.epoch() == membership.epoch()))
			.filter((group) -> group.head().id().equals(head.id()))
			.filter((group) -> group.members().stream().allMatch((member) -> isActiveMember(group, member)))
			.isPresent();
	}

	/**
	 * Finds the endpoints that were added, changed or removed since an older view.
	 * @param older the older view
	 * @return the identifiers of the endpoints
	 */
	public Set<String> endpointsChangedSince(FleetView older) {
		if (this.endpoints == older.endpoints) {
			return Set.of();
		}
		Set<String> changed = new HashSet<>();
		this.endpoints.forEach((id, record) -> {
			if (record != older.endpoints.get(id)) {
				changed.add(id);
			}
		});
		older.endpoints.keySet().stream().filter((id) -> !this.endpoints.containsKey(id)).forEach(changed::add);
		return changed;
	}

	/**
	 * Finds the zones whose planned groups or evacuation changed since an older view.
	 * @param older the older view
	 * @return the zones
	 */
	public Set<String> zonesChangedSince(FleetView older) {
		Set<String> zones = new HashSet<>(this.groups.keySet());
		zones.addAll(older.groups.keySet());
		zones.removeIf((zone) -> this.groups.get(zone) == older.groups.get(zone));
		Stream.concat(this.evacuatedZones.stream(), older.evacuatedZones.stream())
			.filter((zone) -> this.evacuatedZones.contains(zone) != older.evacuatedZones.contains(zone))
			.forEach(zones::add);
		return zones;
	}

	/**
	 * Finds the head of the group that an endpoint is planned in.
	 * @param id the endpoint's identifier
	 * @return the identifier of the head, empty if the endpoint has no record or group
	 */
	public Optional<String> headOf(String id) {
		return Optional.ofNullable(this.endpoints.get(id))
			.flatMap((record) -> groupsOf(record.zone()).groupOf(ReplicaGroup.MemberVm.of(record)))
			.map((group) -> group.head().id());
	}

	private boolean isActiveMember(ReplicaGroup group, ReplicaGroup.MemberVm member) {
		EndpointRecord record = this.endpoints.get(member.id());
		return record != null && record.bornMillis() == member.bornMillis() && !record.draining()
				&& record.memberOf(group.name(), group.epoch());
	}

	/**
	 * The planned groups of a zone with the position that an update must match, indexed
	 * by member.
	 */
	public static final class PlannedGroups {

		private final ZoneGroups groups;

		private final StorePosition position;

		private final boolean stored;

		private final Map<ReplicaGroup.MemberVm, ReplicaGroup> groupByMember;

		/**
		 * Creates a value that the store holds.
		 * @param groups the groups
		 * @param position the store's position of the value
		 */
		public PlannedGroups(ZoneGroups groups, StorePosition position) {
			this(groups, position, true);
		}

		private PlannedGroups(ZoneGroups groups, StorePosition position, boolean stored) {
			this.groups = groups;
			this.position = position;
			this.stored = stored;
			this.groupByMember = groups.groups()
				.stream()
				.flatMap((group) -> group.members().stream().map((member) -> Map.entry(member, group)))
				.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue,
						(first, second) -> second));
		}

		/**
		 * Returns the groups.
		 * @return the groups
		 */
		public ZoneGroups groups() {
			return this.groups;
		}

		/**
		 * Returns the value of a zone without groups.
		 * @return the empty value, which the store doesn't hold
		 */
		static PlannedGroups none() {
			return new PlannedGroups(ZoneGroups.empty(), StorePosition.NONE);
		}

		/**
		 * Returns a value that the store has lost.
		 * @param groups the groups
		 * @param position the position at which the store holds an older value,
		 * {@link StorePosition#NONE} if it holds none
		 * @return the value
		 */
		public static PlannedGroups lost(ZoneGroups groups, StorePosition position) {
			return new PlannedGroups(groups, position, false);
		}

		/**
		 * Returns the newer one of two values of a zone. Positions of different eras
		 * don't tell their order; the versions of the groups do.
		 * @param written a value that was written by this process
		 * @return this value, or the written one with the position that an update must
		 * match
		 */
		public PlannedGroups newest(PlannedGroups written) {
			if (!written.position.precedesEraOf(this.position)) {
				return written.position.isAfter(this.position) ? written : this;
			}
			return (written.groups.version() > this.groups.version()) ? lost(written.groups, this.position) : this;
		}

		/**
		 * Returns the position that an update must match.
		 * @return the store's position of the value, {@link StorePosition#NONE} if there
		 * is none
		 */
		public StorePosition position() {
			return this.position;
		}

		/**
		 * Tells whether the store holds the groups.
		 * @return {@code false} if it has lost them and they must be written again
		 */
		public boolean stored() {
			return this.stored;
		}

		/**
		 * Finds the group that a VM is planned in.
		 * @param member the VM
		 * @return the group, the last one if there are several, empty if there is none
		 */
		public Optional<ReplicaGroup> groupOf(ReplicaGroup.MemberVm member) {
			return Optional.ofNullable(this.groupByMember.get(member));
		}

	}

}
