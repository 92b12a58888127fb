package org.monsoonvalve.gateway.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.gateway.version.Member;

/**
 * Selects the peer from which a process takes the store's changes, so that one process of
 * the whole system watches the store: the members of a zone follow the one that has been
 * registered longest, and those follow the one of them that has. A process that restarts
 * is slow at first, and others follow it only after all the rest. A peer that failed to
 * answer is passed over for a while. Confined to the control thread.
 *
 * @author monsoonvalve maintainers
 */
final class FactsUpstream {

	/**
	 * Time for which a peer that failed to answer is passed over; the registration of a
	 * lost process has expired by then.
	 */
	static final long RETRY_MILLIS = 10_000;

	private final String self;

	private final String zone;

	private final Map<Address, Long> avoidedUntilMillis = new HashMap<>();

	/**
	 * Creates a selection in which no peer has failed.
	 * @param self the name of this process
	 * @param zone the availability zone of this process
	 */
	FactsUpstream(String self, String zone) {
		this.self = self;
		this.zone = zone;
	}

	/**
	 * Selects the peer to follow.
	 * @param members the registered processes
	 * @param nowMillis the current time, in milliseconds
	 * @return the peer, empty if this process should watch the store itself
	 */
	Optional<Member> select(Collection<Member> members, long nowMillis) {
		this.avoidedUntilMillis.values().removeIf((until) -> until <= nowMillis);
		Optional<Member> zoneReader = members.stream()
			.filter((member) -> member.zone().equals(this.zone))
			.filter(this::usable)
			.min(Member.BY_SENIORITY);
		if (zoneReader.isPresent() && !isSelf(zoneReader.get())) {
			return zoneReader;
		}
		return members.stream().filter(this::usable).min(Member.BY_SENIORITY).filter((member) -> !isSelf(member));
	}

	/**
	 * Passes over a peer that failed to answer.
	 * @param peer the peer's address
	 * @param nowMillis the current time, in milliseconds
	 */
	void failed(Address peer, long nowMillis) {
		this.avoidedUntilMillis.put(peer, nowMillis + RETRY_MILLIS);
	}

	private boolean usable(Member member) {
		return isSelf(member) || !this.avoidedUntilMillis.containsKey(member.peerAddress());
	}

	private boolean isSelf(Member member) {
		return member.name().equals(this.self);
	}

}
