package org.monsoonvalve.gateway.version;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import org.monsoonvalve.admission.request.WorkSize;
import org.monsoonvalve.admission.version.EngineTimings;
import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.process.Codec;
import org.testng.Assert;
import org.testng.annotations.Test;

public class ReplicaPlannerTests {

	private static final ModelProfile LARGE = new ModelProfile("large", 4, 0.5, 1.0, 16_000, 1600);

	private static final ModelProfile SMALL = new ModelProfile("small", 2, 0.5, 0.6, 12_000, 1100);

	private static final EngineProfile ENGINE = new EngineProfile(
			new EngineTimings(12, 1_300_000, 7.8, 0.13, 0, 5, 45.9, 0, 2048, 200), List.of(LARGE, SMALL), 5, 7, 300,
			new WorkSize(900, 150), List.of());

	static EndpointRecord vm(String id, String domain, String staged, GroupMembership membership) {
		return new EndpointRecord(id, "engines", new Address("10.0.0.1", 80), "kano-a", 12, false, 0, 1, domain,
				staged.isEmpty() ? List.of() : List.of(staged), List.of(), Optional.ofNullable(membership),
				StorePosition.of(1));
	}

	private static ReplicaPlanner.Plan plan(List<EndpointRecord> endpoints, ZoneGroups groups,
			Map<String, HeadLiveness> liveness, int loadAllowance) {
		return ReplicaPlanner.plan(new ReplicaPlanner.ZoneSnapshot("kano-a", ENGINE, endpoints, groups, liveness,
				(record) -> false, Map.of(), loadAllowance, Map.of()));
	}

	private static ReplicaGroup.MemberVm member(String id) {
		return new ReplicaGroup.MemberVm(id, 1);
	}

	// Adds the addresses that the planner stores when it forms the groups.
	private static ZoneGroups withHeadAddresses(ZoneGroups groups) {
		return groups.withHeadAddresses((head) -> Optional.of(vm(head.id(), "d1", "", null)));
	}

	private static GroupMembership membership(ReplicaGroup group, int rank, GroupState state) {
		return new GroupMembership(group.name(), group.epoch(), rank, state);
	}

	@Test
	public void formsGroupsOfBothModelsInEmptyDomain() {
		Map<String, String> staged = new HashMap<>();
		ZoneGroups groups = ZoneGroups.empty();
		for (int round = 0; round < 20; round++) {
			List<EndpointRecord> endpoints = IntStream.range(0, 10)
				.mapToObj((i) -> vm("vm-" + i, "d1", staged.getOrDefault("vm-" + i, ""), null))
				.toList();
			ReplicaPlanner.Plan plan = plan(endpoints, groups, Map.of(), 3);
			plan.orders()
				.stream()
				.filter((order) -> order.order().action() == GroupOrder.Action.STAGE)
				.forEach((order) -> staged.put(order.endpoint().id(), order.order().model()));
			groups = plan.groups();
		}
		Assert.assertEquals(groups.groups().stream().filter((group) -> group.model().equals("large")).count(), 1);
		Assert.assertEquals(groups.groups().stream().filter((group) -> group.model().equals("small")).count(), 3);
	}

	// A group can be preempted only for one in its own domain, so both models need groups
	// in each domain.
	@Test
	public void formsGroupsOfBothModelsInEachDomain() {
		Map<String, String> staged = new HashMap<>();
		ZoneGroups groups = ZoneGroups.empty();
		for (int round = 0; round < 20; round++) {
			List<EndpointRecord> endpoints = IntStream.range(0, 20)
				.mapToObj((i) -> vm("vm-" + i, "d" + i / 10, staged.getOrDefault("vm-" + i, ""), null))
				.toList();
			ReplicaPlanner.Plan plan = plan(endpoints, groups, Map.of(), 3);
			plan.orders()
				.stream()
				.filter((order) -> order.order().action() == GroupOrder.Action.STAGE)
				.forEach((order) -> staged.put(order.endpoint().id(), order.order().model()));
			groups = plan.groups();
		}
		List<Integer> domains = groups.groups()
			.stream()
			.filter((group) -> group.model().equals("large"))
			.map((group) -> Integer.parseInt(group.head().id().substring(3)) / 10)
			.toList();
		Assert.assertEquals(domains.stream().sorted().toList(), List.of(0, 1));
		Assert.assertEquals(groups.groups().stream().filter((group) -> group.model().equals("small")).count(), 6);
	}

