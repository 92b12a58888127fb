package org.monsoonvalve.core.process;

import java.util.List;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.Member;
import org.testng.Assert;
import org.testng.annotations.Test;

public class MembershipTests {

	private static final Address ADDRESS = Address.of("127.0.0.1:1");

	private final ManualClock wall = new ManualClock();

	private final Membership membership = Membership.of(NodeId.of("self"), ElapsedClock.of(this.wall));

	private static Member member(String id, long started, long heartbeat, boolean issuer) {
		return new Member(id, "a", "entry", ADDRESS, ADDRESS, started, heartbeat, 0, 0, false, issuer);
	}

	@Test
	public void doesNotKeepAMemberLiveForARepeatedHeartbeat() {
		this.membership.merge(List.of(member("m1", 1, 1, false)));
		this.wall.advance(10_001);
		this.membership.merge(List.of(member("m1", 1, 1, false)));
		Assert.assertTrue(this.membership.live().stream().noneMatch((member) -> member.id().equals("m1")));
	}

	@Test
	public void keepsTheLatestHeartbeatOfTheLatestStart() {
		this.membership.merge(List.of(member("m2", 1, 9, false), member("m2", 1, 3, false)));
		Assert.assertEquals(heartbeat("m2"), 9);
		this.membership.merge(List.of(member("m2", 2, 1, false)));
		Assert.assertEquals(heartbeat("m2"), 1);
	}

	@Test
	public void doesNotContainThisProcess() {
		this.membership.merge(List.of(member("self", 1, 1, false)));
		Assert.assertTrue(this.membership.live().stream().noneMatch((member) -> member.id().equals("self")));
	}

	@Test
	public void findsTheSlotIssuerOfAnAvailabilityZone() {
		this.membership.merge(List.of(member("m3", 1, 1, true)));
		Assert.assertTrue(this.membership.slotIssuer("a").isPresent());
		Assert.assertTrue(this.membership.slotIssuer("b").isEmpty());
	}

	private long heartbeat(String id) {
		return this.membership.live()
			.stream()
			.filter((member) -> member.id().equals(id))
			.mapToLong(Member::heartbeat)
			.sum();
	}

}
