package org.monsoonvalve.admission.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The processes that this process takes into account when it divides the requests of
 * endpoints. Members count from the moment at which they are known, and for some time
 * after their registration is gone, as they may still use their shares. This process
 * itself uses its shares only when the others have had time to learn of it.
 *
 * @author monsoonvalve maintainers
 */
final class ShareMembers {

	/**
	 * Time in which a registration reaches all processes: four requests to random peers,
	 * as for a configuration.
	 */
	static final long PROPAGATION_MILLIS = 2000;

	/**
	 * Time for which a process uses its shares without being registered: the interval
	 * between two renewals of a registration that was lost, and a failed one. It also
	 * covers the time in which a process that stops accepts requests.
	 */
	static final long SELF_RETENTION_MILLIS = 4000;

	/**
	 * Time from a member's registration until it uses its shares; by then all have left
	 * it out of theirs for as long as a request or loan counts.
	 */
	static final long WAIT_MILLIS = PROPAGATION_MILLIS + EndpointShare.LOAN_MILLIS + EndpointShare.WINDOW_MILLIS;

	/**
	 * Time from the start of a process that was registered before until it uses its
	 * shares. The others have counted it all the while, so that only the requests and
	 * loans of its last run have to end.
	 */
	static final long REJOIN_MILLIS = EndpointShare.LOAN_MILLIS + EndpointShare.WINDOW_MILLIS;

	/** Time for which a member counts without being registered. */
	static final long RETENTION_MILLIS = SELF_RETENTION_MILLIS + WAIT_MILLIS;

	private static final long NEVER_MILLIS = Long.MAX_VALUE;

	private final String self;

	private final Map<SharingProcess, Long> lostMillis = new HashMap<>();

	private Set<SharingProcess> registered = Set.of();

	private Set<SharingProcess> counted = Set.of();

	private long selfKnownMillis = NEVER_MILLIS;

	private long rejoinedUntilMillis = NEVER_MILLIS;

	private long nextChangeMillis = NEVER_MILLIS;

	private SharingProcess holder;

	private long version;

	ShareMembers(String self) {
		this.self = self;
	}

	/**
	 * Replaces the registered processes.
	 * @param nowRegistered the registered processes
	 * @param nowMillis the current time, in milliseconds
	 */
	void update(Collection<SharingProcess> nowRegistered, long nowMillis) {
		refresh(nowMillis);
		Set<SharingProcess> newer = Set.copyOf(nowRegistered);
		if (newer.equals(this.registered)) {
			return;
		}
		this.registered.stream()
			.filter((member) -> !newer.contains(member))
			.forEach((member) -> this.lostMillis.put(member, nowMillis));
		this.lostMillis.keySet().removeAll(newer);
		this.registered = newer;
		if (this.selfKnownMillis == NEVER_MILLIS && newer.stream().anyMatch(this::isSelf)) {
			this.selfKnownMillis = nowMillis;
		}
		recompute(nowMillis);
	}

	/**
	 * Shortens the wait of this process, as its registration had not expired when it
	 * started.
	 * @param startMillis the time at which this process started, in milliseconds
	 * @param nowMillis the current time, in milliseconds
	 */
	void rejoined(long startMillis, long nowMillis) {
		this.rejoinedUntilMillis = startMillis + REJOIN_MILLIS;
		recompute(nowMillis);
	}

	/**
	 * Applies what changes with time alone.
	 * @param nowMillis the current time, in milliseconds
	 * @return a number that changes with the members or with this process's own waiting
	 */
	long refresh(long nowMillis) {
		if (nowMillis >= this.nextChangeMillis) {
			recompute(nowMillis);
		}
		return this.version;
	}

	/**
	 * Returns the members that count.
	 * @return the members, including this process if it is registered
	 */
	Set<SharingProcess> counted() {
		return this.counted;
	}

	/**
	 * Returns the registered processes.
	 * @return the processes
	 */
	Set<SharingProcess> registered() {
		return this.registered;
	}

	/**
	 * Returns this process as a holder of shares.
	 * @return the process, {@code null} while it may not use shares
	 */
	SharingProcess holder() {
		return this.holder;
	}

	/**
	 * Tells whether a name is that of this process.
	 * @param member a process
	 * @return {@code true} if it is this process
	 */
	boolean isSelf(SharingProcess member) {
		return member.name().equals(this.self);
	}

	private void recompute(long nowMillis) {
		this.lostMillis.entrySet().removeIf((entry) -> nowMillis - entry.getValue() >= retentionMillis(entry.getKey()));
		this.counted = new HashSet<>(this.registered);
		this.counted.addAll(this.lostMillis.keySet());
		SharingProcess own = Stream.concat(this.registered.stream(), this.lostMillis.keySet().stream())
			.filter(this::isSelf)
			.findFirst()
			.orElse(null);
		if (own == null) {
			this.selfKnownMillis = NEVER_MILLIS;
		}
		long waitUntilMillis = (this.selfKnownMillis == NEVER_MILLIS) ? NEVER_MILLIS
				: Math.min(this.rejoinedUntilMillis, this.selfKnownMillis + WAIT_MILLIS);
		boolean waiting = own != null && nowMillis < waitUntilMillis;
		this.holder = waiting ? null : own;
		this.nextChangeMillis = Math.min(waiting ? waitUntilMillis : NEVER_MILLIS,
				this.lostMillis.entrySet()
					.stream()
					.mapToLong((entry) -> entry.getValue() + retentionMillis(entry.getKey()))
					.min()
					.orElse(NEVER_MILLIS));
		this.version++;
	}

	private long retentionMillis(SharingProcess member) {
		return isSelf(member) ? SELF_RETENTION_MILLIS : RETENTION_MILLIS;
	}

}