	// Guards against a member that joins another group while the head of its own one
	// serves, whatever the plan says of that one.
	@Test
	public void closesTheHeadThatServesAMembersGroupBeforeTheMemberJoins() {
		ReplicaGroup former = ReplicaGroup.of("kano-a-1", 1, "small", List.of(member("a"), member("b")));
		ZoneGroups groups = new ZoneGroups(1, List.of(), 1).with("kano-a", "small", List.of(member("b"), member("c")));
		EndpointRecord free = vm("c", "d1", "small", null);
		for (GroupState state : new GroupState[] { GroupState.OPEN, GroupState.CLOSING, GroupState.READY }) {
			ReplicaPlanner.Plan plan = plan(
					List.of(vm("a", "d1", "small", membership(former, 0, state)),
							vm("b", "d1", "small", membership(former, 1, GroupState.READY)), free),
					groups, Map.of(), 0);
			List<String> orders = plan.orders()
				.stream()
				.filter((order) -> order.order().action() != GroupOrder.Action.STAGE)
				.map((order) -> order.endpoint().id() + " " + order.order().action() + " " + order.order().group())
				.sorted()
				.toList();
			Assert.assertEquals(orders, switch (state) {
				case OPEN -> List.of("a CLOSE kano-a-1", "c JOIN kano-a-2");
				case CLOSING -> List.of("c JOIN kano-a-2");
				default -> List.of("b JOIN kano-a-2", "c JOIN kano-a-2");
			}, state.toString());
		}
	}

	@Test
	public void opensGroupOnlyWhenAllMembersAreReadyInItsEpoch() {
		ZoneGroups groups = ZoneGroups.empty().with("kano-a", "small", List.of(member("a"), member("b")));
		ReplicaGroup group = groups.groups().get(0);
		GroupMembership ready = membership(group, 0, GroupState.READY);
		GroupMembership older = new GroupMembership(group.name(), group.epoch() - 1, 1, GroupState.READY);
		for (GroupMembership second : new GroupMembership[] { null, older, membership(group, 1, GroupState.JOINING) }) {
			ReplicaPlanner.Plan plan = plan(List.of(vm("a", "d1", "small", ready), vm("b", "d1", "small", second)),
					groups, Map.of(), 0);
			Assert.assertTrue(
					plan.orders().stream().noneMatch((order) -> order.order().action() == GroupOrder.Action.OPEN),
					String.valueOf(second));
		}
		ReplicaPlanner.Plan allReady = plan(
				List.of(vm("a", "d1", "small", ready), vm("b", "d1", "small", membership(group, 1, GroupState.READY))),
				groups, Map.of(), 0);
		Assert.assertEquals(allReady.orders().get(0).order().action(), GroupOrder.Action.OPEN);
		Assert.assertEquals(allReady.orders().get(0).endpoint().id(), "a");
	}

	@Test
	public void doesNotOpenGroupWithRestartedMember() {
		ZoneGroups groups = ZoneGroups.empty().with("kano-a", "small", List.of(member("a"), member("b")));
		ReplicaGroup group = groups.groups().get(0);
		EndpointRecord restarted = new EndpointRecord("b", "engines", new Address("10.0.0.1", 80), "kano-a", 12, false,
				0, 2, "d1", List.of("small"), List.of(), Optional.of(membership(group, 1, GroupState.READY)),
				StorePosition.of(1));
		ReplicaPlanner.Plan plan = plan(
				List.of(vm("a", "d1", "small", membership(group, 0, GroupState.READY)), restarted), groups, Map.of(),
				0);
		Assert
			.assertTrue(plan.orders().stream().noneMatch((order) -> order.order().action() == GroupOrder.Action.OPEN));
	}

