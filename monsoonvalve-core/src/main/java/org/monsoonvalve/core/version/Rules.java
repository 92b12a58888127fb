package org.monsoonvalve.core.version;

import java.util.List;
import java.util.Locale;

/**
 * The operators' rules: what is out of service, which workspaces may send requests, how
 * pools lend VMs and how replica groups are formed.
 *
 * @author monsoonvalve maintainers
 * @param zonesOut the availability zones taken out of service
 * @param endpointsOut the VMs taken out of service
 * @param workspaces the workspaces and their limits
 * @param nonRepeatable the calls to plain services that may be executed at most once
 * @param lending the lending of VMs between pools
 * @param groupPolicy how replica groups are formed and repaired
 */
public record Rules(List<String> zonesOut, List<String> endpointsOut, List<Workspace> workspaces,
		List<NonRepeatable> nonRepeatable, List<Lending> lending, GroupPolicy groupPolicy) {

	/**
	 * Copies the lists, replaces missing ones by empty ones and a missing policy by
	 * {@link GroupPolicy#DOWNTIME_FIRST}.
	 * @param zonesOut the availability zones taken out of service
	 * @param endpointsOut the VMs taken out of service
	 * @param workspaces the workspaces and their limits
	 * @param nonRepeatable the calls to plain services that may be executed at most once
	 * @param lending the lending of VMs between pools
	 * @param groupPolicy how replica groups are formed and repaired
	 */
	public Rules {
		zonesOut = copy(zonesOut);
		endpointsOut = copy(endpointsOut);
		workspaces = copy(workspaces);
		nonRepeatable = copy(nonRepeatable);
		lending = copy(lending);
		groupPolicy = (groupPolicy != null) ? groupPolicy : GroupPolicy.DOWNTIME_FIRST;
	}

	/**
	 * Returns rules without entries: nothing is out of service and no workspace is
	 * admitted.
	 * @return the empty rules
	 */
	public static Rules empty() {
		return new Rules(null, null, null, null, null, null);
	}

	/**
	 * Returns a copy with other availability zones and VMs out of service.
	 * @param zones the availability zones taken out of service
	 * @param endpoints the VMs taken out of service
	 * @return the copy
	 */
	public Rules withOutOfService(List<String> zones, List<String> endpoints) {
		return new Rules(zones, endpoints, this.workspaces, this.nonRepeatable, this.lending, this.groupPolicy);
	}

	private static <T> List<T> copy(List<T> list) {
		return (list != null) ? List.copyOf(list) : List.of();
	}

	/**
	 * A workspace and its limits.
	 *
	 * @param id the workspace's name
	 * @param keySha256 the SHA-256 hash of the workspace's key, in hexadecimal
	 * @param pools the names of the pools that the workspace may use
	 * @param priority the priority; requests of a higher priority are admitted first
	 * @param weight the share of a pool relative to workspaces of the same priority
	 * @param maxQueued the maximum number of requests that wait for admission at one
	 * entry process
	 */
	public record Workspace(String id, String keySha256, List<String> pools, int priority, int weight, int maxQueued) {

	}

	/**
	 * A rule that lends VMs of one pool to another while the owner can spare them.
	 *
	 * @param from the pool that owns the VMs
	 * @param to the pool that borrows them
	 * @param vmsPerZone the maximum number of VMs lent in each availability zone
	 * @param recalled whether the owner has called its VMs back, which suspends this rule
	 */
	public record Lending(String from, String to, int vmsPerZone, boolean recalled) {

	}

	/**
	 * A pattern of calls that may be executed at most once.
	 *
	 * @param pool the pool's name
	 * @param method the HTTP method in upper case, or {@code *} for all methods
	 * @param pathPrefix the prefix of the path that follows the pool's name
	 */
	public record NonRepeatable(String pool, String method, String pathPrefix) {

		/**
		 * Returns whether a call matches this pattern.
		 * @param callPool the name of the called pool
		 * @param callMethod the HTTP method of the call
		 * @param callPath the path of the call, after the pool's name
		 * @return {@code true} if the call may be executed at most once
		 */
		public boolean matches(String callPool, String callMethod, String callPath) {
			boolean methodMatches = "*".equals(this.method) || this.method.equals(callMethod.toUpperCase(Locale.ROOT));
			return this.pool.equals(callPool) && methodMatches && callPath.startsWith(this.pathPrefix);
		}

	}

}
