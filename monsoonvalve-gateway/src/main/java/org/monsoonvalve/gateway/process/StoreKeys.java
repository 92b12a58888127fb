package org.monsoonvalve.gateway.process;

import java.util.Optional;

/**
 * Prefixes of the keys that the system itself writes to the platform's store; the values
 * of other keys are decoded by {@link EntryDecoder}.
 *
 * @author monsoonvalve maintainers
 */
enum StoreKeys {

	/** Processes of the system, by name. */
	MEMBERS("monsoonvalve/members/"),

	/** Planned replica groups, by availability zone. */
	GROUPS("monsoonvalve/groups/"),

	/** Roles, each held by one process under a lease. */
	LEASES("monsoonvalve/leases/");

	private final String prefix;

	StoreKeys(String prefix) {
		this.prefix = prefix;
	}

	/**
	 * Returns the role of the process that plans the groups of an availability zone.
	 * @param zone the zone
	 * @return the name of the role
	 */
	static String plannerRole(String zone) {
		return "planner-" + zone;
	}

	String key(String name) {
		return this.prefix + name;
	}

	Optional<String> nameOf(String key) {
		return key.startsWith(this.prefix) ? Optional.of(key.substring(this.prefix.length())) : Optional.empty();
	}

}
