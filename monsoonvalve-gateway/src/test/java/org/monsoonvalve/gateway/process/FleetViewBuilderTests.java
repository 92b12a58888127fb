package org.monsoonvalve.gateway.process;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.gateway.version.FleetView;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class FleetViewBuilderTests {

	private static final int ENDPOINTS = 760;

	private static final int COLLIDING_KEYS = 1 << 15;

	/** Time within which a stored configuration is in force. */
	private static final long CONFIG_APPLY_MILLIS = 2000;

	private final TextDecoder decoder = new TextDecoder();

	private final DecisionLog log = DecisionLog.start(Clock.systemUTC(), "gateway-1", (line) -> {
	});

	private StoreReplica replica;

	private FleetViewBuilder builder;

	private long revision;

	@BeforeMethod
	public void createBuilder() {
		this.replica = new StoreReplica(new RecordRetention(this.decoder, this.log));
		this.builder = new FleetViewBuilder(this.decoder, this.log);
		this.decoder.decodedKeys().clear();
		this.revision = 0;
	}

	private FleetView apply(String key, String value) {
		this.revision++;
		byte[] bytes = (value != null) ? value.getBytes(StandardCharsets.UTF_8) : null;
		StorePosition position = StorePosition.of(this.revision);
		this.replica
			.apply(new WatchableStore.Changes(position, List.of(new WatchableStore.Change(key, position, bytes))), 0);
		return this.builder.build(this.replica);
	}

	// In a large fleet some endpoint changes all the time. The cost of a change must not
	// grow with the number of endpoints that did not change.
	@Test
	public void aChangeInALargeFleetDecodesOneEntryAndSharesWhatDidNotChange() {
		this.revision = ENDPOINTS;
		this.replica.reset(new PlatformStore.Snapshot(this.revision,
				IntStream.range(0, ENDPOINTS)
					.mapToObj((i) -> new PlatformStore.Entry("endpoints/vm-" + i, i + 1, new byte[] { 'e' }))
					.toList()),
				0);
		FleetView first = this.builder.build(this.replica);
		Assert.assertEquals(first.endpoints().size(), ENDPOINTS);
		this.decoder.decodedKeys().clear();
		FleetView second = apply("endpoints/vm-7", "e");
		Assert.assertEquals(this.decoder.decodedKeys(), List.of("endpoints/vm-7"));
		Assert.assertEquals(second.endpointsChangedSince(first), Set.of("vm-7"));
		FleetView third = apply("monsoonvalve/leases/planner-kano-a", "gateway-1");
		Assert.assertSame(third.endpoints(), second.endpoints());
		Assert.assertEquals(third.roleHolders(), Map.of("planner-kano-a", "gateway-1"));
	}

	// Guards against keys of another writer that are chosen to collide.
	@Test(timeOut = CONFIG_APPLY_MILLIS)
	public void keysWithTheSameHashCodeDoNotDelayTheView() {
		this.replica.reset(new PlatformStore.Snapshot(COLLIDING_KEYS,
				IntStream.range(0, COLLIDING_KEYS)
					.mapToObj(
							(i) -> new PlatformStore.Entry("endpoints/" + collidingName(i), i + 1, new byte[] { 'e' }))
					.toList()),
				0);
		Assert.assertEquals(this.builder.build(this.replica).endpoints().size(), COLLIDING_KEYS);
	}

	// "Aa" and "BB" have the same hash code, and so have all names made of them.
	private static String collidingName(int number) {
		return IntStream.range(0, 16)
			.mapToObj((bit) -> ((number >> bit & 1) == 0) ? "Aa" : "BB")
			.collect(Collectors.joining());
	}

	@Test
	public void aSnapshotThatLacksAnEntryRemovesIt() {
		apply("endpoints/vm-1", "e");
		apply("endpoints/vm-2", "e");
		this.revision = 10;
		this.replica.reset(new PlatformStore.Snapshot(10,
				List.of(new PlatformStore.Entry("endpoints/vm-2", 2, new byte[] { 'e' }))), 0);
		FleetView view = this.builder.build(this.replica);
		Assert.assertEquals(view.endpoints().keySet(), Set.of("vm-2"));
		Assert.assertTrue(apply("endpoints/vm-2", null).endpoints().isEmpty());
	}

	@Test
	public void recordsOfABuildThatDoesNotKnowErasAreUnderstood() {
		FleetView view = apply("monsoonvalve/members/m",
				"{\"name\":\"m\",\"zone\":\"z\",\"peerAddress\":\"10.0.0.1:7\",\"registeredRevision\":0}");
		Assert.assertEquals(view.members().get("m").registered(), view.position());
		view = apply("monsoonvalve/groups/z", "{\"lastEpoch\":9,\"groups\":[]}");
		Assert.assertEquals(view.groupsOf("z").groups().lastEpoch(), 9);
		Assert.assertTrue(view.groupsOf("z").stored());
	}

	// An older configuration doesn't replace a newer one, whatever its position is.
	@Test
	public void aConfigurationIsOrderedByItsVersion() {
		apply("config", "c9");
		FleetView view = apply("config", "c7");
		Assert.assertEquals(view.configurationVersion(), 9);
		Assert.assertEquals(this.builder.keptConfigurations(), 1);
		Assert.assertEquals(apply("config", "c10").configurationVersion(), 10);
	}

	// One entry that makes its decoder fail must neither stop the process from following
	// the store nor hide any other entry.
	@Test
	public void anEntryThatCannotBeDecodedLeavesTheOthersInUse() {
		apply("endpoints/vm-1", "e");
		Assert.assertEquals(apply("endpoints/vm-2", "throw").endpoints().keySet(), Set.of("vm-1"));
		Assert.assertTrue(apply("monsoonvalve/members/gateway-2", "{\"zone\":\"kano-a\"}").members().isEmpty());
		Assert.assertTrue(apply("monsoonvalve/groups/kano-a", "{}").groups().isEmpty());
		Assert.assertTrue(apply("monsoonvalve/groups/kano-a", "\u0000").groups().isEmpty());
		Assert.assertEquals(apply("endpoints/vm-2", "e").endpoints().keySet(), Set.of("vm-1", "vm-2"));
	}

	@Test
	public void theLastUsableConfigurationStaysInForce() {
		Assert.assertEquals(apply("config", "c7").configuration().orElseThrow().version(), 7);
		FleetView unusable = apply("config", "unreadable");
		Assert.assertEquals(unusable.configuration().orElseThrow().version(), 7);
		Assert.assertEquals(unusable.configurationPosition(), StorePosition.of(1));
		Assert.assertEquals(apply("config", "c9").configuration().orElseThrow().version(), 9);
	}

}
