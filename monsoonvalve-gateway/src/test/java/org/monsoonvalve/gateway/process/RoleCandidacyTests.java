package org.monsoonvalve.gateway.process;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.gateway.version.Member;
import org.testng.Assert;
import org.testng.annotations.Test;

public class RoleCandidacyTests {

	private static final int PROCESSES = 95;

	private static final List<Member> MEMBERS = IntStream.range(0, PROCESSES)
		.mapToObj((i) -> new Member(name(i), "kano-a", new Address("10.0.0.1", 1), StorePosition.of(i)))
		.toList();

	private static String name(int index) {
		return "gateway-%03d".formatted(index);
	}

	private static long candidates(List<RoleCandidacy> candidacies, long nowMillis) {
		return candidacies.stream().filter((candidacy) -> candidacy.mayAcquire(true, MEMBERS, nowMillis)).count();
	}

	// After a power loss all processes find all roles vacant at the same time.
	@Test
	public void fewProcessesOfALargeFleetTryToAcquireAVacantRoleAndAllOfThemInTheEnd() {
		List<RoleCandidacy> candidacies = IntStream.range(0, PROCESSES)
			.mapToObj((i) -> new RoleCandidacy("planner-kano-a", name(i)))
			.toList();
		Assert.assertEquals(candidates(candidacies, 5000), RoleCandidacy.FIRST_CANDIDATES);
		Assert.assertEquals(candidates(candidacies, 5000 + RoleCandidacy.WIDEN_MILLIS),
				2 * RoleCandidacy.FIRST_CANDIDATES);
		Assert.assertEquals(candidates(candidacies, 5000 + 6 * RoleCandidacy.WIDEN_MILLIS), PROCESSES);
	}

	@Test
	public void differentRolesHaveDifferentFirstCandidates() {
		Set<String> first = new HashSet<>();
		for (String role : List.of("planner-kano-a", "planner-katsina-b", "planner-sokoto-c")) {
			MEMBERS.stream()
				.map(Member::name)
				.filter((name) -> new RoleCandidacy(role, name).mayAcquire(true, MEMBERS, 0))
				.forEach(first::add);
		}
		Assert.assertTrue(first.size() > 2 * RoleCandidacy.FIRST_CANDIDATES, first.toString());
	}

	@Test
	public void aHeldRoleStartsTheWaitAnew() {
		String last = MEMBERS.stream()
			.map(Member::name)
			.filter((name) -> !new RoleCandidacy("planner-kano-a", name).mayAcquire(true, MEMBERS, 0))
			.findFirst()
			.orElseThrow();
		RoleCandidacy candidacy = new RoleCandidacy("planner-kano-a", last);
		Assert.assertFalse(candidacy.mayAcquire(true, MEMBERS, 0));
		Assert.assertTrue(candidacy.mayAcquire(true, MEMBERS, 100_000));
		Assert.assertFalse(candidacy.mayAcquire(false, MEMBERS, 100_100));
		Assert.assertFalse(candidacy.mayAcquire(true, MEMBERS, 100_200));
	}

}
