package org.monsoonvalve.core.process;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StoreLease;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Elects one process at a time to a role by a lease in the platform's key-value store.
 * The holder checks its lease locally by the time since it started its last successful
 * renewal, so a process that resumes after a pause knows that it may have lost the role.
 *
 * @author monsoonvalve maintainers
 */
public final class LeaseElection {

	private static final long LEASE_TTL_SECONDS = 5;

	// Less than the TTL, so that the holder stops before the platform can expire the
	// lease.
	private static final long RENEWAL_VALID_MILLIS = 3500;

	/**
	 * Time after a restoration of the store until a holder that the store has forgotten,
	 * and that doesn't know yet, no longer considers itself the holder, in milliseconds.
	 */
	public static final long FORGOTTEN_HOLDER_MILLIS = RENEWAL_VALID_MILLIS;

	private static final long CALL_TIMEOUT_MILLIS = 2000;

	private final PlatformStore platform;

	private final ElapsedClock clock;

	private final String key;

	private final String holderPrefix;

	private final String holderId;

	private final AtomicReference<Term> term = new AtomicReference<>();

	// The term that ended with the last era.
	private final AtomicReference<Term> forgotten = new AtomicReference<>();

	private final AtomicReference<Era> era = new AtomicReference<>(new Era(0, null));

	private final Consumer<ServingException> onFailure;

	private LeaseElection(PlatformStore platform, ElapsedClock clock, String key, String selfId,
			Consumer<ServingException> onFailure) {
		this.platform = platform;
		this.clock = clock;
		this.key = key;
		this.holderPrefix = selfId + "/";
		this.holderId = this.holderPrefix + UUID.randomUUID();
		this.onFailure = onFailure;
	}

	/**
	 * Creates an election; it does nothing before the first tick.
	 * @param platform the store that keeps the lease
	 * @param clock measures the age of renewals
	 * @param role the role's name, which forms the key of the lease
	 * @param self the identifier of this process
	 * @param onFailure receives the failures of calls to the platform; the next tick
	 * retries
	 * @return the election
	 */
	public static LeaseElection of(PlatformStore platform, ElapsedClock clock, String role, NodeId self,
			Consumer<ServingException> onFailure) {
		return new LeaseElection(platform, clock, "monsoonvalve/leases/" + role, self.value(), onFailure);
	}

	/**
	 * Renews the lease or tries to acquire it; must be called about once per second.
	 * @param mayAcquire whether to try to acquire the lease if this process does not hold
	 * it
	 */
	public void tick(boolean mayAcquire) {
		Term held = this.term.get();
		if (held != null && !renew(held) && this.term.compareAndSet(held, null)) {
			this.forgotten.set(ofEarlierEra(held) ? held : null);
		}
		boolean reclaims = isReclaimable(this.forgotten.get());
		if (this.term.get() == null && (mayAcquire || reclaims)) {
			claimablePosition(reclaims).ifPresent(this::campaign);
		}
	}

	/**
	 * Notes the era of the store. In an era that began while this process runs, it
	 * acquires the role only if it held it at the end of the era before, or once the last
	 * holder no longer considers itself the holder.
	 * @param storeEra the era, 0 if the store states none
	 */
	public void observeEra(long storeEra) {
		this.era.updateAndGet((known) -> {
			if (storeEra <= known.number()) {
				return known;
			}
			return new Era(storeEra, (known.number() > 0) ? this.clock.now() : null);
		});
	}

	// Nobody else can have acquired the role in the ended era, as the lease was valid.
	private boolean isReclaimable(Term term) {
		return term != null && ofEarlierEra(term) && this.clock.elapsedMillis(term.renewed()) < RENEWAL_VALID_MILLIS;
	}

	private boolean ofEarlierEra(Term held) {
		return held.lease().era() < this.era.get().number();
	}

	private boolean mayHaveForgottenHolder() {
		ElapsedClock.Reading began = this.era.get().began();
		return began != null && this.clock.elapsedMillis(began) < FORGOTTEN_HOLDER_MILLIS;
	}

	/**
	 * Tells whether a holder has the identifier of this process. It is then an earlier
	 * process whose role this one may take over immediately, as identifiers must be
	 * unique among running processes.
	 * @param holder the value of the role's key, {@code IDENTIFIER/UUID/LEASE}
	 * @return {@code true} if the holder has this process's identifier
	 */
	public boolean isPredecessor(String holder) {
		return holder.startsWith(this.holderPrefix);
	}

