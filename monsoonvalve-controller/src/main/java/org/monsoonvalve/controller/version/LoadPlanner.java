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
 * Chooses which engines are ordered to load next, so that the rate-limited weight store
 * completes groups one after another and spares come last.
 *
 * @author monsoonvalve maintainers
 */
public final class LoadPlanner {

	private final Configuration configuration;

	private final GroupTable table;

	private final Map<String, VmView> views;

	private LoadPlanner(Configuration configuration, GroupTable table, Map<String, VmView> views) {
		this.configuration = configuration;
		this.table = table;
		this.views = views;
	}

	/**
	 * Chooses the engines to be ordered now.
	 * @param configuration the configuration in force
	 * @param table the replica groups
	 * @param observations what is known of the availability zone's VMs
	 * @return the loads, the most urgent first
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
		List<Load> wanted = new ArrayList<>();
		this.table.groups()
			.stream()
			.filter((group) -> group.pool().equals(pool.id()))
			.forEach((group) -> wanted.addAll(loadsOf(group)));
		if (this.configuration.rules().groupPolicy().preloadsWeights()) {
			wanted.sort(Comparator.comparingLong(this::loadsUntilComplete));
			wanted.addAll(spares(pool));
		}
		List<Load> chosen = new ArrayList<>(wanted.stream().filter((load) -> !costly(load, pool)).toList());
		wanted.stream().filter((load) -> costly(load, pool)).limit(roomFor(pool)).forEach(chosen::add);
		return chosen;
	}

	private List<Load> loadsOf(GroupTable.Group group) {
		return group.members()
			.stream()
			.map(this.views::get)
			.filter((view) -> view != null && view.status().isPresent() && !view.follows(group))
			.map((view) -> new Load(view, Optional.of(group)))
			.toList();
	}

	private List<Load> spares(Inventory.Pool pool) {
		return this.views.values()
			.stream()
			.filter((view) -> view.vm().pool().equals(pool.id()) && view.usable() && this.table.free(view.vm().id()))
			.filter((view) -> !view.holds(pool.modelName()))
			.sorted(Comparator.comparing((view) -> view.vm().id()))
			.map((view) -> new Load(view, Optional.empty()))
			.toList();
	}

	private long loadsUntilComplete(Load load) {
		return load.group()
			.map((group) -> group.members()
				.stream()
				.map(this.views::get)
				.filter((view) -> view == null || !view.holds(group.modelName()))
				.count())
			.orElse(Long.MAX_VALUE);
	}

	private static boolean costly(Load load, Inventory.Pool pool) {
		return !load.view().holds(pool.modelName());
	}

	private long roomFor(Inventory.Pool pool) {
		if (pool.maxLoads() == 0) {
			return Long.MAX_VALUE;
		}
		long loading = this.table.groups()
			.stream()
			.filter((group) -> group.pool().equals(pool.id()))
			.flatMap((group) -> group.members()
				.stream()
				.map(this.views::get)
				.filter((view) -> view != null && view.follows(group) && !view.holds(group.modelName())))
			.count();
		return Math.max(0, pool.maxLoads() - loading);
	}

	/**
	 * An engine that is to load.
	 *
	 * @param view the engine's VM
	 * @param group the group that it joins, empty for a spare
	 */
	public record Load(VmView view, Optional<GroupTable.Group> group) {

	}

}
