package org.monsoonvalve.entry.request;

import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;

import org.monsoonvalve.core.process.Mechanism;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.core.version.Rules;

/**
 * Admits the requests of one pool: the higher priority first, and within a priority by
 * start-time fair queueing over the workspaces' weights, so that a workspace far over its
 * share waits behind its own requests and not in front of others'.
 *
 * @author monsoonvalve maintainers
 */
public final class Admission {

	private static final long VIRTUAL_UNIT = 1_000_000;

	private final IntSupplier limit;

	private final long maxWaitMillis;

	private final ConcurrentSkipListMap<Ticket, Waiter> waiting = new ConcurrentSkipListMap<>(
			Comparator.comparingInt((Ticket ticket) -> -ticket.priority())
				.thenComparingLong(Ticket::virtualStart)
				.thenComparingLong(Ticket::sequence));

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicLong sequence = new AtomicLong();

	private final AtomicLong virtualTime = new AtomicLong();

	private final Map<String, Share> shares = new ConcurrentHashMap<>();

	private Admission(IntSupplier limit, long maxWaitMillis) {
		this.limit = limit;
		this.maxWaitMillis = maxWaitMillis;
	}

	/**
	 * Creates an admission without requests.
	 * @param limit how many requests may run at once now
	 * @param maxWaitMillis the longest wait, in milliseconds
	 * @return the admission
	 */
	public static Admission of(IntSupplier limit, long maxWaitMillis) {
		return new Admission(limit, maxWaitMillis);
	}

	/**
	 * Asks for permission to run a request; {@link #release()} ends it.
	 * @param workspace the request's workspace
	 * @return completed when the request may run, or a {@link ServingException} with
	 * {@link FailureCode#OVER_LIMIT}
	 */
	public CompletableFuture<Void> acquire(Rules.Workspace workspace) {
		Share share = this.shares.computeIfAbsent(workspace.id(), (id) -> new Share());
		if (share.queued.get() >= workspace.maxQueued() && this.running.get() >= this.limit.getAsInt()) {
			return CompletableFuture.failedFuture(new ServingException(FailureCode.OVER_LIMIT,
					"workspace '" + workspace.id() + "' has " + workspace.maxQueued() + " requests waiting"));
		}
		Ticket ticket = ticket(workspace, share);
		Waiter waiter = new Waiter(new CompletableFuture<>(), share);
		share.queued.incrementAndGet();
		this.waiting.put(ticket, waiter);
		admitWaiting();
		CompletableFuture<Void> admitted = waiter.admitted();
		if (!admitted.isDone()) {
			CompletableFuture.delayedExecutor(this.maxWaitMillis, TimeUnit.MILLISECONDS)
				.execute(() -> giveUp(ticket, workspace));
		}
		return admitted;
	}

	/**
	 * Notes that an admitted request has ended.
	 */
	public void release() {
		this.running.decrementAndGet();
		admitWaiting();
	}

	/**
	 * Returns how many requests wait.
	 * @return the number of waiting requests
	 */
	public int queued() {
		return this.waiting.size();
	}

	/**
	 * Admits waiting requests as far as the limit allows; to be called when the limit may
	 * have grown.
	 */
	public void admitWaiting() {
		while (!this.waiting.isEmpty() && reserve()) {
			Map.Entry<Ticket, Waiter> first = this.waiting.pollFirstEntry();
			if (first == null) {
				this.running.decrementAndGet();
				continue;
			}
			first.getValue().share().queued.decrementAndGet();
			this.virtualTime.accumulateAndGet(first.getKey().virtualStart(), Math::max);
			first.getValue().admitted().complete(null);
		}
	}

	private boolean reserve() {
		int most = this.limit.getAsInt();
		int now = this.running.get();
		while (now < most) {
			if (this.running.compareAndSet(now, now + 1)) {
				return true;
			}
			now = this.running.get();
		}
		return false;
	}

	private Ticket ticket(Rules.Workspace workspace, Share share) {
		long number = this.sequence.incrementAndGet();
		if (!Mechanism.FAIRNESS.on()) {
			return new Ticket(0, 0, number);
		}
		long cost = VIRTUAL_UNIT / Math.max(1, workspace.weight());
		long finish = share.virtualFinish.updateAndGet((before) -> Math.max(before, this.virtualTime.get()) + cost);
		return new Ticket(workspace.priority(), finish - cost, number);
	}

	private void giveUp(Ticket ticket, Rules.Workspace workspace) {
		Waiter waiter = this.waiting.remove(ticket);
		if (waiter != null) {
			waiter.share().queued.decrementAndGet();
			waiter.admitted()
				.completeExceptionally(new ServingException(FailureCode.OVER_LIMIT,
						"workspace '" + workspace.id() + "' waited " + this.maxWaitMillis + " ms for admission"));
		}
	}

	private record Ticket(int priority, long virtualStart, long sequence) {

	}

	private record Waiter(CompletableFuture<Void> admitted, Share share) {

	}

	private static final class Share {

		private final AtomicInteger queued = new AtomicInteger();

		private final AtomicLong virtualFinish = new AtomicLong();

	}

}
