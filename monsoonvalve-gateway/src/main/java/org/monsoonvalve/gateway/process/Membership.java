package org.monsoonvalve.gateway.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.version.Member;

/**
 * Registers this process in the platform's store under a lease, so that its peers find
 * it.
 *
 * @author monsoonvalve maintainers
 */
final class Membership {

	/**
	 * Life of a registration without renewal; longer than the usual outage of the store.
	 */
	private static final long TTL_SECONDS = 10;

	/** Time between renewals; two may fail before the registration ends. */
	private static final long RENEW_MILLIS = 3000;

	private static final long RETRY_MILLIS = 1000;

	private final PlatformStore store;

	private final Member self;

	private final ScheduledExecutorService control;

	private final DecisionLog log;

	private volatile long leaseId;

	private volatile boolean leaving;

	Membership(PlatformStore store, Member self, ScheduledExecutorService control, DecisionLog log) {
		this.store = store;
		this.self = self;
		this.control = control;
		this.log = log;
	}

	void start() {
		this.control.execute(this::register);
	}

	void leave() {
		this.leaving = true;
		if (this.leaseId != 0) {
			this.store.revokeLease(this.leaseId).whenComplete((done, failure) -> failed("end registration", failure));
		}
	}

	private void register() {
		if (this.leaving) {
			return;
		}
		this.store.grantLease(TTL_SECONDS).thenCompose((lease) -> {
			this.leaseId = lease;
			return replace(lease);
		}).whenCompleteAsync((done, failure) -> {
			if (failed("register", failure)) {
				later(this::register, RETRY_MILLIS);
			}
			else {
				later(this::renew, RENEW_MILLIS);
			}
		}, this.control);
	}

	private CompletableFuture<Void> replace(long lease) {
		String key = OwnKeys.MEMBERS.key(this.self.name());
		byte[] value = Codec.JSON.encode(this.self);
		return this.store.write(key, 0, value, lease).thenCompose((first) -> {
			if (first.succeeded()) {
				return CompletableFuture.completedFuture(first);
			}
			long present = (first.current() != null) ? first.current().revision() : 0;
			return this.store.write(key, present, value, lease);
		}).thenAccept((result) -> {
			if (!result.succeeded()) {
				throw new ServingException(FailureCode.CONFLICT, "the registration changed meanwhile");
			}
		});
	}

	private void renew() {
		if (this.leaving) {
			return;
		}
		this.store.renewLease(this.leaseId).whenCompleteAsync((alive, failure) -> {
			if (failed("renew registration", failure)) {
				later(this::renew, RETRY_MILLIS);
			}
			else if (alive) {
				later(this::renew, RENEW_MILLIS);
			}
			else {
				register();
			}
		}, this.control);
	}

	private boolean failed(String task, Throwable failure) {
		if (failure != null) {
			this.log.record(LogEvent.TASK_FAILED, "task", task, "reason", ServingException.from(failure).getMessage());
		}
		return failure != null;
	}

	private void later(Runnable task, long millis) {
		this.control.schedule(task, millis, TimeUnit.MILLISECONDS);
	}

}
