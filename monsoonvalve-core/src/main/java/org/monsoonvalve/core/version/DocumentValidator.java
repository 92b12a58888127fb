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
 * Validates documents written by operators and reports all errors of a document at once.
 *
 * @author monsoonvalve maintainers
 */
public final class DocumentValidator {

	private static final String NAME_PATTERN = "[a-z0-9][a-z0-9.-]{0,62}";

	private static final String SHA256_PATTERN = "[0-9a-f]{64}";

	private static final int MAX_VMS_PER_GROUP = 64;

	private final List<DocumentFault> faults = new ArrayList<>();

	private DocumentValidator() {
	}

	/**
	 * Validates an inventory or rules document.
	 * @param key the document's key
	 * @param text the document's YAML text
	 * @param current the configuration that the document would change
	 * @return the validation errors, empty if the document is valid
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
				validator.addFault("$", "only the inventory and the rules can be changed by operators");
			}
		}
		catch (ServingException ex) {
			validator.addFault("$", ex.getMessage());
		}
		return List.copyOf(validator.faults);
	}

	private void checkInventory(Inventory inventory) {
		Set<String> zones = checkNames("availabilityZones",
				inventory.availabilityZones().stream().map(Inventory.Zone::id).toList());
		Set<String> pools = checkNames("pools", inventory.pools().stream().map(Inventory.Pool::id).toList());
		checkNames("vms", inventory.vms().stream().map(Inventory.Vm::id).toList());
		if (zones.isEmpty()) {
			addFault("availabilityZones", "at least one availability zone is required");
		}
		for (int i = 0; i < inventory.pools().size(); i++) {
			checkPool("pools[" + i + "]", inventory.pools().get(i));
		}
		Set<Object> addresses = new HashSet<>();
		for (int i = 0; i < inventory.vms().size(); i++) {
			Inventory.Vm vm = inventory.vms().get(i);
			String path = "vms[" + i + "]";
			require(zones.contains(vm.availabilityZone()), path + ".availabilityZone",
					"'" + vm.availabilityZone() + "' is not an availability zone defined in this document");
			require(pools.contains(vm.pool()), path + ".pool",
					"'" + vm.pool() + "' is not a pool defined in this document");
			require(vm.address() != null, path + ".address", "an IP address and a port are required");
			require(vm.address() == null || addresses.add(vm.address()), path + ".address",
					"'" + vm.address() + "' is used more than once");
			require(vm.accelerators() >= 0, path + ".accelerators", "must be 0 or greater");
		}
	}

	private void checkPool(String path, Inventory.Pool pool) {
		require(pool.kind() != null, path + ".kind", "must be 'model' or 'service'");
		require(pool.coldSlots() >= 1, path + ".coldSlots", "must be 1 or greater");
		require(pool.maxConcurrent() >= pool.coldSlots(), path + ".maxConcurrent", "must be at least coldSlots");
		require(pool.vmsPerGroup() >= 1 && pool.vmsPerGroup() <= MAX_VMS_PER_GROUP, path + ".vmsPerGroup",
				"must be between 1 and " + MAX_VMS_PER_GROUP);
		require(pool.maxLoads() >= 0, path + ".maxLoads", "must be 0 or greater");
		if (pool.kind() == PoolKind.MODEL) {
			require(pool.model() != null && !pool.model().isBlank(), path + ".model", "a model name is required");
			require(pool.version() != null && !pool.version().isBlank(), path + ".version", "a version is required");
		}
	}

	private void checkRules(Rules rules, Inventory inventory) {
		Set<String> zones = new HashSet<>(inventory.availabilityZones().stream().map(Inventory.Zone::id).toList());
		Set<String> vms = new HashSet<>(inventory.vms().stream().map(Inventory.Vm::id).toList());
		Set<String> pools = new HashSet<>(inventory.pools().stream().map(Inventory.Pool::id).toList());
		checkReferences("zonesOut", rules.zonesOut(), zones, "an availability zone of the inventory");
		checkReferences("endpointsOut", rules.endpointsOut(), vms, "a VM of the inventory");
		checkNames("workspaces", rules.workspaces().stream().map(Rules.Workspace::id).toList());
		Set<String> keys = new HashSet<>();
		for (int i = 0; i < rules.workspaces().size(); i++) {
			Rules.Workspace workspace = rules.workspaces().get(i);
			String path = "workspaces[" + i + "]";
			String key = workspace.keySha256();
			require(key != null && key.matches(SHA256_PATTERN), path + ".keySha256",
					"must be 64 lowercase hexadecimal digits");
			require(key == null || keys.add(key), path + ".keySha256", "another workspace has the same key");
			require(workspace.weight() >= 1, path + ".weight", "must be 1 or greater");
			require(workspace.maxQueued() >= 0, path + ".maxQueued", "must be 0 or greater");
			require(workspace.pools() != null, path + ".pools", "a list of pools is required");
			checkReferences(path + ".pools", (workspace.pools() != null) ? workspace.pools() : List.of(), pools,
					"a pool of the inventory");
		}
		checkLending(rules, pools);
		for (int i = 0; i < rules.nonRepeatable().size(); i++) {
			Rules.NonRepeatable call = rules.nonRepeatable().get(i);
			String path = "nonRepeatable[" + i + "]";
			require(pools.contains(call.pool()), path + ".pool",
					"'" + call.pool() + "' is not a pool of the inventory");
			require(call.method() != null && call.method().matches("\\*|[A-Z]+"), path + ".method",
					"must be an HTTP method in upper case or '*'");
			require(call.pathPrefix() != null && call.pathPrefix().startsWith("/"), path + ".pathPrefix",
					"must be a path that starts with '/'");
		}
	}

	private void checkLending(Rules rules, Set<String> pools) {
		for (int i = 0; i < rules.lending().size(); i++) {
			Rules.Lending lending = rules.lending().get(i);
			String path = "lending[" + i + "]";
			require(pools.contains(lending.from()), path + ".from",
					"'" + lending.from() + "' is not a pool of the inventory");
			require(pools.contains(lending.to()), path + ".to",
					"'" + lending.to() + "' is not a pool of the inventory");
			require(!Objects.equals(lending.from(), lending.to()), path + ".to", "a pool cannot lend VMs to itself");
			require(lending.vmsPerZone() >= 1, path + ".vmsPerZone", "must be 1 or greater");
		}
	}

	private void checkReferences(String path, List<String> names, Set<String> defined, String expected) {
		for (int i = 0; i < names.size(); i++) {
			require(defined.contains(names.get(i)), path + "[" + i + "]", "'" + names.get(i) + "' is not " + expected);
		}
	}

	private Set<String> checkNames(String path, List<String> names) {
		Set<String> seen = new HashSet<>();
		for (int i = 0; i < names.size(); i++) {
			String name = names.get(i);
			String idPath = path + "[" + i + "].id";
			require(name != null && name.matches(NAME_PATTERN), idPath,
					"'" + name + "' is not a valid name: expected up to 63 characters of a-z, 0-9, '.' and '-', "
							+ "the first a letter or digit");
			require(seen.add(name), idPath, "'" + name + "' is used more than once");
		}
		return seen;
	}

	private void require(boolean condition, String path, String reason) {
		if (!condition) {
			addFault(path, reason);
		}
	}

	private void addFault(String path, String reason) {
		this.faults.add(DocumentFault.of(path, reason));
	}

}
