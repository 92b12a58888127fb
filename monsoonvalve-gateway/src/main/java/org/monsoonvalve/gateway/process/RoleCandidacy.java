package org.monsoonvalve.gateway.process;

import java.util.Collection;
import java.util.Comparator;

import org.monsoonvalve.gateway.version.Member;

/**
 * Decides when a process tries to acquire a vacant role. Few processes try at first, and
 * more of them the longer the role stays vacant, so that a role that many processes could
 * take costs a few calls to the store. The order of the candidates differs between roles,
 * which spreads the roles over the processes. Confined to one thread.
 *
 * @author monsoonvalve maintainers
 */
final class RoleCandidacy {

	/** Processes that try to acquire the role as soon as it is vacant. */
	static final int FIRST_CANDIDATES = 3;

	/** Time after which twice as many processes may try. */
	static final long WIDEN_MILLIS = 1000;

	/** An odd constant that spreads similar hash codes over all integers. */
	private static final int HASH_MULTIPLIER = 0x9E3779B1;

	private final String role;

	private final String self;

	private long vacantSinceMillis;

	private boolean vacant;

	/**
	 * Creates a candidacy for a role that is not known to be vacant.
	 * @param role the name of the role
	 * @param self the name of this process
	 */
	RoleCandidacy(String role, String self) {
		this.role = role;
		this.self = self;
	}

	/**
	 * Tells whether this process may try to acquire the role now.
	 * @param roleVacant whether the role has no holder
	 * @param members the registered processes that may hold the role
	 * @param nowMillis the current time, in milliseconds
	 * @return {@code true} if the role is vacant and this process is among the candidates
	 */
	boolean mayAcquire(boolean roleVacant, Collection<Member> members, long nowMillis) {
		if (!roleVacant) {
			this.vacant = false;
			return false;
		}
		if (!this.vacant) {
			this.vacant = true;
			this.vacantSinceMillis = nowMillis;
		}
		long before = members.stream()
			.map(Member::name)
			.sorted(Comparator.comparingInt(this::position).thenComparing(Comparator.naturalOrder()))
			.takeWhile((name) -> !name.equals(this.self))
			.count();
		long doublings = Math.min(Integer.SIZE, (nowMillis - this.vacantSinceMillis) / WIDEN_MILLIS);
		return before < (long) FIRST_CANDIDATES << doublings;
	}

	private int position(String name) {
		return (this.role + "/" + name).hashCode() * HASH_MULTIPLIER;
	}

}