	@Test
	public void keepsMembersWhileHeadIsOpenOrClosing() {
		ZoneGroups groups = withHeadAddresses(ZoneGroups.empty()
			.with("kano-a", "small", List.of(member("a"), member("b")))
			.with("kano-a", "small", List.of(member("c"), member("d"))));
		ReplicaGroup first = groups.groups().get(0);
		ReplicaGroup second = groups.groups().get(1);
		for (GroupState state : List.of(GroupState.OPEN, GroupState.CLOSING)) {
			List<EndpointRecord> survivors = List.of(vm("a", "d1", "small", membership(first, 0, state)),
					vm("c", "d1", "small", membership(second, 0, state)));
			ReplicaPlanner.Plan plan = plan(survivors, groups, Map.of(), 3);
			Assert.assertEquals(plan.groups(), groups, "no group changes while its head is " + state);
			Assert.assertTrue(
					plan.orders().stream().allMatch((order) -> order.order().action() == GroupOrder.Action.EVICT));
		}
		List<EndpointRecord> closed = List.of(vm("a", "d1", "small", membership(first, 0, GroupState.READY)),
				vm("c", "d1", "small", membership(second, 0, GroupState.BROKEN)));
		ReplicaPlanner.Plan reformed = plan(closed, groups, Map.of(), 3);
		Assert.assertEquals(reformed.groups().groups().size(), 1, "the survivors form a group");
		Assert.assertTrue(reformed.groups().groups().get(0).epoch() > second.epoch());
	}

	@Test
	public void evictsGroupWithLostMemberAndClosesGroupWithDrainingMember() {
		ZoneGroups groups = ZoneGroups.empty().with("kano-a", "small", List.of(member("a"), member("b")));
		ReplicaGroup group = groups.groups().get(0);
		EndpointRecord head = vm("a", "d1", "small", membership(group, 0, GroupState.OPEN));
		EndpointRecord draining = new EndpointRecord("b", "engines", new Address("10.0.0.1", 80), "kano-a", 12, true, 0,
				1, "d1", List.of("small"), List.of(), Optional.of(membership(group, 1, GroupState.READY)),
				StorePosition.of(1));
		Assert.assertEquals(plan(List.of(head), groups, Map.of(), 0).orders().get(0).order().action(),
				GroupOrder.Action.EVICT);
		Assert.assertEquals(plan(List.of(head, draining), groups, Map.of(), 0).orders().get(0).order().action(),
				GroupOrder.Action.CLOSE);
	}

	@Test
	public void keepsMembersUntilMissingHeadIsKnownToHaveStopped() {
		ZoneGroups groups = ZoneGroups.empty()
			.with("kano-a", "small", List.of(member("a"), member("b")))
			.with("kano-a", "small", List.of(member("c"), member("d")));
		List<EndpointRecord> survivors = List.of(
				vm("b", "d1", "small", membership(groups.groups().get(0), 1, GroupState.READY)),
				vm("d", "d1", "small", membership(groups.groups().get(1), 1, GroupState.READY)));
		Assert.assertEquals(plan(survivors, groups, Map.of(), 3).groups(), groups);
		Map<String, HeadLiveness> liveness = Map.of(groups.groups().get(0).name(), HeadLiveness.UNRESPONSIVE,
				groups.groups().get(1).name(), HeadLiveness.CLOSED);
		Assert.assertEquals(plan(survivors, groups, liveness, 3).groups().groups().size(), 1);
	}

