package org.monsoonvalve.gateway.process;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import org.awaitility.Awaitility;
import org.monsoonvalve.admission.request.WorkSize;
import org.monsoonvalve.admission.version.EngineTimings;
import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StoreLease;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.ElapsedClock;
import org.monsoonvalve.core.process.LeaseElection;
import org.monsoonvalve.core.process.NodeId;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.version.ClientLimits;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.EngineAddress;
import org.monsoonvalve.gateway.version.EngineProfile;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.GroupMembership;
import org.monsoonvalve.gateway.version.GroupOrder;
import org.monsoonvalve.gateway.version.GroupState;
import org.monsoonvalve.gateway.version.ModelProfile;
import org.monsoonvalve.gateway.version.ReplicaGroup;
import org.monsoonvalve.gateway.version.ServiceProfile;
import org.monsoonvalve.gateway.version.ServingConfiguration;
import org.monsoonvalve.gateway.version.ZoneGroups;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ZonePlannerTests {

	private static final String ZONE = "kano-a";

	private static final Address ADDRESS = new Address("10.0.0.1", 80);

	private static final ServingConfiguration CONFIGURATION = ServingConfiguration.of(1, List.of(),
			List.of(new ServiceProfile("engines", "/health", 100, 0, 0,
					Optional.of(new EngineProfile(new EngineTimings(12, 1_300_000, 7.8, 0.13, 0, 5, 45.9, 0, 2048, 200),
							List.of(new ModelProfile("small", 2, 1, 1, 12_000, 1100)), 14, 21, 300,
							new WorkSize(900, 150), List.of())))),
			Map.of(), true, new ClientLimits(16384, 100_000, 3000, 15_000));

	private final List<GroupOrder.Action> orders = new CopyOnWriteArrayList<>();

	private ScheduledExecutorService control;

	private LostAnswersStore store;

	private ZonePlanner planner;

	@BeforeMethod
	public void start() {
		this.control = Executors.newSingleThreadScheduledExecutor();
		this.store = new LostAnswersStore();
		this.store.groups(oneGroup());
		this.orders.clear();
	}

	@AfterMethod
	public void stop() {
		this.control.shutdownNow();
	}

	private void startPlanner() {
		DecisionLog log = DecisionLog.start(Clock.systemUTC(), "gateway-1", (line) -> {
		});
		LeaseElection election = LeaseElection.of(this.store, ElapsedClock.system(), StoreKeys.plannerRole(ZONE),
				NodeId.of("gateway-1"), (failure) -> {
				});
		GatewaySettings settings = new GatewaySettings("gateway-1", ZONE, List.of(ZONE), null, null, null, null, null,
				new GatewaySettings.Bounds(8000, 0.2, 10_000, 100, 1.5, 5, 5000), true);
		this.planner = new ZonePlanner(ZONE, settings, this.store, new RecordedOrders(), election,
				new DemandDivider(ZONE, new MetricRegistry(), log, System::currentTimeMillis), this.control, log);
		election.tick(true);
		Assert.assertTrue(election.held());
	}

	private static ZoneGroups oneGroup() {
		return new ZoneGroups(1,
				List.of(new ReplicaGroup(ZONE + "-1", 1, "small",
						List.of(new ReplicaGroup.MemberVm("a", 1), new ReplicaGroup.MemberVm("b", 1)), "", ADDRESS)),
				1);
	}

	private static EndpointRecord member(String id, int rank) {
		ReplicaGroup group = oneGroup().groups().get(0);
		return new EndpointRecord(id, "engines", ADDRESS, ZONE, 12, false, 0, 1, "d1", List.of("small"),
				List.of("small"), Optional.of(new GroupMembership(group.name(), group.epoch(), rank, GroupState.READY)),
				StorePosition.of(1));
	}

	private FleetView view(EndpointRecord... records) {
		Map<String, EndpointRecord> endpoints = new HashMap<>();
		Stream.of(records).forEach((record) -> endpoints.put(record.id(), record));
		return new FleetView(StorePosition.of(this.store.revision), Optional.of(CONFIGURATION), StorePosition.of(1),
				Set.of(), endpoints, Map.of(), this.store.planned(), Map.of());
	}

	private void update(FleetView view) throws Exception {
		this.control.submit(() -> this.planner.update(view)).get();
		this.control.submit(() -> {
		}).get();
	}

	private void stepUntilOrdered(GroupOrder.Action action) {
		Awaitility.await().atMost(5, TimeUnit.SECONDS).until(() -> {
			update(view(member("a", 0), member("b", 1)));
			return this.orders.contains(action);
		});
	}

	// Guards against a write that counts as failed as it got no answer: the planner
	// opened a group again, and the store then did the write that had removed it.
	@Test
	public void noOrderIsSentWhileAWriteWithoutAnswerMayTakeEffect() throws Exception {
		startPlanner();
		update(view());
		this.store.loseAnswers(Integer.MAX_VALUE);
		update(view(member("a", 0)));
		Assert.assertEquals(this.store.late.size(), 1, "the group that lacks a member is removed");
		for (int step = 0; step < 3; step++) {
			update(view(member("a", 0), member("b", 1)));
		}
		Assert.assertFalse(this.orders.contains(GroupOrder.Action.OPEN), "the write may still take effect");
		this.store.loseAnswers(0);
		stepUntilOrdered(GroupOrder.Action.OPEN);
		this.store.late.forEach(Runnable::run);
		Assert.assertEquals(this.store.planned().get(ZONE).groups().groups().size(), 1,
				"the late write no longer meets its condition");
	}

	// The last holder of the role may have left a write without an answer, too.
	@Test
	public void aNewPlannerWritesTheGroupsBeforeItsFirstOrder() throws Exception {
		long revision = this.store.groupsRevision;
		startPlanner();
		this.store.loseAnswers(1);
		update(view(member("a", 0), member("b", 1)));
		Assert.assertEquals(this.orders, List.of());
		stepUntilOrdered(GroupOrder.Action.OPEN);
		Assert.assertNotEquals(this.store.groupsRevision, revision);
	}

	/**
	 * A store that carries out some writes of groups late and without an answer.
	 */
	private static final class LostAnswersStore implements PlatformStore {

		private final List<Runnable> late = new ArrayList<>();

		private int answersToLose;

		private long revision = 10;

		private long groupsRevision;

		private byte[] groups;

		private synchronized void groups(ZoneGroups value) {
			this.groups = Codec.JSON.encode(value);
			this.groupsRevision = ++this.revision;
		}

		private synchronized void loseAnswers(int count) {
			this.answersToLose = count;
		}

		private synchronized Map<String, FleetView.PlannedGroups> planned() {
			return Map.of(ZONE, new FleetView.PlannedGroups(Codec.JSON.decode(this.groups, ZoneGroups.class),
					StorePosition.of(this.groupsRevision)));
		}

		private synchronized WriteResult commit(StorePosition expected, byte[] value) {
			if (expected.revision() != this.groupsRevision) {
				return new WriteResult(false, 0, null);
			}
			this.groups = value;
			this.groupsRevision = ++this.revision;
			return new WriteResult(true, this.revision, null);
		}

		@Override
		public synchronized CompletableFuture<WriteResult> write(String key, StorePosition expected, byte[] value,
				StoreLease lease) {
			if (!key.equals(StoreKeys.GROUPS.key(ZONE))) {
				return CompletableFuture.completedFuture(new WriteResult(true, ++this.revision, null));
			}
			if (this.answersToLose > 0) {
				this.answersToLose--;
				this.late.add(() -> commit(expected, value));
				return CompletableFuture
					.failedFuture(new ServingException(FailureCode.PLATFORM_UNAVAILABLE, "no answer"));
			}
			return CompletableFuture.completedFuture(commit(expected, value));
		}

		@Override
		public CompletableFuture<Snapshot> read(String prefix, long minModRevision) {
			return CompletableFuture.completedFuture(new Snapshot(this.revision, List.of()));
		}

		@Override
		public CompletableFuture<WriteResult> delete(String key, StorePosition expected) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<StoreLease> grantLease(long ttlSeconds) {
			return CompletableFuture.completedFuture(new StoreLease(0, 1));
		}

		@Override
		public CompletableFuture<Boolean> renewLease(StoreLease lease) {
			return CompletableFuture.completedFuture(true);
		}

		@Override
		public CompletableFuture<Void> revokeLease(StoreLease lease) {
			return CompletableFuture.completedFuture(null);
		}

	}

	/**
	 * Engines that begin each order.
	 */
	private final class RecordedOrders implements EngineControl {

		@Override
		public CompletableFuture<GroupOrder.Outcome> order(EngineAddress engine, GroupOrder order, long expectedCount) {
			ZonePlannerTests.this.orders.add(order.action());
			return CompletableFuture.completedFuture(GroupOrder.Outcome.BEGUN);
		}

		@Override
		public CompletableFuture<Long> orderCount(EngineAddress engine, long timeoutMillis) {
			return CompletableFuture.completedFuture(1L);
		}

	}

}
