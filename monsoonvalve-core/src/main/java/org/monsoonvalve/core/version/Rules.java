package org.monsoonvalve.core.version;

import java.util.List;
import java.util.Locale;

/**
 * The operators' rules on top of the inventory.
 *
 * @author monsoonvalve maintainers
 * @param zonesOut the availability zones taken out of service
 * @param endpointsOut the VMs taken out of service
 * @param workspaces the workspaces and their limits
 * @param nonRepeatable the calls of plain services that may run at most once
 * @param lending which pools lend VMs to which
 * @param groupPolicy how replica groups are formed and repaired
 */
public record Rules(List<String> zonesOut, List<String> endpointsOut, List<Workspace> workspaces,
		List<NonRepeatable> nonRepeatable, List<Lending> lending, GroupPolicy groupPolicy) {

	/**
	 * Replaces missing lists by empty ones.
	 * @param zonesOut the availability zones taken out of service
	 * @param endpointsOut the VMs taken out of service
	 * @param workspaces the workspaces and their limits
	 * @param nonRepeatable the calls of plain services that may run at most once
	 * @param lending which pools lend VMs to which
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
	 * Returns rules that restrict nothing and admit no workspace.
	 * @return the empty rules
	 */
	public static Rules empty() {
		return new Rules(null, null, null, null, null, null);
	}

	/**
	 * Returns the rules with other lists of what is out of service.
	 * @param zones the availability zones taken out of service
	 * @param endpoints the VMs taken out of service
	 * @return the changed rules
	 */
	public Rules withOutOfService(List<String> zones, List<String> endpoints) {
		return new Rules(zones, endpoints, this.workspaces, this.nonRepeatable, this.lending, this.groupPolicy);
	}

	private static <T> List<T> copy(List<T> list) {
		return (list != null) ? List.copyOf(list) : List.of();
	}

	/**
	 * A workspace of callers.
	 *
	 * @param id its name
	 * @param keySha256 the SHA-256 of its key, in hexadecimal
	 * @param pools the pools that it may use
	 * @param priority its priority; requests of a higher one are admitted first
	 * @param weight its share of a pool among workspaces of the same priority
	 * @param maxQueued how many of its requests may wait for admission at one entry
	 */
	public record Workspace(String id, String keySha256, List<String> pools, int priority, int weight, int maxQueued) {

	}

	/**
	 * Lets a pool use VMs of another one while its owner can spare them.
	 *
	 * @param from the pool that owns the VMs
	 * @param to the pool that borrows them
	 * @param vmsPerZone how many VMs are lent at most in each availability zone
	 * @param recalled whether the owner wants them back at once
	 */
	public record Lending(String from, String to, int vmsPerZone, boolean recalled) {

	}

	/**
	 * Calls that may run at most once.
	 *
	 * @param pool the pool
	 * @param method the method, or {@code *} for all
	 * @param pathPrefix the start of the path behind the pool's name
	 */
	public record NonRepeatable(String pool, String method, String pathPrefix) {

		/**
		 * Tells whether a call is meant.
		 * @param callPool the call's pool
		 * @param callMethod the call's method
		 * @param callPath the call's path behind the pool's name
		 * @return {@code true} if the call may run at most once
		 */
		public boolean matches(String callPool, String callMethod, String callPath) {
			boolean sameMethod = "*".equals(this.method) || this.method.equals(callMethod.toUpperCase(Locale.ROOT));
			return this.pool.equals(callPool) && sameMethod && callPath.startsWith(this.pathPrefix);
		}

	}

}
