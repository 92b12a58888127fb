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
	private static final long LEASE_TTL_SECONDS = 10;

	/** Interval between renewals; two may fail before the registration expires. */
	private static final long RENEW_MILLIS = 3000;

	/** Delay after a failed call to the store. */
	private static final long RETRY_MILLIS = 1000;

	private final PlatformStore store;

	private final Member self;

	private final ScheduledExecutorService control;

	private final DecisionLog log;

	private volatile StoreLease lease = StoreLease.NONE;

	private volatile boolean deregistered;

	ProcessRegistration(PlatformStore store, Member self, ScheduledExecutorService control, DecisionLog log) {
		this.store = store;
		this.self = self;
		this.control = control;
		this.log = log;
	}

	void start() {
		this.control.execute(this::register);
	}

	void deregister() {
		this.deregistered = true;
		StoreLease current = this.lease;
		if (!current.equals(StoreLease.NONE)) {
			this.store.revokeLease(current).whenComplete((done, failure) -> logFailure("end registration", failure));
		}
	}

	private void register() {
		if (this.deregistered) {
			return;
		}
		this.store.grantLease(LEASE_TTL_SECONDS).thenCompose((granted) -> {
			this.lease = granted;
			return writeRecord(granted);
		}).whenCompleteAsync((done, failure) -> {
			if (logFailure("register", failure)) {
				schedule(this::register, RETRY_MILLIS);
			}
			else {
				schedule(this::renew, RENEW_MILLIS);
			}
		}, this.control);
	}

	private CompletableFuture<Void> writeRecord(StoreLease granted) {
		String key = StoreKeys.MEMBERS.key(this.self.name());
		byte[] value = Codec.JSON.encode(this.self);
		return this.store.write(key, StorePosition.NONE, value, granted).thenCompose((firstWrite) -> {
			if (firstWrite.succeeded()) {
				return CompletableFuture.completedFuture(firstWrite);
			}
			StorePosition current = (firstWrite.current() != null) ? firstWrite.current().position()
					: StorePosition.NONE;
			return this.store.write(key, current, value, granted);
		}).thenAccept((result) -> {
			if (!result.succeeded()) {
				throw new ServingException(FailureCode.CONFLICT, "the registration was modified concurrently");
			}
		});
	}

	private void renew() {
		if (this.deregistered) {
			return;
		}
		this.store.renewLease(this.lease).whenCompleteAsync((alive, failure) -> {
			if (logFailure("renew registration", failure)) {
				schedule(this::renew, RETRY_MILLIS);
			}
			else if (alive) {
				schedule(this::renew, RENEW_MILLIS);
			}
			else {
				register();
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
