package org.monsoonvalve.admission.process;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * This process's shares of all endpoints. Not thread-safe.
 *
 * @author monsoonvalve maintainers
 */
public final class EndpointShares {

	private final String self;

	private final ShareMembers members;

	private final Map<SharedEndpoint, EndpointShare> shares = new HashMap<>();

	/**
	 * Creates the shares of a process that knows no members.
	 * @param self the name of this process
	 */
	public EndpointShares(String self) {
		this.self = self;
		this.members = new ShareMembers(self);
	}

	/**
	 * Replaces the processes that hold shares.
	 * @param registered the registered processes
	 * @param nowMillis the current time, in milliseconds
	 */
	public void update(Collection<SharingProcess> registered, long nowMillis) {
		this.members.update(registered, nowMillis);
	}

	/**
	 * Shortens the wait of this process, as its registration had not expired when it
	 * started.
	 * @param startMillis the time at which this process started, in milliseconds
	 * @param nowMillis the current time, in milliseconds
	 */
	public void rejoined(long startMillis, long nowMillis) {
		this.members.rejoined(startMillis, nowMillis);
	}

	/**
	 * Returns the other registered processes, in an order that is different for each
	 * process.
	 * @return the processes
	 */
	Stream<SharingProcess> others() {
		return this.members.registered()
			.stream()
			.filter((member) -> !this.members.isSelf(member))
			.sorted(Comparator.comparingLong((member) -> ShareDivision.rank(member, this.self)));
	}

	/**
	 * Returns the zone of this process.
	 * @return the zone, empty if this process isn't registered
	 */
	Optional<String> zone() {
		return this.members.registered().stream().filter(this.members::isSelf).findFirst().map(SharingProcess::zone);
	}

	/**
	 * Forgets the endpoints that are no longer in use, except those that have lately
	 * received requests.
	 * @param used the endpoints in use
	 * @param nowMillis the current time, in milliseconds
	 */
	public void retain(Set<SharedEndpoint> used, long nowMillis) {
		this.shares.entrySet()
			.removeIf((entry) -> !used.contains(entry.getKey()) && entry.getValue().used(nowMillis) == 0);
	}

	/**
	 * Returns this process's share of an endpoint.
	 * @param endpoint the endpoint
	 * @return the share, which is the same one as long as the endpoint is in use
	 */
	public EndpointShare of(SharedEndpoint endpoint) {
		return this.shares.computeIfAbsent(endpoint, (absent) -> new EndpointShare(absent, this.members));
	}

}
