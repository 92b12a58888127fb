package org.monsoonvalve.core.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * Holds back new work until the configuration was recently compared with the platform or
 * with peers, so that a process that resumes after a pause does not act on replaced
 * documents.
 *
 * @author monsoonvalve maintainers
 */
public final class PauseGate {

	private static final CompletableFuture<Void> OPEN = CompletableFuture.completedFuture(null);

	private final ElapsedClock clock;

	private final long maxAgeMillis;

	private final Supplier<CompletableFuture<Void>> comparison;

	private final AtomicReference<ElapsedClock.Reading> lastComparison = new AtomicReference<>();

	private final AtomicReference<CompletableFuture<Void>> currentComparison = new AtomicReference<>();

	private PauseGate(ElapsedClock clock, long maxAgeMillis, Supplier<CompletableFuture<Void>> comparison) {
		this.clock = clock;
		this.maxAgeMillis = maxAgeMillis;
		this.comparison = comparison;
	}

	/**
	 * Creates a gate.
	 * @param clock measures the age of the last comparison
	 * @param maxAgeMillis how long a comparison is valid after its start, in milliseconds
	 * @param comparison compares the configuration with the platform and with peers; must
	 * complete in bounded time, even if none answers
	 * @return the gate
	 */
	public static PauseGate of(ElapsedClock clock, long maxAgeMillis, Supplier<CompletableFuture<Void>> comparison) {
		return new PauseGate(clock, maxAgeMillis, comparison);
	}

	/**
	 * Starts a comparison, or joins the one in progress, unless the last is recent.
	 * @return completed when new work may proceed: already if the last comparison is
	 * recent, else when the one in progress has ended
	 */
	public CompletableFuture<Void> pass() {
		ElapsedClock.Reading last = this.lastComparison.get();
		if (last != null && this.clock.elapsedMillis(last) <= this.maxAgeMillis) {
			return OPEN;
		}
		return runComparison();
	}

	/**
	 * Records a comparison of the configuration that a peer has answered.
	 * @param start when the comparison started
	 */
	public void recordComparison(ElapsedClock.Reading start) {
		this.lastComparison.accumulateAndGet(start, PauseGate::later);
	}

	private static ElapsedClock.Reading later(ElapsedClock.Reading known, ElapsedClock.Reading start) {
		return (known != null && known.monotonicMillis() > start.monotonicMillis()) ? known : start;
	}

	/**
	 * Starts a comparison, or joins the one in progress.
	 * @return completed when the comparison has ended, even if it failed
	 */
	public CompletableFuture<Void> runComparison() {
		CompletableFuture<Void> started = new CompletableFuture<>();
		CompletableFuture<Void> inProgress = this.currentComparison.compareAndExchange(null, started);
		if (inProgress != null) {
			return inProgress;
		}
		ElapsedClock.Reading start = this.clock.now();
		this.comparison.get().whenComplete((done, failure) -> {
			recordComparison(start);
			this.currentComparison.set(null);
			started.complete(null);
		});
		return started;
	}

}
