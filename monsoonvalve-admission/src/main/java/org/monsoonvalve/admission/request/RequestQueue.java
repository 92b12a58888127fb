package org.monsoonvalve.admission.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.function.Function;

/**
 * The requests for one service and model that wait for a place at an endpoint. Decides on
 * their order, on who leaves without a place and when refused callers shall return.
 * Doesn't know endpoints; not thread-safe. All times are milliseconds of the caller's
 * clock.
 *
 * @param <T> the type of the requests
 * @author monsoonvalve maintainers
 */
public final class RequestQueue<T> {

	/** Reasons that are examined at each request, in this order. */
	private static final List<QueueExit> EXAMINED = List.of(QueueExit.DEADLINE, QueueExit.NO_PLACE_IN_TIME,
			QueueExit.QUEUE_FULL);

	private final DoubleSupplier random;

	private final Map<T, Entry<T>> entries = new LinkedHashMap<>();

	private final FairOrder order = new FairOrder();

	private final PlaceRate places = new PlaceRate();

	private final ReturnTimes returns = new ReturnTimes();

	private RequestQueue(DoubleSupplier random) {
		this.random = random;
	}

	/**
	 * Creates an empty queue.
	 * @param <T> the type of the requests
	 * @param random returns uniform random numbers from 0 (inclusive) to 1 (exclusive)
	 * @return the queue
	 */
	public static <T> RequestQueue<T> of(DoubleSupplier random) {
		return new RequestQueue<>(random);
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number of requests
	 */
	public int length() {
		return this.entries.size();
	}

	/**
	 * Tells whether no request waits.
	 * @return {@code true} if a new request may look for a place by itself
	 */
	public boolean isEmpty() {
		return this.entries.isEmpty();
	}

	/**
	 * Returns the waiting requests in the order in which they were added.
	 * @return a copy
	 */
	public List<T> requests() {
		return List.copyOf(this.entries.keySet());
	}

	/**
	 * Adds a request. A check must follow, in which it may get a place or be refused.
	 * @param request the request, which doesn't wait yet
	 * @param description what is known of it
	 * @param nowMillis the time in milliseconds
	 * @throws IllegalStateException if the request waits already
	 */
	public void add(T request, QueuedRequest description, long nowMillis) {
		if (this.entries.containsKey(request)) {
			throw new IllegalStateException("the request waits already");
		}
		this.places.advance(!isEmpty(), nowMillis);
		this.entries.put(request, new Entry<>(request, description, nowMillis));
		this.order.arrived(description);
	}

	/**
	 * Removes the first request, in order, that finds a place. The order leaves no place
	 * idle: a request that finds none lets the next one look.
	 * @param <P> the type of the places
	 * @param finder finds a place for a request
	 * @param nowMillis the time in milliseconds
	 * @return the request and its place, empty if no request finds one
	 */
	public <P> Optional<Placement<T, P>> takeNext(Function<T, Optional<P>> finder, long nowMillis) {
		// Most checks find no place, and then the order doesn't matter.
		if (this.entries.size() > 1
				&& smallest(nowMillis).stream().noneMatch((entry) -> finder.apply(entry.request()).isPresent())) {
			return Optional.empty();
		}
		List<QueuedRequest> unplaced = new ArrayList<>();
		for (Entry<T> entry : ordered(nowMillis)) {
			QueuedRequest description = entry.description();
			if (fitsNowhere(description, unplaced, nowMillis)) {
				continue;
			}
			Optional<P> place = finder.apply(entry.request());
			if (place.isPresent()) {
				long waitedMillis = leave(entry, QueueExit.PLACED, nowMillis);
				this.places.placed();
				return Optional.of(new Placement<>(entry.request(), place.get(), waitedMillis));
			}
			unplaced.add(description);
		}
		return Optional.empty();
	}

	// Returns requests of which one finds a place if any request of the queue does.
	private List<Entry<T>> smallest(long nowMillis) {
		List<Entry<T>> smallest = new ArrayList<>();
		for (Entry<T> entry : this.entries.values()) {
			QueuedRequest description = entry.description();
			if (!fitsNowhere(description, smallest.stream().map(Entry::description).toList(), nowMillis)) {
				smallest.removeIf((other) -> other.description().fitsNowhereWithout(description, nowMillis));
				smallest.add(entry);
			}
		}
		return smallest;
	}

	private static boolean fitsNowhere(QueuedRequest request, List<QueuedRequest> unplaced, long nowMillis) {
		for (QueuedRequest other : unplaced) {
			if (request.fitsNowhereWithout(other, nowMillis)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Removes the requests that must leave now without a place. To be called after
	 * {@link #takeNext} has found none.
	 * @param nowMillis the time in milliseconds
	 * @return the requests, to be refused
	 */
	public List<Refusal<T>> takeRefused(long nowMillis) {
		this.places.advance(!isEmpty(), nowMillis);
		OptionalDouble interval = this.places.intervalMillis();
		List<Refusal<T>> refused = new ArrayList<>();
		if (allMayStay(interval, nowMillis)) {
			return refused;
		}
		int ahead = 0;
		long bytesAhead = 0;
		for (Entry<T> entry : ordered(nowMillis)) {
			Optional<QueueExit> reason = mustLeave(entry.description(),
					new Outlook(ahead, bytesAhead, times(interval, ahead + 1)), nowMillis);
			if (reason.isPresent()) {
				refused.add(refuse(entry, reason.get(), nowMillis));
			}
			else {
				ahead++;
				bytesAhead += entry.description().heldBytes();
			}
		}
		return refused;
	}

	// Spares most checks the order: nobody must leave whose outlook at the end of the
	// queue were good enough.
	private boolean allMayStay(OptionalDouble interval, long nowMillis) {
		if (isEmpty()) {
			return true;
		}
		long bytes = this.entries.values().stream().mapToLong((entry) -> entry.description().heldBytes()).sum();
		Outlook last = new Outlook(length() - 1, bytes, times(interval, length()));
		return this.entries.values()
			.stream()
			.allMatch((entry) -> mustLeave(entry.description(), last, nowMillis).isEmpty());
	}

	private static Optional<QueueExit> mustLeave(QueuedRequest request, Outlook outlook, long nowMillis) {
		for (QueueExit reason : EXAMINED) {
			if (reason.applies(request, outlook, nowMillis)) {
				return Optional.of(reason);
			}
		}
		return Optional.empty();
	}

	/**
	 * Removes all requests.
	 * @param reason the reason
	 * @param nowMillis the time in milliseconds
	 * @return the requests, to be refused
	 */
	public List<Refusal<T>> takeAll(QueueExit reason, long nowMillis) {
		return List.copyOf(this.entries.values()).stream().map((entry) -> refuse(entry, reason, nowMillis)).toList();
	}

	/**
	 * Removes a request.
	 * @param request the request
	 * @param reason the reason
	 * @param nowMillis the time in milliseconds
	 * @return the time that it waited in milliseconds, empty if it doesn't wait
	 */
	public OptionalLong remove(T request, QueueExit reason, long nowMillis) {
		Entry<T> entry = this.entries.get(request);
		return (entry != null) ? OptionalLong.of(leave(entry, reason, nowMillis)) : OptionalLong.empty();
	}

	private List<Entry<T>> ordered(long nowMillis) {
		return this.order.order(new ArrayList<>(this.entries.values()), Entry::description, nowMillis);
	}

	private Refusal<T> refuse(Entry<T> entry, QueueExit reason, long nowMillis) {
		long waitedMillis = leave(entry, reason, nowMillis);
		Urgency urgency = entry.description().urgency();
		int waiting = (int) this.entries.values()
			.stream()
			.filter((other) -> other.description().urgency().compareTo(urgency) <= 0)
			.count();
		double returnMillis = this.returns.delayMillis(urgency, waiting, this.places.intervalMillis(),
				entry.description().leftMillis(nowMillis), this.random.getAsDouble(), nowMillis);
		return new Refusal<>(entry.request(), reason, waitedMillis, returnMillis);
	}

	private long leave(Entry<T> entry, QueueExit reason, long nowMillis) {
		this.places.advance(!isEmpty(), nowMillis);
		this.entries.remove(entry.request());
		this.order.left(entry.description(), reason);
		return nowMillis - entry.addedMillis();
	}

	private static OptionalDouble times(OptionalDouble interval, int count) {
		return interval.isPresent() ? OptionalDouble.of(interval.getAsDouble() * count) : interval;
	}

	/**
	 * A request that got a place.
	 *
	 * @param <T> the type of the request
	 * @param <P> the type of the place
	 * @param request the request
	 * @param place the place
	 * @param waitedMillis the time that it waited, in milliseconds
	 */
	public record Placement<T, P>(T request, P place, long waitedMillis) {

	}

	/**
	 * A request that left without a place.
	 *
	 * @param <T> the type of the request
	 * @param request the request
	 * @param reason the reason
	 * @param waitedMillis the time that it waited, in milliseconds
	 * @param returnMillis the delay after which its caller shall return, in milliseconds
	 */
	public record Refusal<T>(T request, QueueExit reason, long waitedMillis, double returnMillis) {

	}

	/**
	 * A waiting request.
	 *
	 * @param <T> the type of the request
	 * @param request the request
	 * @param description what is known of it
	 * @param addedMillis the time at which it was added
	 */
	private record Entry<T>(T request, QueuedRequest description, long addedMillis) {

	}

}
