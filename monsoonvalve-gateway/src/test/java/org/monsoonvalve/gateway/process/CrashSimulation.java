package org.monsoonvalve.gateway.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.gateway.request.PromptPart;
import org.monsoonvalve.gateway.version.Member;

/**
 * A simulated fleet of processes before endpoints that may crash, with simulated time.
 * Processes decide by {@link CrashEvidence} and {@link FleetGossip}; messages between
 * them take some milliseconds.
 */
final class CrashSimulation {

	private static final String SERVICE = "engines";

	private static final int MAX_ATTEMPTS = 3;

	private static final long RESTART_MILLIS = 3000;

	private static final long SOUND_AFTER_MILLIS = 150;

	private static final long STREAM_MILLIS = 1500;

	private static final long COMPARE_INTERVAL_MILLIS = 1000;

	private static final long NEWS_DELAY_MILLIS = 10;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));

	private final List<Process> processes = new ArrayList<>();

	private final Map<String, Process> processesByName = new HashMap<>();

	private final List<Endpoint> endpoints = new ArrayList<>();

	private final Set<Long> crashingParts = new HashSet<>();

	private final List<Arrival> crashingArrivals = new ArrayList<>();

	private final List<Long> crashMillis = new ArrayList<>();

	private final List<FirstAttempt> soundFirstAttempts = new ArrayList<>();

	private final Set<Long> everBlocked = new LinkedHashSet<>();

	private double lostResponseShare;

	private long nowMillis;

	private long lastSequence;

	private long lastIncarnation;

	private long lastRequest;

	CrashSimulation(long seed, int processCount, int endpointCount) {
		this.random = new Random(seed);
		List<Member> members = IntStream.range(0, processCount)
			.mapToObj((i) -> Member.of("edge-" + i, "zone-" + i % 3, new Address("10.0.0." + i, 1)))
			.toList();
		members.forEach((member) -> this.processes.add(new Process(member)));
		this.processes.forEach((process) -> this.processesByName.put(process.member.name(), process));
		IntStream.range(0, endpointCount).forEach((i) -> this.endpoints.add(new Endpoint("10.1.0." + i + ":1", i % 3)));
		this.processes.forEach((process) -> process.start(members));
	}

	void crashOn(long part) {
		this.crashingParts.add(part);
	}

	void cure() {
		this.crashingParts.clear();
	}

	void loseResponses(double share) {
		this.lostResponseShare = share;
	}

	long nowMillis() {
		return this.nowMillis;
	}

	Process process(int number) {
		return this.processes.get(number);
	}

	int processCount() {
		return this.processes.size();
	}

	Set<Long> everBlocked() {
		return this.everBlocked;
	}

	List<Long> crashMillis() {
		return this.crashMillis;
	}

	// Counts the requests with crashing parts that processes in touch sent after a time.
	long crashingArrivalsAfter(long millis, long windowMillis) {
		return this.crashingArrivals.stream()
			.filter((arrival) -> arrival.sentMillis() > millis
					&& arrival.sentMillis() - arrival.undisturbedSinceMillis() > windowMillis)
			.count();
	}

	double soundFirstAttemptShare(long fromMillis, long toMillis) {
		return this.soundFirstAttempts.stream()
			.filter((attempt) -> attempt.sentMillis() >= fromMillis && attempt.sentMillis() < toMillis)
			.mapToInt((attempt) -> attempt.admitted() ? 1 : 0)
			.average()
			.orElse(1);
	}

	// Sends requests at random processes, evenly over time.
	void load(long fromMillis, long toMillis, double perSecond, Function<Random, List<Long>> prompts) {
		long count = Math.round((toMillis - fromMillis) * perSecond / 1000);
		for (long i = 0; i < count; i++) {
			at(fromMillis + this.random.nextLong(toMillis - fromMillis), () -> {
				Process process = this.processes.get(this.random.nextInt(this.processes.size()));
				List<PromptPart> parts = prompts.apply(this.random).stream().map(PromptPart::new).toList();
				if (process.running) {
					process.send(new Request(++this.lastRequest, parts), 1);
				}
			});
		}
	}

	// Ends all endpoints of a zone at once.
	void loseZone(long atMillis, int zone) {
		at(atMillis,
				() -> this.endpoints.stream().filter((endpoint) -> endpoint.zone == zone).forEach(Endpoint::crash));
	}

	// Makes one endpoint crash under every few requests, whatever they are.
	void makeFragile(int endpoint, int requests) {
		this.endpoints.get(endpoint).crashesAfter = requests;
	}

	void restart(long atMillis, int number, long downMillis) {
		at(atMillis, () -> {
			Process process = this.processes.get(number);
			process.running = false;
			process.undisturbedSinceMillis = atMillis + downMillis;
		});
		at(atMillis + downMillis, () -> {
			Process process = this.processes.get(number);
			List<Member> members = this.processes.stream().map((each) -> each.member).toList();
			process.reset();
			process.start(members);
		});
	}

	void cut(long fromMillis, long toMillis, Set<Integer> numbers) {
		at(fromMillis, () -> numbers.forEach((number) -> this.processes.get(number).cutOff = true));
		for (long time = fromMillis; time <= toMillis; time += 100) {
			long current = time;
			at(time, () -> numbers.forEach((number) -> this.processes.get(number).undisturbedSinceMillis = current));
		}
		at(toMillis, () -> numbers.forEach((number) -> this.processes.get(number).cutOff = false));
	}

	void run(long untilMillis) {
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= untilMillis) {
			Event next = this.events.poll();
			this.nowMillis = next.atMillis();
			next.action().run();
		}
		this.nowMillis = untilMillis;
	}

	void at(long millis, Runnable action) {
		this.events.add(new Event(Math.max(millis, this.nowMillis), ++this.lastSequence, action));
	}

	private void after(long delayMillis, Runnable action) {
		at(this.nowMillis + delayMillis, action);
	}

	private long latencyMillis() {
		return 2 + this.random.nextInt(6);
	}

	private boolean isCrashing(Request request) {
		return request.parts().stream().anyMatch((part) -> this.crashingParts.contains(part.id()));
	}

	private record Event(long atMillis, long sequence, Runnable action) {

	}

	private record Request(long id, List<PromptPart> parts) {

	}

	private record Arrival(long sentMillis, long undisturbedSinceMillis) {

	}

	private record FirstAttempt(long sentMillis, boolean admitted) {

	}

	/**
	 * An attempt at an endpoint.
	 */
	private static final class Running {

		private final Process process;

		private final Request request;

		private final int attempt;

		private final long sentMillis;

		private boolean sound;

		private boolean ended;

		private Running(Process process, Request request, int attempt, long sentMillis) {
			this.process = process;
			this.request = request;
			this.attempt = attempt;
			this.sentMillis = sentMillis;
		}

	}

	/**
	 * A simulated process.
	 */
	final class Process implements CrashEvidence.Listener {

		private final Member member;

		private FleetGossip gossip;

		private CrashEvidence evidence;

		private boolean running;

		private boolean cutOff;

		private boolean newsScheduled;

		private long undisturbedSinceMillis = -1_000_000;

		private final List<Running> waiting = new ArrayList<>();

		private Process(Member member) {
			this.member = member;
			reset();
		}

		private void reset() {
			this.gossip = new FleetGossip(this.member.name(), this::transmit);
			this.evidence = new CrashEvidence(this.member.name(), () -> CrashSimulation.this.nowMillis, this.gossip,
					this);
			this.gossip.spread(this.evidence,
					new EndpointLimits(this.member.name(), () -> CrashSimulation.this.nowMillis, null));
			this.newsScheduled = false;
			this.waiting.clear();
		}

		private void start(List<Member> members) {
			this.running = true;
			this.gossip.update(members);
			after(CrashSimulation.this.random.nextInt((int) COMPARE_INTERVAL_MILLIS), () -> compare(this.evidence));
		}

		private void compare(CrashEvidence current) {
			if (this.running && current == this.evidence) {
				this.gossip.compare();
				after(COMPARE_INTERVAL_MILLIS, () -> compare(current));
			}
		}

		CrashEvidence evidence() {
			return this.evidence;
		}

		private void transmit(Member peer, PeerFrame frame, Consumer<PeerFrame> onReply) {
			Process target = CrashSimulation.this.processesByName.get(peer.name());
			CrashEvidence receiver = this.evidence;
			after(latencyMillis(), () -> {
				if (target.running && target.cutOff == this.cutOff) {
					PeerFrame reply = target.gossip.handle(frame).orElseThrow();
					after(latencyMillis(), () -> {
						if (this.running && receiver == this.evidence && target.cutOff == this.cutOff) {
							onReply.accept(reply);
						}
					});
				}
			});
		}

		private void send(Request request, int attempt) {
			boolean crashing = isCrashing(request);
			boolean blocked = this.evidence.blockOf(SERVICE, request.parts()).isPresent();
			List<Endpoint> alive = CrashSimulation.this.endpoints.stream()
				.filter((endpoint) -> endpoint.alive)
				.toList();
			if (attempt == 1 && !crashing && !alive.isEmpty()) {
				CrashSimulation.this.soundFirstAttempts.add(new FirstAttempt(CrashSimulation.this.nowMillis, !blocked));
			}
			if (blocked || alive.isEmpty()) {
				return;
			}
			if (crashing) {
				CrashSimulation.this.crashingArrivals
					.add(new Arrival(CrashSimulation.this.nowMillis, this.undisturbedSinceMillis));
			}
			Running sent = new Running(this, request, attempt, CrashSimulation.this.nowMillis);
			this.waiting.add(sent);
			alive.get(CrashSimulation.this.random.nextInt(alive.size())).accept(sent, crashing);
		}

		private void lost(Running attempt, Endpoint endpoint, String incarnation, boolean crashed) {
			this.waiting.remove(attempt);
			if (!this.running || attempt.ended) {
				return;
			}
			attempt.ended = true;
			List<PromptPart> parts = attempt.request.parts();
			boolean repeat = attempt.sound || this.evidence.mayRepeat(SERVICE, parts, attempt.sentMillis);
			if (!attempt.sound
					&& this.evidence.lost(incarnation, endpoint.address, SERVICE, parts, attempt.sentMillis)) {
				CrashEvidence examined = this.evidence;
				after(latencyMillis(), () -> {
					if (crashed) {
						examined.crashed(incarnation);
					}
					else {
						examined.alive(incarnation);
					}
				});
			}
			if (repeat && attempt.attempt < MAX_ATTEMPTS) {
				send(attempt.request, attempt.attempt + 1);
			}
		}

		@Override
		public void news() {
			if (!this.newsScheduled) {
				this.newsScheduled = true;
				CrashEvidence current = this.evidence;
				after(NEWS_DELAY_MILLIS, () -> {
					if (this.running && current == this.evidence) {
						this.newsScheduled = false;
						this.gossip.tellNews();
					}
				});
			}
		}

		@Override
		public void crashed(String endpoint, Collection<PromptPart> suspects) {
		}

		@Override
		public void blocked(PromptBlock block) {
			CrashSimulation.this.everBlocked.add(block.part().part().id());
			List.copyOf(this.waiting)
				.stream()
				.filter((attempt) -> !attempt.sound && attempt.request.parts().contains(block.part().part()))
				.forEach((attempt) -> {
					attempt.ended = true;
					this.waiting.remove(attempt);
				});
		}

		@Override
		public void cleared(PromptBlock block) {
		}

	}

	/**
	 * A simulated endpoint.
	 */
	private final class Endpoint {

		private final String address;

		private final int zone;

		private String incarnation;

		private boolean alive;

		private int crashesAfter = Integer.MAX_VALUE;

		private int begun;

		private final List<Running> attempts = new ArrayList<>();

		private Endpoint(String address, int zone) {
			this.address = address;
			this.zone = zone;
			restart();
		}

		private void restart() {
			this.incarnation = "vm-" + ++CrashSimulation.this.lastIncarnation + "@1";
			this.alive = true;
			this.begun = 0;
		}

		private void accept(Running attempt, boolean crashing) {
			this.attempts.add(attempt);
			String current = this.incarnation;
			after(50 + CrashSimulation.this.random.nextInt(250), () -> begin(attempt, crashing, current));
		}

		private void begin(Running attempt, boolean crashing, String expected) {
			if (!this.incarnation.equals(expected) || !this.alive || attempt.ended) {
				this.attempts.remove(attempt);
				return;
			}
			if (crashing || ++this.begun >= this.crashesAfter) {
				crash();
				return;
			}
			if (CrashSimulation.this.random.nextDouble() < CrashSimulation.this.lostResponseShare) {
				this.attempts.remove(attempt);
				attempt.process.lost(attempt, this, expected, false);
				return;
			}
			after(SOUND_AFTER_MILLIS, () -> {
				if (!attempt.ended && this.alive && this.incarnation.equals(expected)) {
					attempt.sound = true;
					attempt.process.evidence.answered(SERVICE, attempt.request.parts(), attempt.sentMillis);
				}
			});
			after(STREAM_MILLIS, () -> {
				attempt.ended = true;
				this.attempts.remove(attempt);
				attempt.process.waiting.remove(attempt);
			});
		}

		private void crash() {
			if (!this.alive) {
				return;
			}
			this.alive = false;
			CrashSimulation.this.crashMillis.add(CrashSimulation.this.nowMillis);
			String ended = this.incarnation;
			List<Running> lost = List.copyOf(this.attempts);
			this.attempts.clear();
			lost.forEach((attempt) -> after(1, () -> attempt.process.lost(attempt, this, ended, true)));
			after(RESTART_MILLIS, this::restart);
		}

	}

}
