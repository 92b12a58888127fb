package org.monsoonvalve.gateway.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StoreLease;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.version.Member;

/**
 * Registers this process in the platform's store under a lease, so that its peers can
 * discover it.
 *
 * @author monsoonvalve maintainers
 */
final class ProcessRegistration {

	/**
	 * Lifetime of a registration without renewal; longer than a typical outage of the
	 * store.
	 */
	static final long LEASE_TTL_SECONDS = 10;

	/** Interval between renewals; two may fail before the registration expires. */
	private static final long RENEW_MILLIS = 3000;

	/** Delay after a failed call to the store. */
	private static final long RETRY_MILLIS = 1000;

	private final PlatformStore store;

	private final Member self;

	private final Runnable onRejoined;

	private final ScheduledExecutorService control;

	private final DecisionLog log;

	private volatile StoreLease lease = StoreLease.NONE;

	private volatile boolean deregistered;

	// Confined to the control thread; the steps of an earlier sequence are dropped.
	private int sequence;

	/**
	 * Creates a registration that has not started.
	 * @param store the platform's store
	 * @param self this process as a member
	 * @param onRejoined runs if the registration of an earlier run of this process had
	 * not expired when this run registered first
	 * @param control runs the calls to the store
	 * @param log receives failures
	 */
	ProcessRegistration(PlatformStore store, Member self, Runnable onRejoined, ScheduledExecutorService control,
			DecisionLog log) {
		this.store = store;
		this.self = self;
		this.onRejoined = onRejoined;
		this.control = control;
		this.log = log;
	}

	void start() {
		this.control.execute(this::restart);
	}

	/**
	 * Registers again, as the store may have lost the registration.
	 * @param delayMillis the delay, in milliseconds
	 */
	void registerAgain(long delayMillis) {
		this.control.schedule(this::restart, delayMillis, TimeUnit.MILLISECONDS);
	}

	private void restart() {
		register(++this.sequence);
	}

	void deregister() {
		this.deregistered = true;
		StoreLease current = this.lease;
		if (!current.equals(StoreLease.NONE)) {
			this.store.revokeLease(current).whenComplete((done, failure) -> logFailure("end registration", failure));
		}
	}

	private void register(int current) {
		if (this.deregistered || current != this.sequence) {
			return;
		}
		boolean again = !this.lease.equals(StoreLease.NONE);
		this.store.grantLease(LEASE_TTL_SECONDS).thenCompose((granted) -> {
			this.lease = granted;
			return writeRecord(granted, !again);
		}).whenCompleteAsync((position, failure) -> {
			if (logFailure("register", failure)) {
				schedule(() -> register(current), RETRY_MILLIS);
				return;
			}
			if (again) {
				this.log.record(LogEvent.RECORD_REWRITTEN, "record", "registration", "position", position);
			}
			schedule(() -> renew(current), RENEW_MILLIS);
		}, this.control);
	}

	private CompletableFuture<StorePosition> writeRecord(StoreLease granted, boolean first) {
		String key = StoreKeys.MEMBERS.key(this.self.name());
		byte[] value = Codec.JSON.encode(this.self);
		return this.store.write(key, StorePosition.NONE, value, granted).thenCompose((firstWrite) -> {
			if (firstWrite.succeeded()) {
				return CompletableFuture.completedFuture(firstWrite);
			}
			if (first && firstWrite.current() != null) {
				this.onRejoined.run();
			}
			StorePosition current = (firstWrite.current() != null) ? firstWrite.current().position()
					: StorePosition.NONE;
			return this.store.write(key, current, value, granted);
		}).thenApply((result) -> {
			if (!result.succeeded()) {
				throw new ServingException(FailureCode.CONFLICT, "the registration was modified concurrently");
			}
			return result.position();
		});
	}

	private void renew(int current) {
		if (this.deregistered || current != this.sequence) {
			return;
		}
		this.store.renewLease(this.lease).whenCompleteAsync((alive, failure) -> {
			if (logFailure("renew registration", failure)) {
				schedule(() -> renew(current), RETRY_MILLIS);
			}
			else if (alive) {
				schedule(() -> renew(current), RENEW_MILLIS);
			}
			else {
				register(current);
			}
		}, this.control);
	}

	private boolean logFailure(String task, Throwable failure) {
		if (failure != null) {
			this.log.record(LogEvent.TASK_FAILED, "task", task, "reason", ServingException.from(failure).getMessage());
		}
		return failure != null;
	}

	private void schedule(Runnable task, long millis) {
		this.control.schedule(task, millis, TimeUnit.MILLISECONDS);
	}

}
