package org.monsoonvalve.core.version;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.monsoonvalve.core.process.Codec;

/**
 * The compiled form of the newest documents, replaced as a whole on each change.
 *
 * @author monsoonvalve maintainers
 * @param inventoryRevision the inventory's revision, 0 if none was seen
 * @param rulesRevision the rules' revision, 0 if none was seen
 * @param inventory the inventory
 * @param rules the rules
 * @param groups the group tables by availability zone
 * @param vms the VMs by name
 * @param pools the pools by name
 * @param workspaces the workspaces by the SHA-256 of their key
 */
public record Configuration(long inventoryRevision, long rulesRevision, Inventory inventory, Rules rules,
		Map<String, GroupTable> groups, Map<String, Inventory.Vm> vms, Map<String, Inventory.Pool> pools,
		Map<String, Rules.Workspace> workspaces) {

	/**
	 * Compiles the documents of a store.
	 * @param store the store
	 * @return the configuration
	 */
	public static Configuration of(DocumentStore store) {
		Inventory inventory = store.get(DocumentKey.INVENTORY)
			.map((document) -> parse(document, Inventory.class))
			.orElseGet(Inventory::empty);
		Rules rules = store.get(DocumentKey.RULES)
			.map((document) -> parse(document, Rules.class))
			.orElseGet(Rules::empty);
		Map<String, GroupTable> groups = new HashMap<>();
		store.all()
			.stream()
			.filter((document) -> document.key().isGroups())
			.map(GroupTable::decode)
			.forEach((table) -> groups.put(table.zone(), table));
		return new Configuration(store.revision(DocumentKey.INVENTORY), store.revision(DocumentKey.RULES), inventory,
				rules, Map.copyOf(groups), index(inventory.vms(), Inventory.Vm::id),
				index(inventory.pools(), Inventory.Pool::id), index(rules.workspaces(), Rules.Workspace::keySha256));
	}

	/**
	 * Returns the configuration without documents.
	 * @return the empty configuration
	 */
	public static Configuration empty() {
		return of(DocumentStore.empty());
	}

	/**
	 * Tells whether inventory and rules are known.
	 * @return {@code true} if requests can be judged
	 */
	public boolean ready() {
		return this.inventoryRevision > 0 && this.rulesRevision > 0;
	}

	/**
	 * Tells whether a VM may receive new work as far as operators are concerned.
	 * @param vm the VM
	 * @return {@code false} if it or its availability zone is out of service
	 */
	public boolean inService(Inventory.Vm vm) {
		return !this.rules.zonesOut().contains(vm.availabilityZone()) && !this.rules.endpointsOut().contains(vm.id());
	}

	/**
	 * Finds the entry for which cold-start slots are reserved.
	 * @param zone the availability zone
	 * @return the entry's name, if operators named one
	 */
	public Optional<String> coldReserve(String zone) {
		return this.inventory.availabilityZones()
			.stream()
			.filter((known) -> known.id().equals(zone))
			.findFirst()
			.map(Inventory.Zone::coldReserve);
	}

	/**
	 * Finds the pool that carries a model.
	 * @param model the model's name, or the pool's
	 * @return the pool
	 */
	public Optional<Inventory.Pool> poolOfModel(String model) {
		return this.inventory.pools()
			.stream()
			.filter((pool) -> pool.kind() == PoolKind.MODEL)
			.filter((pool) -> pool.model().equals(model) || pool.id().equals(model))
			.findFirst();
	}

	/**
	 * Returns the VMs of a pool.
	 * @param pool the pool's name
	 * @return its VMs in inventory order
	 */
	public List<Inventory.Vm> vmsOf(String pool) {
		return this.inventory.vms().stream().filter((vm) -> vm.pool().equals(pool)).toList();
	}

	private static <T> T parse(VersionedDocument document, Class<T> type) {
		return Codec.YAML.decode(document.envelope().text().getBytes(StandardCharsets.UTF_8), type);
	}

	private static <T> Map<String, T> index(List<T> list, Function<T, String> key) {
		return list.stream().collect(Collectors.toUnmodifiableMap(key, Function.identity(), (first, second) -> first));
	}

}
