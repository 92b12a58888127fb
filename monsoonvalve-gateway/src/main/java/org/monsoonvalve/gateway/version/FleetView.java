package org.monsoonvalve.gateway.version;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A process's view of the fleet at one revision of the platform's store.
 *
 * @author monsoonvalve maintainers
 * @param revision the store's revision that this view includes
 * @param configuration the configuration, empty until one is received
 * @param configurationRevision the store's revision of the configuration
 * @param evacuatedZones the availability zones that operators have taken out of service
 * @param endpoints the endpoints by identifier
 * @param members the processes of this system by name
 * @param groups the planned groups by availability zone
 * @param roleHolders the names of the processes that hold a lease on a role, by role
 */
public record FleetView(long revision, Optional<ServingConfiguration> configuration, long configurationRevision,
		Set<String> evacuatedZones, Map<String, EndpointRecord> endpoints, Map<String, Member> members,
		Map<String, PlannedGroups> groups, Map<String, String> roleHolders) {

	/**
	 * Creates a view with copies of the collections.
	 */
	public FleetView {
		evacuatedZones = Set.copyOf(evacuatedZones);
		endpoints = Map.copyOf(endpoints);
		members = Map.copyOf(members);
		groups = Map.copyOf(groups);
		roleHolders = Map.copyOf(roleHolders);
	}

	/**
	 * Returns the view of a process that has not received any data.
	 * @return the empty view
	 */
	public static FleetView empty() {
		return new FleetView(0, Optional.empty(), 0, Set.of(), Map.of(), Map.of(), Map.of(), Map.of());
	}

	/**
	 * Returns the planned groups of a zone.
	 * @param zone the zone
	 * @return its groups, none under revision 0 if no value is stored
	 */
	public PlannedGroups groupsOf(String zone) {
		return this.groups.getOrDefault(zone, new PlannedGroups(ZoneGroups.empty(), 0));
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
			.flatMap((membership) -> groupsOf(head.zone()).groups()
				.groups()
				.stream()
				.filter((group) -> group.name().equals(membership.group()) && group.epoch() == membership.epoch())
				.findFirst())
			.filter((group) -> group.head().equals(ReplicaGroup.MemberVm.of(head)))
			.filter((group) -> group.members().stream().allMatch((member) -> isActiveMember(group, member)))
			.isPresent();
	}

	private boolean isActiveMember(ReplicaGroup group, ReplicaGroup.MemberVm member) {
		EndpointRecord record = this.endpoints.get(member.id());
		return record != null && record.bornMillis() == member.bornMillis() && !record.draining()
				&& record.memberOf(group.name(), group.epoch());
	}

	/**
	 * The planned groups of a zone with the revision that an update must match.
	 *
	 * @param groups the groups
	 * @param revision the store's revision of the value, 0 if there is none
	 */
	public record PlannedGroups(ZoneGroups groups, long revision) {

	}

}
