package org.monsoonvalve.core.process;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Holds a role for one process at a time by a lease at the platform. The holder judges
 * its own lease by the time since it began its last successful renewal, so a process that
 * was paused knows that it may no longer hold it.
 *
 * @author monsoonvalve maintainers
 */
public final class LeaseElection {

	private static final long TTL_SECONDS = 5;

	private static final long VALID_MILLIS = 3500;

	private static final long CALL_TIMEOUT_MILLIS = 2000;

	private final PlatformStore platform;

	private final ElapsedClock clock;

	private final String key;

	private final String name;

	private final String candidate;

	private final AtomicReference<Term> term = new AtomicReference<>();

	private final Consumer<ServingException> onFailure;

	private LeaseElection(PlatformStore platform, ElapsedClock clock, String key, String candidate,
			Consumer<ServingException> onFailure) {
		this.platform = platform;
		this.clock = clock;
		this.key = key;
		this.name = candidate + "/";
		this.candidate = this.name + UUID.randomUUID();
		this.onFailure = onFailure;
	}

	/**
	 * Creates an election that has not begun.
	 * @param platform keeps the lease
	 * @param clock measures the age of renewals
	 * @param role the role's name
	 * @param candidate this process
	 * @param onFailure is told of calls to the platform that failed; the next tick tries
	 * again
	 * @return the election
	 */
	public static LeaseElection of(PlatformStore platform, ElapsedClock clock, String role, NodeId candidate,
			Consumer<ServingException> onFailure) {
		return new LeaseElection(platform, clock, "monsoonvalve/leases/" + role, candidate.value(), onFailure);
	}

	/**
	 * Renews the lease, or tries to get it; to be called about once a second.
	 * @param candidate whether this process tries to get a lease that it does not hold
	 */
	public void tick(boolean candidate) {
		Term held = this.term.get();
		if (held != null && !renew(held)) {
			this.term.compareAndSet(held, null);
		}
		if (this.term.get() == null && candidate) {
			claimableRevision().ifPresent(this::campaign);
		}
	}

	/**
	 * Tells whether a holder is an earlier process of this candidate, whose role this one
	 * may take over at once. Names must be unique among running processes.
	 * @param holder the value of the role's key
	 * @return {@code true} if the holder has this candidate's name
	 */
	public boolean isPredecessor(String holder) {
		return holder.startsWith(this.name);
	}

	/**
	 * Tells whether this process holds the role at this moment.
	 * @return {@code true} if its last renewal is recent enough
	 */
	public boolean held() {
		Term held = this.term.get();
		return held != null && this.clock.elapsedMillis(held.renewed()) < VALID_MILLIS;
	}

	/**
	 * Tells how long this process has held the role without a break.
	 * @return milliseconds since it was acquired, 0 if it is not held
	 */
	public long heldMillis() {
		Term held = this.term.get();
		return (held != null && held()) ? this.clock.elapsedMillis(held.acquired()) : 0;
	}

	/**
	 * Gives the role up.
	 */
	public void resign() {
		Term held = this.term.getAndSet(null);
		if (held != null) {
			revoke(held.leaseId());
		}
	}

	private boolean renew(Term held) {
		ElapsedClock.Reading start = this.clock.now();
		try {
			if (await(this.platform.renewLease(held.leaseId()))) {
				boolean unbroken = this.clock.elapsedMillis(held.renewed()) < VALID_MILLIS;
				this.term.compareAndSet(held, new Term(held.leaseId(), unbroken ? held.acquired() : start, start));
				return true;
			}
			return false;
		}
		catch (ServingException ex) {
			this.onFailure.accept(ex);
			// The lease may last at the platform, as while the platform is away; a later
			// renewal shows that nobody else had it.
			return true;
		}
	}

	// The revision that a claim has to name: 0 without a holder, that of the key when an
	// earlier process of this candidate left it, none while somebody else holds it.
	private OptionalLong claimableRevision() {
		try {
			return await(this.platform.read(this.key, 0)).entries()
				.stream()
				.filter((entry) -> entry.key().equals(this.key))
				.findFirst()
				.map((entry) -> isPredecessor(new String(entry.value(), StandardCharsets.UTF_8))
						? OptionalLong.of(entry.revision()) : OptionalLong.empty())
				.orElse(OptionalLong.of(0));
		}
		catch (ServingException ex) {
			this.onFailure.accept(ex);
			return OptionalLong.empty();
		}
	}

	private void campaign(long revision) {
		ElapsedClock.Reading start = this.clock.now();
		long leaseId;
		try {
			leaseId = await(this.platform.grantLease(TTL_SECONDS));
		}
		catch (ServingException ex) {
			this.onFailure.accept(ex);
			return;
		}
		String value = this.candidate + "/" + leaseId;
		if (claim(value, revision, leaseId)) {
			this.term.set(new Term(leaseId, this.clock.now(), start));
		}
		else {
			revoke(leaseId);
		}
	}

	private void revoke(long leaseId) {
		this.platform.revokeLease(leaseId).whenComplete((done, failure) -> {
			if (failure != null) {
				this.onFailure.accept(ServingException.from(failure));
			}
		});
	}

	private boolean claim(String value, long revision, long leaseId) {
		byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
		try {
			PlatformStore.WriteResult result = await(this.platform.write(this.key, revision, bytes, leaseId));
			return result.succeeded();
		}
		catch (ServingException ex) {
			this.onFailure.accept(ex);
			return false;
		}
	}

	private <T> T await(CompletableFuture<T> answer) {
		try {
			return answer.get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException ex) {
			throw ServingException.from(ex);
		}
		catch (TimeoutException ex) {
			throw new ServingException(FailureCode.PLATFORM_UNAVAILABLE, "the platform did not answer in time", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ServingException(FailureCode.PLATFORM_UNAVAILABLE, "interrupted", ex);
		}
	}

	private record Term(long leaseId, ElapsedClock.Reading acquired, ElapsedClock.Reading renewed) {

	}

}
