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

	String key(String name) {
		return this.prefix + name;
	}

	Optional<String> nameOf(String key) {
		return key.startsWith(this.prefix) ? Optional.of(key.substring(this.prefix.length())) : Optional.empty();
	}

}
