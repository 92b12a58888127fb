package org.monsoonvalve.entry.request;

import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.monsoonvalve.core.process.ElapsedClock;
import org.monsoonvalve.core.process.Mechanism;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.core.version.Inventory;
import org.monsoonvalve.core.version.Rules;
import org.monsoonvalve.entry.version.Target;

/**
 * What all steps of one request share, and the search for a target that is ready.
 *
 * @author monsoonvalve maintainers
 */
public final class RequestContext {

	private static final long SEARCH_PAUSE_MILLIS = 50;

	private static final long MAX_SEARCH_PAUSE_MILLIS = 250;

	private final RequestEnvironment environment;

	private final Rules.Workspace workspace;

	private final Inventory.Pool pool;

	private final String id = UUID.randomUUID().toString();

	private final String affinity;

	private final ElapsedClock.Reading start;

	private RequestContext(RequestEnvironment environment, Rules.Workspace workspace, Inventory.Pool pool,
			String affinity) {
		this.environment = environment;
		this.workspace = workspace;
		this.pool = pool;
		this.affinity = affinity;
		this.start = environment.node().clock().now();
	}

	/**
	 * Creates the context of a request.
	 * @param environment what all requests share
	 * @param workspace the request's workspace
	 * @param pool the pool that it is for
	 * @param affinity what requests that should meet the same target have in common
	 * @return the context
	 */
	public static RequestContext of(RequestEnvironment environment, Rules.Workspace workspace, Inventory.Pool pool,
			String affinity) {
		return new RequestContext(environment, workspace, pool, affinity);
	}

	/**
	 * Returns the request's identifier.
	 * @return the identifier
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Returns the request's workspace.
	 * @return the workspace
	 */
	public Rules.Workspace workspace() {
		return this.workspace;
	}

	/**
	 * Returns the pool that the request is for.
	 * @return the pool
	 */
	public Inventory.Pool pool() {
		return this.pool;
	}

	/**
	 * Measures how long the request has been in the system.
	 * @return elapsed milliseconds
	 */
	public long elapsedMillis() {
		return this.environment.node().clock().elapsedMillis(this.start);
	}

	/**
	 * Waits for admission.
	 * @return completed when the request may run
	 */
	public CompletableFuture<Void> admit() {
		return this.environment.admission(this.pool).acquire(this.workspace);
	}

	/**
	 * Ends the request's admission.
	 */
	public void release() {
		this.environment.admission(this.pool).release();
	}

	/**
	 * Finds a target that is ready for the request, trying again until the longest wait
	 * has passed.
	 * @return the target, or a {@link ServingException} whose run state is
	 * {@code not-run}
	 */
	public CompletableFuture<Prepared> findTarget() {
		return findTarget(this.environment.node().clock().now());
	}

	private CompletableFuture<Prepared> findTarget(ElapsedClock.Reading since) {
		return passGate()
			.thenCompose((passed) -> tryEach(this.environment.candidates(this.pool, this.affinity), 0, null))
			.handle((prepared, failure) -> {
				if (failure == null) {
					return CompletableFuture.completedFuture(prepared);
				}
				boolean late = this.environment.node().clock().elapsedMillis(since) >= this.environment.searchMillis();
				return late ? CompletableFuture.<Prepared>failedFuture(notRun(failure)) : pauseAndTry(since);
			})
			.thenCompose((next) -> next);
	}

	private CompletableFuture<Void> passGate() {
		return Mechanism.PAUSE_GATE.on() ? this.environment.node().gate().pass()
				: CompletableFuture.completedFuture(null);
	}

	private CompletableFuture<Prepared> pauseAndTry(ElapsedClock.Reading since) {
		CompletableFuture<Void> paused = new CompletableFuture<>();
		this.environment.node()
			.http()
			.timer()
			.schedule(() -> paused.completeAsync(() -> null), pauseMillis(since), TimeUnit.MILLISECONDS);
		return paused.thenCompose((done) -> findTarget(since));
	}

	/**
	 * Lengthens the pause with the time already spent, and spreads it, so that many
	 * waiting requests do not search in step.
	 * @param since when the search began
	 * @return the pause in milliseconds
	 */
	private long pauseMillis(ElapsedClock.Reading since) {
		long spentMillis = this.environment.node().clock().elapsedMillis(since);
		long longest = Math.min(MAX_SEARCH_PAUSE_MILLIS, SEARCH_PAUSE_MILLIS + spentMillis / 4);
		return ThreadLocalRandom.current().nextLong(SEARCH_PAUSE_MILLIS / 2, longest + 1);
	}

	private CompletableFuture<Prepared> tryEach(List<Target> targets, int index, Throwable lastFailure) {
		if (index >= targets.size()) {
			return CompletableFuture
				.failedFuture((lastFailure != null) ? lastFailure : new ServingException(FailureCode.NO_CAPACITY,
						"no endpoint of pool '" + this.pool.id() + "' can take a request"));
		}
		return this.environment.preparer()
			.prepare(targets.get(index))
			.handle((prepared, failure) -> (failure != null) ? tryEach(targets, index + 1, failure)
					: CompletableFuture.completedFuture(prepared))
			.thenCompose((next) -> next);
	}

	private ServingException notRun(Throwable failure) {
		ServingException last = ServingException.from(failure);
		return new ServingException(FailureCode.NO_CAPACITY,
				"no endpoint of pool '" + this.pool.id() + "' became ready in time; last: " + last.getMessage(), last);
	}

}
