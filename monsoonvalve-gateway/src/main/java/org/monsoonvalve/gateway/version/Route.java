package org.monsoonvalve.gateway.version;

import java.util.List;

/**
 * Maps the requests of a host and path prefix to services.
 *
 * @author monsoonvalve maintainers
 * @param name the route's name
 * @param host the host name in the requests
 * @param prefix the path prefix, with a leading and a trailing slash
 * @param kind how often its requests may run
 * @param timeoutMillis the maximum time that a request waits, in milliseconds
 * @param targetLatencyMillis the target for the latency of an answer, in milliseconds
 * @param targetGapMillis the target for the longest gap between events of a stream, in
 * milliseconds, 0 if the route has no streams
 * @param priority its priority among routes, 0 first
 * @param maxEndpoints the maximum number of endpoints that may run one request
 * @param resumable whether a broken stream may be resumed at another endpoint
 * @param open whether requests need no API key
 * @param targets the services that its requests are distributed to, with their weights
 */
public record Route(String name, String host, String prefix, RequestKind kind, long timeoutMillis,
		long targetLatencyMillis, long targetGapMillis, int priority, int maxEndpoints, boolean resumable, boolean open,
		List<Target> targets) {

	/**
	 * Creates a route with a copy of the targets.
	 */
	public Route {
		targets = List.copyOf(targets);
	}

	/**
	 * Tells whether a request that may have run may be sent again.
	 * @return {@code true} if a second run is harmless
	 */
	public boolean repeatable() {
		return this.kind.repeatable(this.resumable);
	}

	/**
	 * Chooses a service at random, in proportion to the weights.
	 * @param draw a uniform random number from 0 (inclusive) to 1 (exclusive)
	 * @return the service's name
	 */
	public String chooseService(double draw) {
		long total = this.targets.stream().mapToLong(Target::weight).sum();
		double remaining = draw * total;
		for (Target target : this.targets) {
			remaining -= target.weight();
			if (remaining < 0) {
				return target.service();
			}
		}
		return this.targets.get(this.targets.size() - 1).service();
	}

	/**
	 * A service that receives a share of a route's requests.
	 *
	 * @param service the service's name
	 * @param weight the weight, relative to the other targets
	 */
	public record Target(String service, long weight) {

	}

}
