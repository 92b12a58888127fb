package org.monsoonvalve.core.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * Holds new work back until the configuration was compared with others lately, so that a
 * process that was paused does not act on documents that have been replaced.
 *
 * @author monsoonvalve maintainers
 */
public final class PauseGate {

	private static final CompletableFuture<Void> OPEN = CompletableFuture.completedFuture(null);

	private final ElapsedClock clock;

	private final long freshMillis;

	private final Supplier<CompletableFuture<Void>> round;

	private final AtomicReference<ElapsedClock.Reading> lastRound = new AtomicReference<>();

	private final AtomicReference<CompletableFuture<Void>> running = new AtomicReference<>();

	private PauseGate(ElapsedClock clock, long freshMillis, Supplier<CompletableFuture<Void>> round) {
		this.clock = clock;
		this.freshMillis = freshMillis;
		this.round = round;
	}

	/**
	 * Creates a gate.
	 * @param clock measures the age of the last round
	 * @param freshMillis how long a round counts, from its start, in milliseconds
	 * @param round compares the configuration with others; it completes in bounded time,
	 * also when nobody answers
	 * @return the gate
	 */
	public static PauseGate of(ElapsedClock clock, long freshMillis, Supplier<CompletableFuture<Void>> round) {
		return new PauseGate(clock, freshMillis, round);
	}

	/**
	 * Waits until a round that began lately has ended.
	 * @return completed when new work may be judged
	 */
	public CompletableFuture<Void> pass() {
		ElapsedClock.Reading last = this.lastRound.get();
		if (last != null && this.clock.elapsedMillis(last) <= this.freshMillis) {
			return OPEN;
		}
		return runRound();
	}

	/**
	 * Notes that the configuration was compared with others outside a round.
	 * @param start when the comparison began
	 */
	public void recordComparison(ElapsedClock.Reading start) {
		this.lastRound.accumulateAndGet(start, PauseGate::later);
	}

	private static ElapsedClock.Reading later(ElapsedClock.Reading known, ElapsedClock.Reading start) {
		return (known != null && known.monotonicMillis() > start.monotonicMillis()) ? known : start;
	}

	/**
	 * Runs a round, or joins the one that is running.
	 * @return completed when the round has ended
	 */
	public CompletableFuture<Void> runRound() {
		CompletableFuture<Void> mine = new CompletableFuture<>();
		CompletableFuture<Void> other = this.running.compareAndExchange(null, mine);
		if (other != null) {
			return other;
		}
		ElapsedClock.Reading start = this.clock.now();
		this.round.get().whenComplete((done, failure) -> {
			recordComparison(start);
			this.running.set(null);
			mine.complete(null);
		});
		return mine;
	}

}
