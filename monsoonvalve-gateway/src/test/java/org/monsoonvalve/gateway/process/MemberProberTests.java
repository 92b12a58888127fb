package org.monsoonvalve.gateway.process;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.EngineAddress;
import org.monsoonvalve.gateway.version.GroupMembership;
import org.monsoonvalve.gateway.version.GroupOrder;
import org.monsoonvalve.gateway.version.GroupState;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class MemberProberTests {

	private final AtomicLong nowMillis = new AtomicLong();

	private final List<Probe> probes = new ArrayList<>();

	private MemberProber prober;

	@BeforeMethod
	public void createProber() {
		this.nowMillis.set(10_000);
		this.probes.clear();
		EngineControl engines = new EngineControl() {

			@Override
			public CompletableFuture<GroupOrder.Outcome> order(EngineAddress engine, GroupOrder order,
					long expectedCount) {
				throw new AssertionError("a probe must not send orders");
			}

			@Override
			public CompletableFuture<Long> orderCount(EngineAddress engine, long timeoutMillis) {
				Probe probe = new Probe(engine.id(), new CompletableFuture<>());
				MemberProberTests.this.probes.add(probe);
				return probe.answer();
			}

		};
		this.prober = new MemberProber(engines, Runnable::run, this.nowMillis::get,
				DecisionLog.start(Clock.systemUTC(), "gateway-1", (line) -> {
				}));
	}

	private static EndpointRecord vm(String id) {
		return new EndpointRecord(id, "engines", new Address("10.0.0.1", 80), "kano-a", 12, false, 0, 1, "d1",
				List.of(), List.of(), Optional.of(new GroupMembership("kano-a-9", 9, 0, GroupState.OPEN)),
				StorePosition.of(1));
	}

	private void timeOutOldestProbe() {
		this.nowMillis.addAndGet(MemberProber.PROBE_TIMEOUT_MILLIS);
		this.probes.remove(0)
			.answer()
			.completeExceptionally(new ServingException(FailureCode.UNREACHABLE, "no answer came"));
	}

	@Test
	public void memberIsMissingAfterTwoUnansweredProbesWhileItsRecordExists() {
		EndpointRecord lost = vm("b");
		this.prober.probe(List.of(vm("a"), lost));
		this.probes.remove(0).answer().complete(3L);
		timeOutOldestProbe();
		Assert.assertFalse(this.prober.isMissing(lost), "one answer may be lost");
		timeOutOldestProbe();
		Assert.assertTrue(this.prober.isMissing(lost));
		Assert.assertFalse(this.prober.isMissing(vm("a")));
		Assert.assertEquals(this.prober.silentSinceMillis(lost.incarnation()), OptionalLong.of(10_000));
		Assert.assertTrue(this.probes.isEmpty(), "no third probe is sent");
	}

	@Test
	public void missingMemberIsProbedAgainAndComesBackOnceItAnswers() {
		EndpointRecord lost = vm("b");
		this.prober.probe(List.of(lost));
		timeOutOldestProbe();
		timeOutOldestProbe();
		this.prober.step(List.of(lost), Set.of());
		Assert.assertTrue(this.probes.isEmpty(), "the last probe is recent");
		this.nowMillis.addAndGet(MemberProber.PROBE_INTERVAL_MILLIS);
		this.prober.step(List.of(lost), Set.of());
		this.probes.remove(0).answer().complete(3L);
		Assert.assertFalse(this.prober.isMissing(lost));
		Assert.assertEquals(this.prober.silentSinceMillis(lost.incarnation()), OptionalLong.empty());
	}

	@Test
	public void manyStalledRequestsOfAGroupCauseOneProbePerMember() {
		for (int i = 0; i < 50; i++) {
			this.prober.probe(List.of(vm("a"), vm("b")));
		}
		Assert.assertEquals(this.probes.size(), 2);
	}

	@Test
	public void probeStateOfAHeadOutlivesItsRecord() {
		EndpointRecord head = vm("a");
		this.prober.probe(List.of(head));
		timeOutOldestProbe();
		timeOutOldestProbe();
		this.prober.step(List.of(), Set.of(head.incarnation()));
		Assert.assertTrue(this.prober.silentSinceMillis(head.incarnation()).isPresent());
		this.prober.step(List.of(), Set.of());
		Assert.assertTrue(this.prober.silentSinceMillis(head.incarnation()).isEmpty());
	}

	private record Probe(String endpoint, CompletableFuture<Long> answer) {

	}

}
