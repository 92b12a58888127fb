package org.monsoonvalve.controller.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.monsoonvalve.core.version.Configuration;
import org.monsoonvalve.core.version.GroupTable;
import org.monsoonvalve.core.version.Inventory;
import org.monsoonvalve.core.version.PoolKind;

/**
 * Chooses the engines that load model weights next. The weight store is rate-limited, so
 * loads are ordered to complete one group after another, with spare VMs last.
 *
 * @author monsoonvalve maintainers
 */
public final class LoadPlanner {

	private final Configuration configuration;

	private final GroupTable table;

	private final Map<String, VmView> viewsById;

	private LoadPlanner(Configuration configuration, GroupTable table, Map<String, VmView> views) {
		this.configuration = configuration;
		this.table = table;
		this.viewsById = views;
	}

	/**
	 * Returns the loads to order now.
	 * @param configuration the configuration in force
	 * @param table the replica groups
	 * @param observations the views of the availability zone's VMs
	 * @return the loads, pool by pool; within a pool, those that need no weights from the
	 * weight store come first, and the others are limited to its maximum of concurrent
	 * loads
	 */
	public static List<Load> next(Configuration configuration, GroupTable table, List<VmView> observations) {
		Map<String, VmView> views = observations.stream()
			.collect(Collectors.toMap((view) -> view.vm().id(), Function.identity(), (first, second) -> first));
		LoadPlanner planner = new LoadPlanner(configuration, table, views);
		return configuration.inventory()
			.pools()
			.stream()
			.filter((pool) -> pool.kind() == PoolKind.MODEL)
			.flatMap((pool) -> planner.next(pool).stream())
			.toList();
	}

	private List<Load> next(Inventory.Pool pool) {
		List<Load> pending = new ArrayList<>();
		this.table.groups()
			.stream()
			.filter((group) -> group.pool().equals(pool.id()))
			.forEach((group) -> pending.addAll(groupLoads(group)));
		if (this.configuration.rules().groupPolicy().preloadsWeights()) {
			pending.sort(Comparator.comparingLong(this::loadsUntilComplete));
			pending.addAll(spareLoads(pool));
		}
		List<Load> chosen = new ArrayList<>(pending.stream().filter((load) -> !needsWeights(load, pool)).toList());
		pending.stream().filter((load) -> needsWeights(load, pool)).limit(availableLoads(pool)).forEach(chosen::add);
		return chosen;
	}

	private List<Load> groupLoads(GroupTable.Group group) {
		return group.members()
			.stream()
			.map(this.viewsById::get)
			.filter((view) -> view != null && view.status().isPresent() && !view.isAssignedTo(group))
			.map((view) -> new Load(view, Optional.of(group)))
			.toList();
	}

	private List<Load> spareLoads(Inventory.Pool pool) {
		return this.viewsById.values()
			.stream()
			.filter((view) -> view.vm().pool().equals(pool.id()) && view.usable() && this.table.free(view.vm().id()))
			.filter((view) -> !view.hasLoaded(pool.modelName()))
			.sorted(Comparator.comparing((view) -> view.vm().id()))
			.map((view) -> new Load(view, Optional.empty()))
			.toList();
	}

	private long loadsUntilComplete(Load load) {
		return load.group()
			.map((group) -> group.members()
				.stream()
				.map(this.viewsById::get)
				.filter((view) -> view == null || !view.hasLoaded(group.modelName()))
				.count())
			.orElse(Long.MAX_VALUE);
	}

	private static boolean needsWeights(Load load, Inventory.Pool pool) {
		return !load.view().hasLoaded(pool.modelName());
	}

	private long availableLoads(Inventory.Pool pool) {
		if (pool.maxLoads() == 0) {
			return Long.MAX_VALUE;
		}
		long loading = this.table.groups()
			.stream()
			.filter((group) -> group.pool().equals(pool.id()))
			.flatMap((group) -> group.members()
				.stream()
				.map(this.viewsById::get)
				.filter((view) -> view != null && view.isAssignedTo(group) && !view.hasLoaded(group.modelName())))
			.count();
		return Math.max(0, pool.maxLoads() - loading);
	}

	/**
	 * A load order for an engine.
	 *
	 * @param view the engine's VM
	 * @param group the group that it joins, empty for a spare VM
	 */
	public record Load(VmView view, Optional<GroupTable.Group> group) {

	}

}
