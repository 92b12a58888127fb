package org.monsoonvalve.gateway.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.Member;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Fleets of 8, 65 and 95 processes whose endpoints name limits, in simulated time.
 */
public class EndpointLimitsTests {

	/** The users' bound: time after the first naming from which a limit holds. */
	private static final long STABLE_WINDOW_MILLIS = 3000;

	/** The users' bound: the span in which requests are counted. */
	private static final long SPAN_MILLIS = 4000;

	private static final long END_MILLIS = 30_000;

	private static final int ENDPOINTS = 20;

	@DataProvider
	public Object[][] fleets() {
		return IntStream.of(8, 65, 95)
			.boxed()
			.flatMap((processes) -> Stream.of(0.4, 3.0, 12.0).map((perSecond) -> new Object[] { processes, perSecond }))
			.toArray(Object[][]::new);
	}

	private static void assertKept(Simulation simulation, double perSecond) {
		double allowed = 1.5 * perSecond * SPAN_MILLIS / 1000 + 5;
		simulation.arrivals.forEach((endpoint, times) -> {
			long most = times.stream()
				.filter((time) -> time >= STABLE_WINDOW_MILLIS)
				.mapToLong(
						(start) -> times.stream().filter((time) -> time >= start && time < start + SPAN_MILLIS).count())
				.max()
				.orElse(0);
			Assert.assertTrue(most <= allowed, endpoint + " got " + most + " requests, allowed " + allowed);
		});
	}

	// All processes together got an endpoint far more requests than it had named.
	@Test(dataProvider = "fleets")
	public void theSumOverAllProcessesStaysWithinTheLimitsAndUsesThem(int processes, double perSecond) {
		Simulation simulation = new Simulation(processes, perSecond);
		simulation.run(END_MILLIS);
		assertKept(simulation, perSecond);
		double used = simulation.arrivals.values()
			.stream()
			.mapToLong((times) -> times.stream().filter((time) -> time >= STABLE_WINDOW_MILLIS).count())
			.sum();
		double offered = ENDPOINTS * perSecond * (END_MILLIS - STABLE_WINDOW_MILLIS) / 1000;
		Assert.assertTrue(used >= 0.8 * offered, "used " + used + " of " + offered);
	}

	// Processes join and leave, and each one notices at another time.
	@Test(dataProvider = "fleets")
	public void theLimitsHoldWhileProcessesJoinAndLeave(int processes, double perSecond) {
		Simulation simulation = new Simulation(processes, perSecond);
		for (int i = 0; i < 10; i++) {
			simulation.changeMembers(5000 + 2000 * i, (i % 2 == 0) ? processes - 2 : processes);
		}
		simulation.run(END_MILLIS);
		assertKept(simulation, perSecond);
	}

	@Test(dataProvider = "fleets")
	public void aLimitThatIsNoLongerNamedIsForgottenByAll(int processes, double perSecond) {
		Simulation simulation = new Simulation(processes, perSecond);
		simulation.run(END_MILLIS / 2);
		simulation.limit = OptionalDouble.empty();
		simulation.run(END_MILLIS / 2 + 10 * STABLE_WINDOW_MILLIS);
		simulation.processes.forEach((process) -> simulation.endpoints
			.forEach((endpoint) -> Assert.assertTrue(process.limits.mayTake(endpoint))));
	}

	/**
	 * Processes that send each endpoint as much as they may, at most some requests a
	 * second.
	 */
	private static final class Simulation {

		private static final long STEP_MILLIS = 20;

		private static final long ANSWER_MILLIS = 200;

		private static final double REQUESTS_PER_SECOND = 500;

		private final Random random = new Random(1);

		private final PriorityQueue<Event> events = new PriorityQueue<>(
				Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));

		private final List<Process> processes = new ArrayList<>();

		private final Map<String, Process> processesByName = new HashMap<>();

		private final List<EndpointRecord> endpoints;

		private final Map<String, List<Long>> arrivals = new HashMap<>();

		private OptionalDouble limit;

		private long nowMillis;

		private long lastSequence;

