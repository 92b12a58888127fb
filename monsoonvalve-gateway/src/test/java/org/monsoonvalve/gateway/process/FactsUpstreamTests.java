package org.monsoonvalve.gateway.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.gateway.version.Member;
import org.testng.Assert;
import org.testng.annotations.Test;

public class FactsUpstreamTests {

	private static final List<Member> MEMBERS = Stream.of("a", "b", "c")
		.flatMap((zone) -> IntStream.range(0, 3).mapToObj((i) -> member(zone, i)))
		.toList();

	private static Member member(String zone, int index) {
		return new Member("gateway-" + zone + index, zone,
				new Address("10.0." + (int) zone.charAt(0) + "." + index, 7000),
				StorePosition.of(10 * zone.charAt(0) + index));
	}

	private static Optional<String> select(FactsUpstream upstream, long nowMillis) {
		return upstream.select(MEMBERS, nowMillis).map(Member::name);
	}

	private static FactsUpstream upstreamOf(String zone, int index) {
		return new FactsUpstream(member(zone, index).name(), zone);
	}

	@Test
	public void oneProcessOfTheWholeSystemWatchesTheStore() {
		Assert.assertEquals(select(upstreamOf("a", 0), 0), Optional.empty());
		Assert.assertEquals(select(upstreamOf("a", 2), 0), Optional.of("gateway-a0"));
		Assert.assertEquals(select(upstreamOf("b", 0), 0), Optional.of("gateway-a0"));
		Assert.assertEquals(select(upstreamOf("c", 1), 0), Optional.of("gateway-c0"));
	}

	@Test
	public void aPeerThatFailsToAnswerIsReplacedByTheNextOneForAWhile() {
		FactsUpstream follower = upstreamOf("b", 2);
		follower.failed(member("b", 0).peerAddress(), 1000);
		Assert.assertEquals(select(follower, 1001), Optional.of("gateway-b1"));
		FactsUpstream next = upstreamOf("b", 1);
		next.failed(member("b", 0).peerAddress(), 1000);
		Assert.assertEquals(select(next, 1001), Optional.of("gateway-a0"));
		next.failed(member("a", 0).peerAddress(), 1100);
		Assert.assertEquals(select(next, 1101), Optional.of("gateway-a1"));
		Assert.assertEquals(select(follower, 1000 + FactsUpstream.RETRY_MILLIS), Optional.of("gateway-b0"));
	}

	// Restarts in turn must not move all followers to a process that has just started.
	@Test
	public void aRestartedProcessIsFollowedOnlyAfterAllOthers() {
		List<Member> members = new ArrayList<>(MEMBERS);
		members.set(0, members.get(0).registeredAt(StorePosition.of(10_000)));
		Assert.assertEquals(upstreamOf("b", 0).select(members, 0).map(Member::name), Optional.of("gateway-a1"));
		Assert.assertEquals(upstreamOf("a", 2).select(members, 0).map(Member::name), Optional.of("gateway-a1"));
		Assert.assertEquals(upstreamOf("a", 0).select(members, 0).map(Member::name), Optional.of("gateway-a1"));
		Assert.assertEquals(upstreamOf("a", 1).select(members, 0), Optional.empty());
	}

	// A zone that is cut off from the others has nobody but itself.
	@Test
	public void theReaderOfAZoneThatReachesNoOtherWatchesTheStore() {
		FactsUpstream reader = upstreamOf("b", 0);
		MEMBERS.stream()
			.filter((member) -> !member.zone().equals("b"))
			.forEach((member) -> reader.failed(member.peerAddress(), 0));
		Assert.assertEquals(select(reader, 1), Optional.empty());
	}

}