	// A planner that starts later can't learn the address of a head that has lost its
	// record.
	@Test
	public void storesTheAddressOfEachHeadWithItsGroup() {
		List<EndpointRecord> endpoints = List.of(vm("a", "d1", "small", null), vm("b", "d1", "small", null));
		ZoneGroups formed = plan(endpoints, ZoneGroups.empty(), Map.of(), 0).groups();
		ZoneGroups stored = Codec.JSON.decode(Codec.JSON.encode(formed), ZoneGroups.class);
		Assert.assertEquals(stored, formed);
		Assert.assertEquals(stored.groups().get(0).headEngine(),
				Optional.of(new EngineAddress(stored.groups().get(0).head().id(), new Address("10.0.0.1", 80))));
		ZoneGroups planned = ZoneGroups.empty().with("kano-a", "small", List.of(member("a"), member("b")));
		Assert.assertTrue(plan(endpoints, planned, Map.of(), 0).groups().groups().get(0).headEngine().isPresent(),
				"a group that was stored without the address");
		Assert.assertEquals(plan(endpoints.subList(1, 2), stored, Map.of(), 0).groups(), stored,
				"the address outlives the record");
	}

	@Test
	public void decodesGroupsThatAnEarlierBuildStored() {
		ZoneGroups stored = Codec.JSON.decode("""
				{"lastEpoch":1,"version":1,"groups":[{"name":"kano-a-1","epoch":1,"model":"small","successor":"",
				 "members":[{"id":"a","bornMillis":1}]}]}""".getBytes(StandardCharsets.UTF_8), ZoneGroups.class);
		Assert.assertEquals(stored.groups().get(0).headEngine(), Optional.empty());
	}

	@Test
	public void keepsMembersOfServingHeadWhoseGroupIsNoLongerPlanned() {
		ReplicaGroup unplanned = ReplicaGroup.of("kano-a-3", 3, "small", List.of(member("a"), member("b")));
		List<EndpointRecord> returned = List.of(vm("a", "d1", "small", membership(unplanned, 0, GroupState.OPEN)),
				vm("b", "d1", "small", membership(unplanned, 1, GroupState.READY)), vm("c", "d1", "small", null));
		Assert.assertTrue(plan(returned, new ZoneGroups(7, List.of(), 1), Map.of(), 0).groups().groups().isEmpty());
	}

	@Test
	public void keepsGroupsWithinDomainAndLoadsWithinAllowance() {
		List<EndpointRecord> split = List.of(vm("a", "d1", "small", null), vm("b", "d2", "small", null));
		Assert.assertTrue(plan(split, ZoneGroups.empty(), Map.of(), 0).groups().groups().isEmpty());
		List<EndpointRecord> empty = new ArrayList<>();
		IntStream.range(0, 20).forEach((i) -> empty.add(vm("vm-" + i, "d" + i % 2, "", null)));
		Assert.assertEquals(plan(empty, ZoneGroups.empty(), Map.of(), 3).orders().size(), 3);
	}

	static EndpointRecord vmWithLoadedModel(String id, String model, String staged, GroupMembership membership) {
		return new EndpointRecord(id, "engines", new Address("10.0.0.1", 80), "kano-a", 12, false, 0, 1, "d1",
				List.of(staged), List.of(model), Optional.of(membership), StorePosition.of(1));
	}

	// Failure pattern: a model with large groups loses single VMs one after another while
	// the model with small groups has VMs to spare.
	private static ZoneGroups fiveSmallGroups() {
		ZoneGroups groups = ZoneGroups.empty();
		for (int i = 0; i < 5; i++) {
			groups = groups.with("kano-a", "small", List.of(member("s" + 2 * i), member("s" + (2 * i + 1))));
		}
		return groups;
	}

	private static List<EndpointRecord> smallGroupsAndSurvivors(ZoneGroups groups, GroupState state, String staged,
			int survivors) {
		List<EndpointRecord> endpoints = new ArrayList<>();
		groups.groups().forEach((group) -> IntStream.range(0, 2).forEach((rank) -> {
			String id = group.members().get(rank).id();
			endpoints.add(vmWithLoadedModel(id, "small", (id.equals("s8") || id.equals("s9")) ? staged : "small",
					membership(group, rank, (rank == 0) ? state : GroupState.READY)));
		}));
		IntStream.range(0, survivors).forEach((i) -> endpoints.add(vm("l" + i, "d1", "large", null)));
		return endpoints;
	}

