package org.monsoonvalve.scenarios.process;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

import org.monsoonvalve.core.version.GroupPolicy;

/**
 * Compares group policies on the same seeded events: the pure plan on a paused clock.
 *
 * @author monsoonvalve maintainers
 */
final class PolicyBench {

	private PolicyBench() {
	}

	static void run(int seeds, int days, int vms) {
		System.out
			.println("policy              group downtime (group-s/day)   stranded accelerators (accelerator-s/day)");
		List<GroupPolicy> policies = List.of(GroupPolicy.BASELINE, GroupPolicy.DOWNTIME_FIRST,
				GroupPolicy.ACCELERATORS_FIRST);
		double[][] downtime = new double[policies.size()][];
		double[][] stranded = new double[policies.size()][];
		for (int i = 0; i < policies.size(); i++) {
			GroupPolicy policy = policies.get(i);
			List<PolicyTrial.Outcome> outcomes = IntStream.range(0, seeds)
				.parallel()
				.mapToObj((seed) -> PolicyTrial.run(policy, seed, days, vms))
				.toList();
			downtime[i] = outcomes.stream().mapToDouble(PolicyTrial.Outcome::downtimePerDay).toArray();
			stranded[i] = outcomes.stream().mapToDouble(PolicyTrial.Outcome::strandedPerDay).toArray();
			System.out.printf(Locale.ROOT, "%-19s mean %8.0f (%6.0f to %6.0f)   mean %9.0f (%8.0f to %8.0f)%n",
					policy.label(), mean(downtime[i]), least(downtime[i]), most(downtime[i]), mean(stranded[i]),
					least(stranded[i]), most(stranded[i]));
		}
		System.out.printf("downtime-first has less group downtime than the baseline in %d of %d seeds%n",
				wins(downtime[1], downtime[0]), seeds);
		System.out.printf("accelerators-first strands fewer accelerators than the baseline in %d of %d seeds%n",
				wins(stranded[2], stranded[0]), seeds);
	}

	private static long wins(double[] own, double[] other) {
		return IntStream.range(0, own.length).filter((seed) -> own[seed] < other[seed]).count();
	}

	private static double mean(double[] values) {
		return Arrays.stream(values).average().orElse(0);
	}

	private static double least(double[] values) {
		return Arrays.stream(values).min().orElse(0);
	}

	private static double most(double[] values) {
		return Arrays.stream(values).max().orElse(0);
	}

}
