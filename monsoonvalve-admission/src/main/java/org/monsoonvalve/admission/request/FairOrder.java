package org.monsoonvalve.admission.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The order of waiting requests: by urgency, those that can be in time first, workspaces
 * in turn, among the requests of a workspace those whose size has been served least often
 * in proportion to its arrivals, oldest first. Requests with long prompts can wait for a
 * shorter time than others and would be refused more often without the rule on sizes.
 *
 * @author monsoonvalve maintainers
 */
final class FairOrder {

	/** Flows in memory from which on those without waiting requests are forgotten. */
	private static final int MAX_IDLE_FLOWS = 256;

	/**
	 * Turns that callers who left can cost their workspace at most, so that the callers
	 * who stay are not shut out.
	 */
	private static final double MAX_CHARGED_TURNS = 4;

	private static final Comparator<QueuedRequest> OLDEST_FIRST = Comparator
		.comparingLong((request) -> request.limits().startMillis());

	private final Map<FlowKey, Flow> flows = new HashMap<>();

	/** The turn of the request placed last, by urgency. */
	private final Map<Urgency, Double> turns = new HashMap<>();

	void arrived(QueuedRequest request) {
		if (this.flows.size() > MAX_IDLE_FLOWS) {
			this.flows.values().removeIf((flow) -> flow.waiting == 0);
		}
		Flow flow = flow(request);
		if (flow.waiting == 0) {
			flow.turn = Math.max(flow.turn, this.turns.getOrDefault(request.urgency(), 0.0));
		}
		flow.waiting++;
		flow.sizes.computeIfAbsent(sizeClass(request), (absent) -> new SizeCounts()).arrived++;
		flow.discountOld();
	}

	// A caller that leaves and returns at once would trade a late position for one in
	// time, so a departure takes the workspace's turn as a place does.
	void left(QueuedRequest request, QueueExit reason) {
		Flow flow = flow(request);
		flow.waiting--;
		SizeCounts counts = flow.sizes.computeIfAbsent(sizeClass(request), (absent) -> new SizeCounts());
		switch (reason) {
			case PLACED -> {
				counts.served++;
				this.turns.merge(request.urgency(), flow.turn, Math::max);
				flow.turn++;
			}
			case CALLER_GONE -> {
				counts.arrived = Math.max(0, counts.arrived - 1);
				double maxTurn = this.turns.getOrDefault(request.urgency(), 0.0) + MAX_CHARGED_TURNS;
				flow.turn = Math.max(flow.turn, Math.min(flow.turn + 1, maxTurn));
			}
			default -> {
				// Refusals lower the share of this size that was served.
			}
		}
	}

	private Flow flow(QueuedRequest request) {
		return this.flows.computeIfAbsent(new FlowKey(request.urgency(), request.workspace()), (absent) -> new Flow());
	}

	private static int sizeClass(QueuedRequest request) {
		return Long.SIZE - Long.numberOfLeadingZeros(request.size().memoryTokens());
	}

	/**
	 * Returns waiting requests in the order in which they get places.
	 * @param <E> the type of the entries
	 * @param entries the entries of the queue, those that were added first before others
	 * @param request returns the request of an entry
	 * @param nowMillis the time in milliseconds
	 * @return the entries in order
	 */
	<E> List<E> order(List<E> entries, Function<E, QueuedRequest> request, long nowMillis) {
		if (entries.size() < 2) {
			return entries;
		}
		Map<Rank, List<E>> byRank = new TreeMap<>();
		entries.stream()
			.sorted(Comparator.comparing(request, OLDEST_FIRST))
			.forEach((entry) -> byRank
				.computeIfAbsent(Rank.of(request.apply(entry), nowMillis), (absent) -> new ArrayList<>())
				.add(entry));
		List<E> ordered = new ArrayList<>(entries.size());
		byRank.values().forEach((equal) -> ordered.addAll(inTurn(equal, request)));
		return ordered;
	}

	private <E> List<E> inTurn(List<E> oldestFirst, Function<E, QueuedRequest> request) {
		Map<String, FlowTurns<E>> byWorkspace = new HashMap<>();
		int age = 0;
		for (E entry : oldestFirst) {
			QueuedRequest queued = request.apply(entry);
			Flow flow = flow(queued);
			byWorkspace.computeIfAbsent(queued.workspace(), (absent) -> new FlowTurns<>(flow))
				.add(sizeClass(queued), new Aged<>(entry, age++));
		}
		List<E> ordered = new ArrayList<>(oldestFirst.size());
		while (ordered.size() < oldestFirst.size()) {
			FlowTurns<E> next = Collections.min(byWorkspace.values(), FlowTurns.order());
			ordered.add(next.next());
			if (next.isEmpty()) {
				byWorkspace.values().remove(next);
			}
		}
		return ordered;
	}