	@Test
	public void preemptsSmallGroupForUnderprovisionedLargeModel() {
		ZoneGroups groups = fiveSmallGroups();
		ReplicaPlanner.Plan preempting = plan(smallGroupsAndSurvivors(groups, GroupState.OPEN, "large", 3), groups,
				Map.of(), 0);
		Assert.assertEquals(preempting.groups().groups().stream().filter(ReplicaGroup::preempted).count(), 1);
		ReplicaPlanner.Plan closing = plan(smallGroupsAndSurvivors(groups, GroupState.OPEN, "large", 3),
				preempting.groups(), Map.of(), 0);
		Assert.assertEquals(closing.orders().get(0).endpoint().id(), "s8");
		Assert.assertEquals(closing.orders().get(0).order().action(), GroupOrder.Action.CLOSE);
		Assert.assertEquals(closing.groups(), preempting.groups(), "no VM moves while the group's head serves");
		ReplicaPlanner.Plan formed = plan(smallGroupsAndSurvivors(groups, GroupState.READY, "large", 3),
				preempting.groups(), Map.of(), 0);
		Assert.assertEquals(formed.groups().groups().stream().filter((group) -> group.model().equals("large")).count(),
				1);
		Assert.assertEquals(formed.groups().groups().stream().filter((group) -> group.model().equals("small")).count(),
				4);
	}

	@Test
	public void preemptsNoGroupWithoutWeightsOrOfModelThatWouldBeUnderprovisioned() {
		ZoneGroups groups = withHeadAddresses(fiveSmallGroups());
		Assert.assertEquals(
				plan(smallGroupsAndSurvivors(groups, GroupState.OPEN, "small", 3), groups, Map.of(), 0).groups(),
				groups);
		ZoneGroups oneGroup = new ZoneGroups(5, groups.groups().subList(4, 5), 6);
		Assert.assertEquals(
				plan(smallGroupsAndSurvivors(oneGroup, GroupState.OPEN, "large", 3), oneGroup, Map.of(), 0).groups(),
				oneGroup);
	}

	@Test
	public void stagesLargeModelOnBothMembersOfOneSmallGroup() {
		ZoneGroups groups = fiveSmallGroups().with("kano-a", "large",
				List.of(member("l0"), member("l1"), member("l2"), member("l3")));
		List<EndpointRecord> endpoints = new ArrayList<>(
				smallGroupsAndSurvivors(fiveSmallGroups(), GroupState.OPEN, "small", 0));
		ReplicaGroup large = groups.groups().get(5);
		IntStream.range(0, 4)
			.forEach((i) -> endpoints.add(vmWithLoadedModel("l" + i, "large", "large",
					membership(large, i, (i == 0) ? GroupState.OPEN : GroupState.READY))));
		List<ReplicaPlanner.Order> orders = plan(endpoints, groups, Map.of(), 3).orders();
		Assert.assertEquals(orders.stream().map((order) -> order.order().model()).toList(), List.of("large", "large"));
		Assert.assertEquals(
				orders.stream().map((order) -> groups.groupOf(member(order.endpoint().id()))).distinct().count(), 1);
	}

	@Test
	public void keepsWeightsOnSurvivorsOfUnderprovisionedLargeModel() {
		ZoneGroups groups = ZoneGroups.empty()
			.with("kano-a", "small", List.of(member("x"), member("y")))
			.with("kano-a", "small", List.of(member("z"), member("w")))
			.with("kano-a", "small", List.of(member("u"), member("v")));
		List<EndpointRecord> endpoints = new ArrayList<>();
		groups.groups()
			.forEach((group) -> IntStream.range(0, 2)
				.forEach((rank) -> endpoints.add(vm(group.members().get(rank).id(), "d2", "small",
						membership(group, rank, (rank == 0) ? GroupState.OPEN : GroupState.READY)))));
		endpoints
			.addAll(List.of(vm("a", "d1", "large", null), vm("b", "d1", "large", null), vm("c", "d1", "large", null)));
		Assert.assertTrue(plan(endpoints, groups, Map.of(), 3).orders()
			.stream()
			.noneMatch((order) -> order.order().action() == GroupOrder.Action.STAGE));
	}

}
