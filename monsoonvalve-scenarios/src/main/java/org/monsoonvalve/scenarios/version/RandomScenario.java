package org.monsoonvalve.scenarios.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.monsoonvalve.scenarios.process.ClusterSpec;
import org.monsoonvalve.scenarios.request.CallKind;

/**
 * Makes scenarios of the same steps from seeds: faults of all kinds, together and twice.
 *
 * @author monsoonvalve maintainers
 */
public final class RandomScenario {

	private static final int SECONDS = 24;

	private static final int ACTIONS = 9;

	private static final int SERVICES_PER_ZONE = 2;

	private static final int ENGINES_PER_ZONE = 4;

	private final Random random;

	private final List<Step> steps = new ArrayList<>();

	private final List<String> engines = new ArrayList<>();

	private final List<String> services = new ArrayList<>();

	private final List<String> entries = new ArrayList<>();

	private RandomScenario(long seed) {
		this.random = new Random(seed);
	}

	/**
	 * Makes the scenario of a seed.
	 * @param seed the seed
	 * @return the scenario
	 */
	public static Scenario of(long seed) {
		return new RandomScenario(seed).make(seed);
	}

	private Scenario make(long seed) {
		List<String> zones = List.of("a", "b");
		for (String zone : zones) {
			for (int i = 1; i <= ENGINES_PER_ZONE; i++) {
				this.engines.add(zone + "-engine-" + i);
			}
			for (int i = 1; i <= SERVICES_PER_ZONE; i++) {
				this.services.add(zone + "-service-" + i);
				this.entries.add(zone + "-entry-" + i);
			}
		}
		boolean cold = this.random.nextBoolean();
		ClusterSpec spec = new ClusterSpec(zones, 2, 2, ENGINES_PER_ZONE, SERVICES_PER_ZONE, 2,
				this.random.nextBoolean(), cold ? 6 : 0, 10, 10, 64, "accelerators-first", "");
		this.steps.add(new Step.Load("questions", CallKind.CHAT, 20, SECONDS, null, 10, true, false, false));
		this.steps.add(new Step.Load("whole", CallKind.CHAT, 5, SECONDS, null, 10, false, false, false));
		this.steps.add(new Step.Load("bookings", CallKind.BOOKING, 20, SECONDS, null, 0, false, false, true));
		this.steps.add(new Step.Load("unkeyed", CallKind.BOOKING, 10, SECONDS, null, 0, false, false, false));
		this.steps.add(new Step.Load("reads", CallKind.READ, 20, SECONDS, null, 0, false, false, false));
		pause(1500);
		for (int i = 0; i < ACTIONS; i++) {
			act(this.random.nextInt(15));
			pause(500 + this.random.nextInt(1000));
		}
		this.steps.add(new Step.Finish());
		return new Scenario("seed-" + seed, List.of(), "Faults of all kinds, together and twice.", "", spec,
				List.copyOf(this.steps));
	}

	private void act(int choice) {
		switch (choice) {
			case 0 -> restart(any(this.engines));
			case 1 -> restart(any(this.services));
			case 2 -> restart(any(this.entries));
			case 3 -> {
				String entry = any(this.entries);
				this.steps.add(new Step.Act(null, entry, null, null, null));
				this.steps.add(new Step.Act(null, null, entry, null, null));
			}
			case 4 -> freeze(any(this.entries));
			case 5 -> freeze(any(this.engines));
			case 6 -> freeze(zone() + "-controller-1");
			case 7 -> fault(any(this.engines), "silence", 1);
			case 8 -> fault(any(this.engines), "break-streams", 3);
			case 9 -> fault(any(this.services), this.random.nextBoolean() ? "reset-after" : "reset-before", 4);
			case 10 -> fault(any(this.services), this.random.nextBoolean() ? "truncate" : "silence", 2);
			case 11 -> {
				fault("platform", "outage", 1);
				pause(500 + this.random.nextInt(4000));
				fault("platform", "outage", 0);
			}
			case 12 -> {
				fault("platform", "lose-answers", 2);
				fault("platform", "lapse-leases", 1);
			}
			case 13 -> {
				String zone = zone();
				this.steps.add(new Step.Service(zone, null, null, null));
				pause(3500);
				this.steps.add(new Step.Service(null, zone, null, null));
			}
			default -> {
				this.steps.add(new Step.LateOrder(any(this.engines)));
				String service = any(this.services);
				this.steps.add(new Step.Service(null, null, service, null));
				pause(3500);
				this.steps.add(new Step.Service(null, null, null, service));
			}
		}
	}

	private void restart(String process) {
		this.steps.add(new Step.Act(process, null, null, null, null));
		pause(this.random.nextInt(2500));
		this.steps.add(new Step.Act(null, null, process, null, null));
	}

	private void freeze(String process) {
		this.steps.add(new Step.Act(null, null, null, process, null));
		pause(500 + this.random.nextInt(7000));
		this.steps.add(new Step.Act(null, null, null, null, process));
	}

	private void fault(String process, String name, long number) {
		this.steps.add(new Step.Fault(process, name, number));
	}

	private void pause(long millis) {
		this.steps.add(new Step.Pause(millis));
	}

	private String zone() {
		return this.random.nextBoolean() ? "a" : "b";
	}

	private String any(List<String> names) {
		return names.get(this.random.nextInt(names.size()));
	}

}
