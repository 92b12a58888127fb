package org.monsoonvalve.core.version;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.request.ServingException;

/**
 * Checks operators' documents and names all faults at once.
 *
 * @author monsoonvalve maintainers
 */
public final class DocumentValidator {

	private static final String NAME = "[a-z0-9][a-z0-9.-]{0,62}";

	private static final String SHA256 = "[0-9a-f]{64}";

	private static final int MAX_VMS_PER_GROUP = 64;

	private final List<DocumentFault> faults = new ArrayList<>();

	private DocumentValidator() {
	}

	/**
	 * Checks a document of either kind.
	 * @param key which document it is
	 * @param text its YAML text
	 * @param current the configuration that it would change
	 * @return the faults, none if it can be accepted
	 */
	public static List<DocumentFault> check(DocumentKey key, String text, Configuration current) {
		DocumentValidator validator = new DocumentValidator();
		try {
			byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
			if (key.equals(DocumentKey.INVENTORY)) {
				validator.checkInventory(Codec.YAML.decode(bytes, Inventory.class));
			}
			else if (key.equals(DocumentKey.RULES)) {
				validator.checkRules(Codec.YAML.decode(bytes, Rules.class), current.inventory());
			}
			else {
				validator.fault("$", "operators may change the inventory and the rules only");
			}
		}
		catch (ServingException ex) {
			validator.fault("$", ex.getMessage());
		}
		return List.copyOf(validator.faults);
	}

	private void checkInventory(Inventory inventory) {
		Set<String> zones = names("availabilityZones",
				inventory.availabilityZones().stream().map(Inventory.Zone::id).toList());
		Set<String> pools = names("pools", inventory.pools().stream().map(Inventory.Pool::id).toList());
		names("vms", inventory.vms().stream().map(Inventory.Vm::id).toList());
		if (zones.isEmpty()) {
			fault("availabilityZones", "at least one availability zone is needed");
		}
		for (int i = 0; i < inventory.pools().size(); i++) {
			checkPool("pools[" + i + "]", inventory.pools().get(i));
		}
		Set<Object> addresses = new HashSet<>();
		for (int i = 0; i < inventory.vms().size(); i++) {
			Inventory.Vm vm = inventory.vms().get(i);
			String path = "vms[" + i + "]";
			require(zones.contains(vm.availabilityZone()), path + ".availabilityZone",
					"'" + vm.availabilityZone() + "' is not an availability zone of this document");
			require(pools.contains(vm.pool()), path + ".pool", "'" + vm.pool() + "' is not a pool of this document");
			require(vm.address() != null, path + ".address", "an IP number and a port are needed");
			require(vm.address() == null || addresses.add(vm.address()), path + ".address",
					"'" + vm.address() + "' is used twice");
			require(vm.accelerators() >= 0, path + ".accelerators", "0 or more is needed");
		}
	}

	private void checkPool(String path, Inventory.Pool pool) {
		require(pool.kind() != null, path + ".kind", "'model' or 'service' is needed");
		require(pool.coldSlots() >= 1, path + ".coldSlots", "1 or more is needed");
		require(pool.maxConcurrent() >= pool.coldSlots(), path + ".maxConcurrent", "no less than coldSlots is needed");
		require(pool.vmsPerGroup() >= 1 && pool.vmsPerGroup() <= MAX_VMS_PER_GROUP, path + ".vmsPerGroup",
				"1 to " + MAX_VMS_PER_GROUP + " is needed");
		require(pool.maxLoads() >= 0, path + ".maxLoads", "0 or more is needed");
		if (pool.kind() == PoolKind.MODEL) {
			require(pool.model() != null && !pool.model().isBlank(), path + ".model", "a model's name is needed");
			require(pool.version() != null && !pool.version().isBlank(), path + ".version", "a version is needed");
		}
	}

	private void checkRules(Rules rules, Inventory inventory) {
		Set<String> zones = new HashSet<>(inventory.availabilityZones().stream().map(Inventory.Zone::id).toList());
		Set<String> vms = new HashSet<>(inventory.vms().stream().map(Inventory.Vm::id).toList());
		Set<String> pools = new HashSet<>(inventory.pools().stream().map(Inventory.Pool::id).toList());
		checkKnown("zonesOut", rules.zonesOut(), zones, "an availability zone of the inventory");
		checkKnown("endpointsOut", rules.endpointsOut(), vms, "a VM of the inventory");
		names("workspaces", rules.workspaces().stream().map(Rules.Workspace::id).toList());
		Set<String> keys = new HashSet<>();
		for (int i = 0; i < rules.workspaces().size(); i++) {
			Rules.Workspace workspace = rules.workspaces().get(i);
			String path = "workspaces[" + i + "]";
			String key = workspace.keySha256();
			require(key != null && key.matches(SHA256), path + ".keySha256", "64 hexadecimal digits are needed");
			require(key == null || keys.add(key), path + ".keySha256", "another workspace has the same key");
			require(workspace.weight() >= 1, path + ".weight", "1 or more is needed");
			require(workspace.maxQueued() >= 0, path + ".maxQueued", "0 or more is needed");
			require(workspace.pools() != null, path + ".pools", "a list of pools is needed");
			checkKnown(path + ".pools", (workspace.pools() != null) ? workspace.pools() : List.of(), pools,
					"a pool of the inventory");
		}
		checkLending(rules, pools);
		for (int i = 0; i < rules.nonRepeatable().size(); i++) {
			Rules.NonRepeatable call = rules.nonRepeatable().get(i);
			String path = "nonRepeatable[" + i + "]";
			require(pools.contains(call.pool()), path + ".pool", "'" + call.pool() + "' is not a pool");
			require(call.method() != null && call.method().matches("\\*|[A-Z]+"), path + ".method",
					"a method in capitals or '*' is needed");
			require(call.pathPrefix() != null && call.pathPrefix().startsWith("/"), path + ".pathPrefix",
					"a path that starts with '/' is needed");
		}
	}

	private void checkLending(Rules rules, Set<String> pools) {
		for (int i = 0; i < rules.lending().size(); i++) {
			Rules.Lending lending = rules.lending().get(i);
			String path = "lending[" + i + "]";
			require(pools.contains(lending.from()), path + ".from", "'" + lending.from() + "' is not a pool");
			require(pools.contains(lending.to()), path + ".to", "'" + lending.to() + "' is not a pool");
			require(!Objects.equals(lending.from(), lending.to()), path + ".to", "a pool can't lend to itself");
			require(lending.vmsPerZone() >= 1, path + ".vmsPerZone", "1 or more is needed");
		}
	}

	private void checkKnown(String path, List<String> names, Set<String> known, String expected) {
		for (int i = 0; i < names.size(); i++) {
			require(known.contains(names.get(i)), path + "[" + i + "]", "'" + names.get(i) + "' is not " + expected);
		}
	}

	private Set<String> names(String path, List<String> names) {
		Set<String> seen = new HashSet<>();
		for (int i = 0; i < names.size(); i++) {
			String name = names.get(i);
			String at = path + "[" + i + "].id";
			require(name != null && name.matches(NAME), at, "'" + name + "' is not a name of a-z, 0-9, '.' and '-'");
			require(seen.add(name), at, "'" + name + "' is used twice");
		}
		return seen;
	}

	private void require(boolean holds, String path, String reason) {
		if (!holds) {
			fault(path, reason);
		}
	}

	private void fault(String path, String reason) {
		this.faults.add(DocumentFault.of(path, reason));
	}

}
