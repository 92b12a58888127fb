package org.monsoonvalve.gateway.version;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.monsoonvalve.core.connection.StorePosition;
import org.testng.Assert;
import org.testng.annotations.Test;

public class FleetViewTests {

	private final ZoneGroups groups = ZoneGroups.empty()
		.with("kano-a", "small", List.of(new ReplicaGroup.MemberVm("a", 1), new ReplicaGroup.MemberVm("b", 1)));

	private GroupMembership membership(int rank, GroupState state) {
		ReplicaGroup group = this.groups.groups().get(0);
		return new GroupMembership(group.name(), group.epoch(), rank, state);
	}

	private static boolean servesWholeGroup(ZoneGroups groups, EndpointRecord... records) {
		Map<String, EndpointRecord> byId = new java.util.HashMap<>();
		for (EndpointRecord record : records) {
			byId.put(record.id(), record);
		}
		FleetView view = new FleetView(StorePosition.of(1), Optional.empty(), StorePosition.of(0), Set.of(), byId,
				Map.of(), Map.of("kano-a", new FleetView.PlannedGroups(groups, StorePosition.of(1))), Map.of());
		return view.servesWholeGroup(records[0]);
	}

	@Test
	public void onlyCompletePlannedGroupServes() {
		EndpointRecord head = ReplicaPlannerTests.vm("a", "d1", "small", membership(0, GroupState.OPEN));
		EndpointRecord member = ReplicaPlannerTests.vm("b", "d1", "small", membership(1, GroupState.READY));
		Assert.assertTrue(servesWholeGroup(this.groups, head, member));
		Assert.assertFalse(servesWholeGroup(this.groups, head), "a member is missing");
		Assert.assertFalse(servesWholeGroup(this.groups, head, ReplicaPlannerTests.vm("b", "d1", "small", null)),
				"a member has left");
		Assert.assertFalse(servesWholeGroup(ZoneGroups.empty(), head, member), "the group is no longer planned");
		Assert.assertFalse(
				servesWholeGroup(this.groups,
						ReplicaPlannerTests.vm("a", "d1", "small", membership(0, GroupState.READY)), member),
				"the head is not open");
	}

}
