package org.monsoonvalve.gateway.connection;

import java.io.IOException;
import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.gateway.process.DecisionLog;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.GroupMembership;
import org.monsoonvalve.gateway.version.GroupState;
import org.monsoonvalve.gateway.version.ReplicaGroup;
import org.monsoonvalve.gateway.version.ZoneGroups;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EndpointSetTests {

	private static final int ENDPOINTS = 40;

	private EventLoop loop;

	private HttpClient client;

	private EndpointSet endpoints;

	@BeforeMethod
	public void start() {
		this.loop = EventLoop.start((failure) -> {
			throw new IllegalStateException(failure);
		});
		this.client = HttpClient.start(this.loop, 300);
		DecisionLog log = DecisionLog.start(Clock.systemUTC(), "gateway-1", (line) -> {
		});
		this.endpoints = new EndpointSet("near", (record) -> new Endpoint(record, this.client, () -> {
		}), log);
		Map<String, EndpointRecord> records = new HashMap<>();
		IntStream.range(0, ENDPOINTS)
			.forEach((i) -> records.put("vm-" + i,
					new EndpointRecord("vm-" + i, "s", new Address("127.0.0.1", 1), (i % 2 == 0) ? "near" : "far", 6,
							false, 0, 1, "", List.of(), List.of(), Optional.empty(), StorePosition.of(1))));
		this.endpoints.update(new FleetView(StorePosition.of(1), Optional.empty(), StorePosition.of(0), Set.of(),
				records, Map.of(), Map.of(), Map.of()));
	}

	@AfterMethod
	public void stop() throws IOException {
		this.client.close();
	}

	private Endpoint choose() {
		return this.endpoints.choose(this.endpoints.eligible("s", Optional.empty()), (endpoint) -> true).get();
	}

	// Models many processes that each send few requests, so that all endpoints look idle
	// to each process.
	@Test
	public void endpointsWithEqualLoadGetEqualShares() {
		int requests = 20_000;
		Map<String, Long> shares = IntStream.range(0, requests)
			.mapToObj((i) -> choose().record().id())
			.collect(Collectors.groupingBy((id) -> id, Collectors.counting()));
		Assert.assertEquals(shares.size(), ENDPOINTS / 2, "all endpoints of the local zone");
		double even = requests / (ENDPOINTS / 2.0);
		shares.forEach((id, share) -> Assert.assertEquals(share, even, even / 4, id));
	}

	private static EndpointRecord engine(String id, String zone, boolean draining, GroupMembership membership) {
		return new EndpointRecord(id, "m", new Address("127.0.0.1", 1), zone, 6, draining, 0, 1, "d1", List.of("small"),
				List.of("small"), Optional.ofNullable(membership), StorePosition.of(1));
	}

	@Test
	public void onlyHeadsOfWholeGroupsInZonesInServiceTakeRequestsForAModel() {
		ZoneGroups near = ZoneGroups.empty()
			.with("near", "small", List.of(new ReplicaGroup.MemberVm("a", 1), new ReplicaGroup.MemberVm("b", 1)))
			.with("near", "small", List.of(new ReplicaGroup.MemberVm("c", 1), new ReplicaGroup.MemberVm("gone", 1)));
		ZoneGroups far = ZoneGroups.empty().with("far", "small", List.of(new ReplicaGroup.MemberVm("e", 1)));
		Map<String, EndpointRecord> records = new HashMap<>();
		List.of(engine("a", "near", false, new GroupMembership("near-1", 1, 0, GroupState.OPEN)),
				engine("b", "near", false, new GroupMembership("near-1", 1, 1, GroupState.READY)),
				engine("c", "near", false, new GroupMembership("near-2", 2, 0, GroupState.OPEN)),
				engine("d", "near", false, null),
				engine("e", "far", false, new GroupMembership("far-1", 1, 0, GroupState.OPEN)))
			.forEach((record) -> records.put(record.id(), record));
		Map<String, FleetView.PlannedGroups> groups = Map.of("near",
				new FleetView.PlannedGroups(near, StorePosition.of(1)), "far",
				new FleetView.PlannedGroups(far, StorePosition.of(1)));
		this.endpoints.update(new FleetView(StorePosition.of(2), Optional.empty(), StorePosition.of(0), Set.of("far"),
				records, Map.of(), groups, Map.of()));
		Assert.assertEquals(ids("m", Optional.of("small")), List.of("a"));
		Assert.assertEquals(ids("m", Optional.of("large")), List.of());
		Assert.assertEquals(ids("s", Optional.empty()), List.of());
		this.endpoints.update(new FleetView(StorePosition.of(3), Optional.empty(), StorePosition.of(0), Set.of(),
				records, Map.of(), groups, Map.of()));
		Assert.assertEquals(ids("m", Optional.of("small")), List.of("a", "e"));
		records.put("a", engine("a", "near", true, new GroupMembership("near-1", 1, 0, GroupState.OPEN)));
		this.endpoints.update(new FleetView(StorePosition.of(4), Optional.empty(), StorePosition.of(0), Set.of(),
				records, Map.of(), groups, Map.of()));
		Assert.assertEquals(ids("m", Optional.of("small")), List.of("e"));
	}

	// A head's own record stays the same while a member of its group is lost, restarts or
	// joins another group.
	@Test
	public void aHeadFollowsTheMembersOfItsGroup() {
		ZoneGroups planned = ZoneGroups.empty()
			.with("near", "small", List.of(new ReplicaGroup.MemberVm("a", 1), new ReplicaGroup.MemberVm("b", 1)));
		Map<String, FleetView.PlannedGroups> groups = Map.of("near",
				new FleetView.PlannedGroups(planned, StorePosition.of(1)));
		EndpointRecord head = engine("a", "near", false, new GroupMembership("near-1", 1, 0, GroupState.OPEN));
		EndpointRecord member = engine("b", "near", false, new GroupMembership("near-1", 1, 1, GroupState.READY));
		updateGroups(3, Map.of("a", head, "b", member), Map.of());
		Assert.assertEquals(ids("m", Optional.of("small")), List.of(), "the group is not planned yet");
		updateGroups(4, Map.of("a", head, "b", member), groups);
		Assert.assertEquals(ids("m", Optional.of("small")), List.of("a"));
		updateGroups(5, Map.of("a", head), groups);
		Assert.assertEquals(ids("m", Optional.of("small")), List.of(), "the member is lost");
		updateGroups(6, Map.of("a", head, "b", member), groups);
		Assert.assertEquals(ids("m", Optional.of("small")), List.of("a"));
		EndpointRecord elsewhere = engine("b", "near", false, new GroupMembership("near-9", 9, 1, GroupState.READY));
		updateGroups(7, Map.of("a", head, "b", elsewhere), groups);
		Assert.assertEquals(ids("m", Optional.of("small")), List.of(), "the member is in another group");
		updateGroups(8, Map.of("a", head, "b", member), groups);
		updateGroups(9, Map.of("a", head, "b", member), Map.of());
		Assert.assertEquals(ids("m", Optional.of("small")), List.of(), "the group is no longer planned");
	}

	// Callers choose the name of the model.
	@Test
	public void modelsThatDoNotExistAreNotKept() {
		IntStream.range(0, 1000)
			.forEach((i) -> Assert.assertTrue(this.endpoints.eligible("m", Optional.of("model-" + i)).isEmpty()));
		choose();
		Assert.assertEquals(this.endpoints.cachedDemands(), 1);
	}

	private void updateGroups(long revision, Map<String, EndpointRecord> records,
			Map<String, FleetView.PlannedGroups> groups) {
		this.endpoints.update(new FleetView(StorePosition.of(revision), Optional.empty(), StorePosition.of(0), Set.of(),
				records, Map.of(), groups, Map.of()));
	}

	@Test
	public void aRestartUnderTheSameIdentifierIsAnotherEndpoint() {
		Endpoint first = this.endpoints.eligible("s", Optional.empty()).get(0);
		EndpointRecord before = first.record();
		first.requestStarted();
		EndpointRecord after = new EndpointRecord(before.id(), "s", before.address(), before.zone(), 6, false, 0, 2, "",
				List.of(), List.of(), Optional.empty(), StorePosition.of(2));
		updateGroups(3, Map.of(after.id(), after), Map.of());
		List<Endpoint> eligible = this.endpoints.eligible("s", Optional.empty());
		Assert.assertEquals(eligible.size(), 1);
		Assert.assertNotSame(eligible.get(0), first);
		Assert.assertEquals(eligible.get(0).load(EventLoop.nowMillis()), 0);
	}

	private List<String> ids(String service, Optional<String> model) {
		return this.endpoints.eligible(service, model)
			.stream()
			.map((endpoint) -> endpoint.record().id())
			.sorted()
			.toList();
	}

	@Test
	public void anEndpointThatReportedLittleLoadIsChosenOverThoseThatReportedMoreOrNothing() {
		List<Endpoint> near = this.endpoints.eligible("s", Optional.empty())
			.stream()
			.filter((endpoint) -> endpoint.record().zone().equals("near"))
			.toList();
		near.get(0).loadReported(12);
		near.get(1).loadReported(2);
		IntStream.range(0, 500)
			.forEach((i) -> Assert.assertSame(choose(), near.get(1), "the other endpoints have reported no load"));
	}

	@Test
	public void anEndpointOfAnotherZoneIsUsedWhenTheLocalZoneIsBusier() {
		this.endpoints.eligible("s", Optional.empty())
			.stream()
			.filter((endpoint) -> endpoint.record().zone().equals("near"))
			.forEach((endpoint) -> IntStream.range(0, 4).forEach((i) -> endpoint.requestStarted()));
		Assert.assertEquals(choose().record().zone(), "far");
	}

}