	/**
	 * Tells whether this process currently holds the role.
	 * @return {@code true} if its last renewal is recent enough
	 */
	public boolean held() {
		Term held = this.term.get();
		return held != null && !ofEarlierEra(held) && this.clock.elapsedMillis(held.renewed()) < RENEWAL_VALID_MILLIS;
	}

	/**
	 * Returns how long this process has held the role without interruption.
	 * @return milliseconds since it acquired the role, 0 if it does not hold it
	 */
	public long heldMillis() {
		Term held = this.term.get();
		return (held != null && held()) ? this.clock.elapsedMillis(held.acquired()) : 0;
	}

	/**
	 * Gives up the role and revokes its lease.
	 */
	public void resign() {
		Term held = this.term.getAndSet(null);
		this.forgotten.set(null);
		if (held != null) {
			revoke(held.lease());
		}
	}

	private boolean renew(Term held) {
		ElapsedClock.Reading start = this.clock.now();
		try {
			if (await(this.platform.renewLease(held.lease()))) {
				boolean continuous = this.clock.elapsedMillis(held.renewed()) < RENEWAL_VALID_MILLIS;
				this.term.compareAndSet(held, new Term(held.lease(), continuous ? held.acquired() : start, start));
				return true;
			}
			return false;
		}
		catch (ServingException ex) {
			this.onFailure.accept(ex);
			// The lease may still exist, for example during a platform outage. A later
			// successful renewal proves that no other process held it in the meantime.
			return true;
		}
	}

	// Returns the position that a claim must expect: none if the key does not exist, the
	// key's position if an earlier process with this identifier holds it, empty while
	// a process with another identifier holds it. After a restoration the key may name
	// the holder before this process.
	private Optional<StorePosition> claimablePosition(boolean reclaims) {
		try {
			PlatformStore.Snapshot found = await(this.platform.read(this.key, 0));
			observeEra(found.position().era());
			if (!reclaims && mayHaveForgottenHolder()) {
				return Optional.empty();
			}
			return found.entries()
				.stream()
				.filter((entry) -> entry.key().equals(this.key))
				.findFirst()
				.map((entry) -> (reclaims || isPredecessor(new String(entry.value(), StandardCharsets.UTF_8)))
						? Optional.of(entry.position()) : Optional.<StorePosition>empty())
				.orElse(Optional.of(StorePosition.NONE));
		}
		catch (ServingException ex) {
			this.onFailure.accept(ex);
			return Optional.empty();
		}
	}

	private void campaign(StorePosition expected) {
		ElapsedClock.Reading start = this.clock.now();
		StoreLease lease;
		try {
			lease = await(this.platform.grantLease(LEASE_TTL_SECONDS));
		}
		catch (ServingException ex) {
			this.onFailure.accept(ex);
			return;
		}
		String value = this.holderId + "/" + lease.id();
		if (claim(value, expected, lease)) {
			this.term.set(new Term(lease, this.clock.now(), start));
		}
		else {
			revoke(lease);
		}
	}

	private void revoke(StoreLease lease) {
		this.platform.revokeLease(lease).whenComplete((done, failure) -> {
			if (failure != null) {
				this.onFailure.accept(ServingException.from(failure));
			}
		});
	}

	private boolean claim(String value, StorePosition expected, StoreLease lease) {
		byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
		try {
			PlatformStore.WriteResult result = await(this.platform.write(this.key, expected, bytes, lease));
			return result.succeeded();
		}
		catch (ServingException ex) {
			this.onFailure.accept(ex);
			return false;
		}
	}

	private <T> T await(CompletableFuture<T> response) {
		try {
			return response.get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException ex) {
			throw ServingException.from(ex);
		}
		catch (TimeoutException ex) {
			throw new ServingException(FailureCode.PLATFORM_UNAVAILABLE,
					"the platform did not respond within " + CALL_TIMEOUT_MILLIS + " ms", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ServingException(FailureCode.PLATFORM_UNAVAILABLE, "interrupted while waiting for the platform",
					ex);
		}
	}

	// began is null for the era in which this process started.
	private record Era(long number, ElapsedClock.Reading began) {

	}

	// renewed is when the last successful renewal, or the grant, was started.
	private record Term(StoreLease lease, ElapsedClock.Reading acquired, ElapsedClock.Reading renewed) {

	}

}
