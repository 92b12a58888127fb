package org.monsoonvalve.gateway.version;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Everything that a process believes about the fleet at one revision of the store.
 *
 * @author monsoonvalve maintainers
 * @param revision the store's revision that this view includes
 * @param configuration the configuration, empty until one was received
 * @param configurationRevision the store's revision of the configuration
 * @param evacuatedZones the availability zones that are out of service
 * @param endpoints the endpoints by identifier
 * @param members the processes of the system by name
 * @param groups the planned groups by availability zone, with the revision of each value
 * @param roleHolders the holders of roles that some process has by a lease
 */
public record FleetView(long revision, Optional<ServingConfiguration> configuration, long configurationRevision,
		Set<String> evacuatedZones, Map<String, EndpointRecord> endpoints, Map<String, Member> members,
		Map<String, PlannedGroups> groups, Map<String, String> roleHolders) {

	/**
	 * Copies the collections.
	 */
	public FleetView {
		evacuatedZones = Set.copyOf(evacuatedZones);
		endpoints = Map.copyOf(endpoints);
		members = Map.copyOf(members);
		groups = Map.copyOf(groups);
		roleHolders = Map.copyOf(roleHolders);
	}

	/**
	 * Returns the view of a process that has received nothing.
	 * @return the empty view
	 */
	public static FleetView empty() {
		return new FleetView(0, Optional.empty(), 0, Set.of(), Map.of(), Map.of(), Map.of(), Map.of());
	}

	/**
	 * Returns the planned groups of a zone.
	 * @param zone the zone
	 * @return its groups
	 */
	public PlannedGroups groupsOf(String zone) {
		return this.groups.getOrDefault(zone, new PlannedGroups(ZoneGroups.empty(), 0));
	}

	/**
	 * Tells whether an endpoint is the head of a planned group that is whole.
	 * @param head the endpoint's record
	 * @return {@code true} if its group is planned under that name and epoch, it serves,
	 * and every member is present and stays
	 */
	public boolean servesWholeGroup(EndpointRecord head) {
		return head.membership()
			.filter(GroupMembership::serving)
			.flatMap((place) -> groupsOf(head.zone()).groups()
				.groups()
				.stream()
				.filter((group) -> group.name().equals(place.group()) && group.epoch() == place.epoch())
				.findFirst())
			.filter((group) -> group.head().equals(ReplicaGroup.MemberVm.of(head)))
			.filter((group) -> group.members().stream().allMatch((member) -> isMember(group, member)))
			.isPresent();
	}

	private boolean isMember(ReplicaGroup group, ReplicaGroup.MemberVm member) {
		EndpointRecord record = this.endpoints.get(member.id());
		return record != null && record.bornMillis() == member.bornMillis() && !record.draining()
				&& record.memberOf(group.name(), group.epoch());
	}

	/**
	 * The groups of a zone with the revision that a change has to name.
	 *
	 * @param groups the groups
	 * @param revision the store's revision of the value, 0 if there is none
	 */
	public record PlannedGroups(ZoneGroups groups, long revision) {

	}

}
