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
 * An immutable snapshot of the inventory, rules and group tables with indexes for lookup.
 * Every change of a document replaces the whole snapshot.
 *
 * @author monsoonvalve maintainers
 * @param inventoryRevision the inventory's revision, 0 if no inventory was received
 * @param rulesRevision the rules' revision, 0 if no rules were received
 * @param inventory the inventory
 * @param rules the rules
 * @param groups the group tables by availability zone
 * @param vms the VMs by name
 * @param pools the pools by name
 * @param workspaces the workspaces by the SHA-256 hash of their key
 */
public record Configuration(long inventoryRevision, long rulesRevision, Inventory inventory, Rules rules,
		Map<String, GroupTable> groups, Map<String, Inventory.Vm> vms, Map<String, Inventory.Pool> pools,
		Map<String, Rules.Workspace> workspaces) {

	/**
	 * Compiles the documents of a store.
	 * @param store the store to read
	 * @return the compiled configuration
	 */
	public static Configuration of(DocumentStore store) {
		Inventory inventory = store.get(DocumentKey.INVENTORY)
			.map((document) -> decode(document, Inventory.class))
			.orElseGet(Inventory::empty);
		Rules rules = store.get(DocumentKey.RULES)
			.map((document) -> decode(document, Rules.class))
			.orElseGet(Rules::empty);
		Map<String, GroupTable> groups = new HashMap<>();
		store.all()
			.stream()
			.filter((document) -> document.key().isGroups())
			.map(GroupTable::decode)
			.forEach((table) -> groups.put(table.zone(), table));
		return new Configuration(store.revision(DocumentKey.INVENTORY), store.revision(DocumentKey.RULES), inventory,
				rules, Map.copyOf(groups), indexBy(inventory.vms(), Inventory.Vm::id),
				indexBy(inventory.pools(), Inventory.Pool::id),
				indexBy(rules.workspaces(), Rules.Workspace::keySha256));
	}

	/**
	 * Returns a configuration compiled from no documents.
	 * @return the empty configuration
	 */
	public static Configuration empty() {
		return of(DocumentStore.empty());
	}

	/**
	 * Returns whether both the inventory and the rules were received.
	 * @return {@code true} if requests can be admitted or rejected
	 */
	public boolean ready() {
		return this.inventoryRevision > 0 && this.rulesRevision > 0;
	}

	/**
	 * Returns whether the operators' rules allow a VM to receive new requests.
	 * @param vm the VM
	 * @return {@code false} if the VM or its availability zone is out of service
	 */
	public boolean inService(Inventory.Vm vm) {
		return !this.rules.zonesOut().contains(vm.availabilityZone()) && !this.rules.endpointsOut().contains(vm.id());
	}

	/**
	 * Finds the entry process for which cold-start slots are reserved in an availability
	 * zone.
	 * @param zone the availability zone's name
	 * @return the entry process's name, if the inventory names one
	 */
	public Optional<String> coldReserve(String zone) {
		return this.inventory.availabilityZones()
			.stream()
			.filter((candidate) -> candidate.id().equals(zone))
			.findFirst()
			.map(Inventory.Zone::coldReserve);
	}

	/**
	 * Finds the pool that serves a model.
	 * @param model the name of the model or of its pool
	 * @return the pool, if a model pool matches
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
	 * @return the VMs that the pool owns, in inventory order
	 */
	public List<Inventory.Vm> vmsOf(String pool) {
		return this.inventory.vms().stream().filter((vm) -> vm.pool().equals(pool)).toList();
	}

	private static <T> T decode(VersionedDocument document, Class<T> type) {
		return Codec.YAML.decode(document.envelope().text().getBytes(StandardCharsets.UTF_8), type);
	}

	private static <T> Map<String, T> indexBy(List<T> list, Function<T, String> key) {
		return list.stream().collect(Collectors.toUnmodifiableMap(key, Function.identity(), (first, second) -> first));
	}

}
