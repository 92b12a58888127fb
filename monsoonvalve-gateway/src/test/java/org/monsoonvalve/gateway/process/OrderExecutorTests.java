package org.monsoonvalve.gateway.process;

import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.EngineAddress;
import org.monsoonvalve.gateway.version.GroupMembership;
import org.monsoonvalve.gateway.version.GroupOrder;
import org.monsoonvalve.gateway.version.GroupState;
import org.monsoonvalve.gateway.version.ReplicaGroup;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

public class OrderExecutorTests {

	private static final ReplicaGroup GROUP = ReplicaGroup.of("kano-a-9", 9, "small",
			List.of(new ReplicaGroup.MemberVm("a", 1), new ReplicaGroup.MemberVm("b", 1)));

	private final ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor();

	@AfterMethod
	public void stop() {
		this.control.shutdownNow();
	}

	private static EndpointRecord head(GroupState state, boolean draining, long revision) {
		return new EndpointRecord("a", "engines", new Address("10.0.0.1", 80), "kano-a", 12, draining, 0, 1, "d1",
				List.of(), List.of(), Optional.of(new GroupMembership("kano-a-9", 9, 0, state)),
				StorePosition.of(revision));
	}

	private <T> T onControl(java.util.concurrent.Callable<T> task) throws Exception {
		return this.control.submit(task).get();
	}

	@Test
	public void openingHeadStaysBusyWhenItsRecordChangesForAnotherReason() throws Exception {
		EngineControl engines = new EngineControl() {

			@Override
			public CompletableFuture<GroupOrder.Outcome> order(EngineAddress engine, GroupOrder order,
					long expectedCount) {
				return CompletableFuture.completedFuture(GroupOrder.Outcome.BEGUN);
			}

			@Override
			public CompletableFuture<Long> orderCount(EngineAddress engine, long timeoutMillis) {
				return CompletableFuture.completedFuture(2L);
			}

		};
		OrderExecutor executor = new OrderExecutor(engines, this.control, () -> true,
				DecisionLog.start(Clock.systemUTC(), "gateway-1", (line) -> {
				}));
		EndpointRecord ready = head(GroupState.READY, false, 1);
		// The first submission only requests the engine's count, and the second one sends
		// the order. The empty tasks wait until the completions have run.
		for (int i = 0; i < 2; i++) {
			onControl(() -> {
				executor.submit(ready, GroupOrder.of(GroupOrder.Action.OPEN, GROUP), 0);
				return null;
			});
			onControl(() -> null);
			onControl(() -> null);
		}
		Assert.assertTrue(onControl(() -> executor.busy(head(GroupState.READY, true, 2))),
				"the record shows draining, but the group is still opening");
		Assert.assertFalse(onControl(() -> executor.busy(head(GroupState.OPEN, true, 3))));
	}

}
