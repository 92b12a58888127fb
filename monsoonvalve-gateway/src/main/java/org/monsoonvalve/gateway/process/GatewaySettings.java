package org.monsoonvalve.gateway.process;

import java.util.List;

import org.monsoonvalve.core.connection.Address;

/**
 * Settings of a gateway process.
 *
 * @author monsoonvalve maintainers
 * @param name the process's name, unique in the system
 * @param zone the process's availability zone
 * @param zones all availability zones
 * @param callers the address to listen on for callers' requests
 * @param readiness the address to listen on for readiness checks
 * @param peers the address to listen on for frames of peers
 * @param metrics the address to serve metrics at
 * @param store the address of the platform's store
 * @param limits the bounds agreed on by the operators
 * @param firstStart whether the whole system starts for the first time, so that no
 * earlier process can hold a role
 */
public record GatewaySettings(String name, String zone, List<String> zones, Address callers, Address readiness,
		Address peers, Address metrics, Address store, Bounds limits, boolean firstStart) {

	/**
	 * Bounds on shutdown, retries, cold starts and stalls.
	 *
	 * @param graceMillis the time from the stop signal until the process is killed, in
	 * milliseconds
	 * @param retryRatio the retries allowed per request
	 * @param retryWindowMillis the length of the window in which retries are counted, in
	 * milliseconds
	 * @param retrySlack the retries allowed in a window in addition to the ratio
	 * @param coldOvershoot the factor by which the request rate of a cold endpoint may
	 * exceed its limit
	 * @param coldSlack the requests per second that a cold endpoint may receive beyond
	 * that
	 * @param stallMillis the time after which work that depends on a lost VM is aborted,
	 * in milliseconds
	 */
	public record Bounds(long graceMillis, double retryRatio, long retryWindowMillis, double retrySlack,
			double coldOvershoot, double coldSlack, long stallMillis) {

		/**
		 * Returns the requests that a cold endpoint may receive in any second.
		 * @param limitPerSecond the limit on its request rate, per second
		 * @return the requests per second, summed over all processes
		 */
		public double coldRequestsPerSecond(double limitPerSecond) {
			return limitPerSecond * this.coldOvershoot + this.coldSlack;
		}

	}

}