	private record FlowKey(Urgency urgency, String workspace) {

	}

	private record Rank(Urgency urgency, boolean late) implements Comparable<Rank> {

		private static final Comparator<Rank> ORDER = Comparator.comparing(Rank::urgency).thenComparing(Rank::late);

		private static Rank of(QueuedRequest request, long nowMillis) {
			return new Rank(request.urgency(), request.late(nowMillis));
		}

		@Override
		public int compareTo(Rank other) {
			return ORDER.compare(this, other);
		}

	}

	/**
	 * A waiting request and its place in the order of age.
	 *
	 * @param <E> the type of the entry
	 */
	private record Aged<E>(E entry, int age) {

	}

	/**
	 * The requests of one urgency and workspace.
	 */
	private static final class Flow {

		/** Arrivals after which earlier ones count by half. */
		private static final double MAX_COUNTED_ARRIVALS = 64;

		private double turn;

		private int waiting;

		private final Map<Integer, SizeCounts> sizes = new HashMap<>();

		private void discountOld() {
			if (this.sizes.values().stream().mapToDouble((counts) -> counts.arrived).sum() > MAX_COUNTED_ARRIVALS) {
				this.sizes.values().forEach(SizeCounts::halve);
			}
		}

	}

	/**
	 * How many requests of a size arrived and were served.
	 */
	private static final class SizeCounts {

		private double arrived;

		private double served;

		private void halve() {
			this.arrived /= 2;
			this.served /= 2;
		}

	}

	/**
	 * The turns that a flow's waiting requests will get if there are enough places.
	 *
	 * @param <E> the type of the entries
	 */
	private static final class FlowTurns<E> {

		private final Map<Integer, SizeTurns<E>> sizes = new HashMap<>();

		private final Flow flow;

		private double turn;

		private SizeTurns<E> nextSize;

		private FlowTurns(Flow flow) {
			this.flow = flow;
			this.turn = flow.turn;
		}

		private static <E> Comparator<FlowTurns<E>> order() {
			return Comparator.<FlowTurns<E>>comparingDouble((turns) -> turns.turn)
				.thenComparingInt((turns) -> turns.nextSize().oldestAge());
		}

		private void add(int sizeClass, Aged<E> entry) {
			this.sizes.computeIfAbsent(sizeClass, (absent) -> SizeTurns.of(this.flow.sizes.get(sizeClass))).add(entry);
		}

		private boolean isEmpty() {
			return this.sizes.isEmpty();
		}

		private SizeTurns<E> nextSize() {
			if (this.nextSize == null) {
				this.nextSize = Collections.min(this.sizes.values(), SizeTurns.order());
			}
			return this.nextSize;
		}

		private E next() {
			E entry = nextSize().next();
			if (this.nextSize.isEmpty()) {
				this.sizes.values().remove(this.nextSize);
			}
			this.nextSize = null;
			this.turn++;
			return entry;
		}

	}

	/**
	 * The turns of a flow's waiting requests of one size.
	 *
	 * @param <E> the type of the entries
	 */
	private static final class SizeTurns<E> {

		private final Deque<Aged<E>> waiting = new ArrayDeque<>();

		private final double arrived;

		private double served;

		private SizeTurns(double arrived, double served) {
			this.arrived = arrived;
			this.served = served;
		}

		private static <E> Comparator<SizeTurns<E>> order() {
			return Comparator.<SizeTurns<E>>comparingDouble(SizeTurns::servedShare)
				.thenComparingInt(SizeTurns::oldestAge);
		}

		private static <E> SizeTurns<E> of(SizeCounts counts) {
			return new SizeTurns<>(Math.max(1, counts.arrived), counts.served);
		}

		private void add(Aged<E> entry) {
			this.waiting.addLast(entry);
		}

		private boolean isEmpty() {
			return this.waiting.isEmpty();
		}

		private double servedShare() {
			return this.served / this.arrived;
		}

		private int oldestAge() {
			return this.waiting.getFirst().age();
		}

		private E next() {
			this.served++;
			return this.waiting.removeFirst().entry();
		}

	}

}