		private Simulation(int processCount, double perSecond) {
			this.limit = OptionalDouble.of(perSecond);
			this.endpoints = IntStream.range(0, ENDPOINTS)
				.mapToObj((i) -> new EndpointRecord("vm-" + i, "s", new Address("10.1.0." + i, 1), "zone-" + i % 3, 12,
						false, 0, 1, "", List.of(), List.of(), Optional.empty(), StorePosition.of(1)))
				.toList();
			IntStream.range(0, processCount).forEach((i) -> {
				Process process = new Process(Member.of("edge-" + i, "zone-" + i % 3, new Address("10.0.0." + i, 1)));
				this.processes.add(process);
				this.processesByName.put(process.member.name(), process);
			});
			this.processes.forEach((process) -> process.gossip.update(members(processCount)));
			at(0, this::step);
			for (long time = 0; time < 3 * END_MILLIS; time += 1000) {
				at(time, () -> this.processes.forEach((process) -> process.gossip.compare()));
			}
		}

		private List<Member> members(int count) {
			return this.processes.stream().limit(count).map((process) -> process.member).toList();
		}

		private void changeMembers(long atMillis, int count) {
			at(atMillis, () -> this.processes.stream().skip(count).forEach((process) -> process.running = false));
			at(atMillis, () -> this.processes.stream().limit(count).forEach((process) -> process.running = true));
			this.processes.forEach(
					(process) -> at(atMillis + this.random.nextInt(1000), () -> process.gossip.update(members(count))));
		}

		private void step() {
			int requests = (int) (REQUESTS_PER_SECOND * STEP_MILLIS / 1000);
			for (int i = 0; i < requests; i++) {
				Process process = this.processes.get(this.random.nextInt(this.processes.size()));
				if (process.running) {
					process.send();
				}
			}
			at(this.nowMillis + STEP_MILLIS, this::step);
		}

		private void at(long millis, Runnable action) {
			this.events.add(new Event(millis, ++this.lastSequence, action));
		}

		private void run(long untilMillis) {
			while (this.events.peek().atMillis() <= untilMillis) {
				Event next = this.events.poll();
				this.nowMillis = next.atMillis();
				next.action().run();
			}
		}

		private record Event(long atMillis, long sequence, Runnable action) {

		}

		private final class Process implements EndpointLimits.Listener {

			private final Member member;

			private final FleetGossip gossip;

			private final EndpointLimits limits;

			private boolean running = true;

			private boolean newsScheduled;

			private Process(Member member) {
				this.member = member;
				this.gossip = new FleetGossip(member.name(), this::transmit);
				this.limits = new EndpointLimits(member.name(), () -> Simulation.this.nowMillis, this);
				this.gossip.spread(new CrashEvidence(member.name(), () -> Simulation.this.nowMillis, this.gossip, null),
						this.limits);
			}

			private void transmit(Member peer, PeerFrame frame, Consumer<PeerFrame> onReply) {
				Process target = Simulation.this.processesByName.get(peer.name());
				at(Simulation.this.nowMillis + 2 + Simulation.this.random.nextInt(6), () -> {
					if (target.running) {
						target.gossip.handle(frame);
					}
				});
			}

			private void send() {
				int first = Simulation.this.random.nextInt(ENDPOINTS);
				IntStream.range(0, ENDPOINTS)
					.mapToObj((i) -> Simulation.this.endpoints.get((first + i) % ENDPOINTS))
					.filter(this.limits::mayTake)
					.findFirst()
					.ifPresent((endpoint) -> {
						this.limits.taken(endpoint);
						Simulation.this.arrivals.computeIfAbsent(endpoint.id(), (absent) -> new ArrayList<>())
							.add(Simulation.this.nowMillis);
						at(Simulation.this.nowMillis + ANSWER_MILLIS,
								() -> this.limits.named(endpoint, Simulation.this.limit));
					});
			}

			@Override
			public void news() {
				if (!this.newsScheduled) {
					this.newsScheduled = true;
					at(Simulation.this.nowMillis + 10, () -> {
						this.newsScheduled = false;
						this.gossip.tellNews();
					});
				}
			}

			@Override
			public void changed(String endpoint, OptionalDouble perSecond) {
			}

		}

	}

}
