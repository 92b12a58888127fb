package org.monsoonvalve.entry.version;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.monsoonvalve.core.version.Configuration;
import org.monsoonvalve.core.version.GroupTable;
import org.monsoonvalve.core.version.Inventory;
import org.monsoonvalve.core.version.PoolKind;

/**
 * The targets of each pool for one version of the configuration.
 *
 * @author monsoonvalve maintainers
 */
public final class TargetTable {

	private final Configuration configuration;

	private final Map<String, List<Target>> targets;

	private TargetTable(Configuration configuration, Map<String, List<Target>> targets) {
		this.configuration = configuration;
		this.targets = targets;
	}

	/**
	 * Compiles the targets of a configuration.
	 * @param configuration the configuration
	 * @return the table
	 */
	public static TargetTable of(Configuration configuration) {
		Map<String, List<Target>> targets = configuration.inventory()
			.pools()
			.stream()
			.collect(Collectors.toMap(Inventory.Pool::id, (pool) -> targetsOf(configuration, pool)));
		return new TargetTable(configuration, targets);
	}

	/**
	 * Returns the table for a configuration, compiling it when the configuration changed.
	 * @param cache keeps the last table
	 * @param configuration the configuration in force
	 * @return the table
	 */
	public static TargetTable cached(AtomicReference<TargetTable> cache, Configuration configuration) {
		TargetTable last = cache.get();
		if (last != null && last.configuration == configuration) {
			return last;
		}
		TargetTable fresh = of(configuration);
		cache.set(fresh);
		return fresh;
	}

	/**
	 * Returns the targets of a pool that operators have in service.
	 * @param pool the pool's name
	 * @param leaving tells which VMs are about to be taken away
	 * @return the targets
	 */
	public List<Target> inService(String pool, Predicate<String> leaving) {
		return this.targets.getOrDefault(pool, List.of())
			.stream()
			.filter((target) -> inService(target, leaving))
			.toList();
	}

	private boolean inService(Target target, Predicate<String> leaving) {
		return target.members().stream().allMatch((vm) -> this.configuration.inService(vm) && !leaving.test(vm.id()));
	}

	/**
	 * Tells whether a target that was chosen earlier may still be sent to.
	 * @param target the target
	 * @param leaving tells which VMs are about to be taken away
	 * @return {@code true} if the configuration still has it, in service
	 */
	public boolean stillInService(Target target, Predicate<String> leaving) {
		return this.targets.getOrDefault(target.pool().id(), List.of())
			.stream()
			.anyMatch((known) -> sameMembers(known, target) && inService(known, leaving));
	}

	private static boolean sameMembers(Target known, Target target) {
		return known.id().equals(target.id()) && known.members().equals(target.members())
				&& known.group().equals(target.group());
	}

	private static List<Target> targetsOf(Configuration configuration, Inventory.Pool pool) {
		if (pool.kind() == PoolKind.SERVICE) {
			return configuration.vmsOf(pool.id()).stream().map((vm) -> Target.of(pool, vm)).toList();
		}
		return configuration.groups()
			.values()
			.stream()
			.flatMap((table) -> table.groups().stream())
			.filter((group) -> group.pool().equals(pool.id()))
			.flatMap((group) -> targetOf(configuration, pool, group))
			.toList();
	}

	private static Stream<Target> targetOf(Configuration configuration, Inventory.Pool pool, GroupTable.Group group) {
		List<Inventory.Vm> members = group.members()
			.stream()
			.map(configuration.vms()::get)
			.filter(Objects::nonNull)
			.toList();
		boolean whole = members.size() == group.members().size();
		return whole ? Stream.of(Target.of(pool, group, members)) : Stream.empty();
	}

}
