package org.monsoonvalve.scenarios.process;

import java.util.List;

/**
 * What a scenario starts.
 *
 * @author monsoonvalve maintainers
 * @param zones the availability zones
 * @param entriesPerZone entries in each availability zone
 * @param controllersPerZone controllers in each availability zone
 * @param enginesPerZone model engines in each availability zone
 * @param servicesPerZone plain service endpoints in each availability zone
 * @param vmsPerGroup how many VMs a replica group spans
 * @param honoursFencing whether engines refuse orders with old fencing numbers
 * @param warmRequests how many requests make an endpoint warm, 0 if it always is
 * @param tokenMillis the time between two tokens, in milliseconds
 * @param serviceMillis the time for a call of a plain service, in milliseconds
 * @param maxConcurrent how many requests a warm endpoint or group takes at once
 * @param policy the group policy
 * @param mechanismsOff mechanisms switched off, separated by commas
 */
public record ClusterSpec(List<String> zones, int entriesPerZone, int controllersPerZone, int enginesPerZone,
		int servicesPerZone, int vmsPerGroup, boolean honoursFencing, int warmRequests, int tokenMillis,
		int serviceMillis, int maxConcurrent, String policy, String mechanismsOff) {

	private static final int DEFAULT_MAX_CONCURRENT = 64;

	/**
	 * Fills in defaults.
	 * @param zones the availability zones
	 * @param entriesPerZone entries in each availability zone
	 * @param controllersPerZone controllers in each availability zone
	 * @param enginesPerZone model engines in each availability zone
	 * @param servicesPerZone plain service endpoints in each availability zone
	 * @param vmsPerGroup how many VMs a replica group spans
	 * @param honoursFencing whether engines refuse orders with old fencing numbers
	 * @param warmRequests how many requests make an endpoint warm, 0 if it always is
	 * @param tokenMillis the time between two tokens, in milliseconds
	 * @param serviceMillis the time for a call of a plain service, in milliseconds
	 * @param maxConcurrent how many requests a warm endpoint or group takes at once
	 * @param policy the group policy
	 * @param mechanismsOff mechanisms switched off, separated by commas
	 */
	public ClusterSpec {
		zones = (zones != null) ? List.copyOf(zones) : List.of("a", "b");
		policy = (policy != null) ? policy : "accelerators-first";
		mechanismsOff = (mechanismsOff != null) ? mechanismsOff : "";
		maxConcurrent = (maxConcurrent > 0) ? maxConcurrent : DEFAULT_MAX_CONCURRENT;
		vmsPerGroup = Math.max(1, vmsPerGroup);
	}

	/**
	 * Switches mechanisms off.
	 * @param mechanisms the mechanisms, separated by commas
	 * @return the changed specification
	 */
	public ClusterSpec without(String mechanisms) {
		return new ClusterSpec(this.zones, this.entriesPerZone, this.controllersPerZone, this.enginesPerZone,
				this.servicesPerZone, this.vmsPerGroup, this.honoursFencing, this.warmRequests, this.tokenMillis,
				this.serviceMillis, this.maxConcurrent, this.policy, mechanisms);
	}

}
