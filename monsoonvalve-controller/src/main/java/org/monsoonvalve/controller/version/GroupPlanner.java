package org.monsoonvalve.controller.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.monsoonvalve.core.process.Mechanism;
import org.monsoonvalve.core.version.Configuration;
import org.monsoonvalve.core.version.GroupPolicy;
import org.monsoonvalve.core.version.GroupTable;
import org.monsoonvalve.core.version.Inventory;
import org.monsoonvalve.core.version.PoolKind;
import org.monsoonvalve.core.version.Rules;

/**
 * Plans the replica groups of one availability zone as a pure function of the
 * configuration, the present groups, the observations and the time. A VM that leaves a
 * group joins another one only after it has confirmed that it unloaded, or no longer
 * exists.
 *
 * @author monsoonvalve maintainers
 */
public final class GroupPlanner {

	/** How long a member may be silent before it counts as lost, in milliseconds. */
	public static final long LOST_MILLIS = 3000;

	/**
	 * How long a VM whose engine ignores fencing numbers stays out of groups after its
	 * release, in milliseconds: the controller's lease and the longest order.
	 */
	public static final long UNFENCED_QUARANTINE_MILLIS = 8000;

	private final Configuration configuration;

	private final String zone;

	private final Map<String, VmView> views;

	private final long nowMillis;

	private final List<GroupPlan.Change> changes = new ArrayList<>();

	private final List<GroupTable.Group> groups = new ArrayList<>();

	private final List<GroupTable.Release> releasing = new ArrayList<>();

	private long lastFence;

	private GroupPlanner(Configuration configuration, String zone, Map<String, VmView> views, long nowMillis) {
		this.configuration = configuration;
		this.zone = zone;
		this.views = views;
		this.nowMillis = nowMillis;
	}

	/**
	 * Plans the next version of the groups.
	 * @param configuration the configuration in force
	 * @param table the present groups
	 * @param observations what is known of the availability zone's VMs
	 * @param nowMillis the time, in milliseconds since the epoch
	 * @return the plan
	 */
	public static GroupPlan plan(Configuration configuration, GroupTable table, List<VmView> observations,
			long nowMillis) {
		Map<String, VmView> views = observations.stream()
			.collect(Collectors.toMap((view) -> view.vm().id(), Function.identity(), (first, second) -> first,
					LinkedHashMap::new));
		GroupPlanner planner = new GroupPlanner(configuration, table.zone(), views, nowMillis);
		return planner.run(table);
	}

	private GroupPlan run(GroupTable table) {
		this.lastFence = table.lastFence();
		table.releasing().forEach(this::keepOrDropRelease);
		table.groups().forEach(this::keepOrDissolve);
		modelPools().forEach(this::repair);
		modelPools().forEach(this::form);
		return new GroupPlan(new GroupTable(this.zone, this.lastFence, this.groups, this.releasing), this.changes);
	}

	private List<Inventory.Pool> modelPools() {
		return this.configuration.inventory().pools().stream().filter((pool) -> pool.kind() == PoolKind.MODEL).toList();
	}

	private void keepOrDropRelease(GroupTable.Release release) {
		VmView view = this.views.get(release.vm());
		boolean gone = view == null || view.released(release);
		boolean fenced = view == null || view.destroyed() || view.vm().honoursFencing()
				|| this.nowMillis - release.sinceMillis() >= UNFENCED_QUARANTINE_MILLIS;
		if ((gone && fenced) || !Mechanism.UNLOAD_CONFIRMATION.on()) {
			change(GroupPlan.ChangeKind.RELEASED, release.vm(), release.fence(), "unloaded or gone");
		}
		else {
			this.releasing.add(release);
		}
	}

	private void keepOrDissolve(GroupTable.Group group) {
		Optional<String> reason = reasonToDissolve(group);
		if (reason.isEmpty()) {
			this.groups.add(group);
			return;
		}
		dissolve(group, reason.get());
	}

	private void dissolve(GroupTable.Group group, String reason) {
		this.lastFence++;
		long fence = this.lastFence;
		group.members().forEach((vm) -> this.releasing.add(new GroupTable.Release(vm, fence, this.nowMillis)));
		change(GroupPlan.ChangeKind.DISSOLVED, group.id(), group.fence(), reason);
	}

	private Optional<String> reasonToDissolve(GroupTable.Group group) {
		Inventory.Pool pool = this.configuration.pools().get(group.pool());
		if (pool == null || pool.kind() != PoolKind.MODEL) {
			return Optional.of("its pool is gone");
		}
		if (!Objects.equals(pool.model(), group.model()) || !Objects.equals(pool.version(), group.version())) {
			return Optional.of("its pool carries another model or version");
		}
		if (pool.vmsPerGroup() != group.members().size()) {
			return Optional.of("its pool's groups have another size");
		}
		boolean foreign = group.members().stream().anyMatch((vm) -> !mayServe(vm, group.pool()));
		return foreign ? Optional.of("a member left the pool or was called back by its owner") : Optional.empty();
	}

	private boolean mayServe(String vm, String pool) {
		VmView view = this.views.get(vm);
		return view != null
				&& (view.vm().pool().equals(pool) || lendings(view.vm().pool(), pool).findFirst().isPresent());
	}

	private Stream<Rules.Lending> lendings(String from, String to) {
		return this.configuration.rules()
			.lending()
			.stream()
			.filter((lending) -> !lending.recalled() && lending.from().equals(from) && lending.to().equals(to));
	}

	private void repair(Inventory.Pool pool) {
		GroupPolicy policy = this.configuration.rules().groupPolicy();
		List<GroupTable.Group> broken = this.groups.stream()
			.filter((group) -> group.pool().equals(pool.id()))
			.filter((group) -> group.members().stream().anyMatch(this::lost))
			.toList();
		for (GroupTable.Group group : broken) {
			if (!this.groups.contains(group)) {
				continue;
			}
			if (policy.replacesMembers() || group.members().stream().anyMatch(this::goneForGood)) {
				replaceLost(group, pool, policy);
			}
		}
	}

	private void replaceLost(GroupTable.Group group, Inventory.Pool pool, GroupPolicy policy) {
		List<String> survivors = group.members().stream().filter((vm) -> !lost(vm)).toList();
		List<String> lost = group.members().stream().filter(this::lost).toList();
		List<VmView> spares = replacements(pool, survivors, lost.size(), policy);
		if (spares.size() == lost.size() && !survivors.isEmpty()) {
			List<String> members = new ArrayList<>(survivors);
			spares.forEach((spare) -> members.add(spare.vm().id()));
			this.groups.remove(group);
			this.lastFence++;
			lost.forEach((vm) -> this.releasing.add(new GroupTable.Release(vm, this.lastFence, this.nowMillis)));
			add(new GroupTable.Group(group.id(), pool.id(), pool.model(), pool.version(), this.lastFence, members));
		}
		else if (!takeBackLent(pool)) {
			dissolveForOthers(group, pool, lost.size());
		}
	}

	/**
	 * Dissolves a broken group when its survivors can repair another broken one. The sum
	 * of both groups' downtime gets shorter: one is whole at once, and the other waits
	 * for the later of the lost members instead of the earlier.
	 * @param group a broken group that no free VM repairs
	 * @param pool its pool
	 * @param missing how many members it has lost
	 */
	private void dissolveForOthers(GroupTable.Group group, Inventory.Pool pool, int missing) {
		Optional<GroupTable.Group> donor = this.groups.stream()
			.filter((other) -> !other.equals(group) && other.pool().equals(pool.id()))
			.filter((other) -> other.members().stream().anyMatch(this::lost))
			.filter((other) -> survivorsOf(other) >= missing)
			.min(Comparator.comparingLong(this::survivorsOf));
		boolean coming = this.releasing.stream().anyMatch((release) -> comingFree(release, pool));
		if (donor.isPresent() && !coming) {
			this.groups.remove(donor.get());
			dissolve(donor.get(), "its survivors repair " + group.id());
		}
	}

	private long survivorsOf(GroupTable.Group group) {
		return group.members().stream().filter((vm) -> !lost(vm)).count();
	}

	private boolean comingFree(GroupTable.Release release, Inventory.Pool pool) {
		VmView view = this.views.get(release.vm());
		return view != null && view.vm().pool().equals(pool.id()) && view.usable();
	}

	/**
	 * Dissolves a group that uses VMs of a pool whose owner needs them.
	 * @param owner the pool that owns the VMs
	 * @return {@code true} if VMs are on their way back
	 */
	private boolean takeBackLent(Inventory.Pool owner) {
		Optional<GroupTable.Group> borrowing = this.groups.stream()
			.filter((group) -> !group.pool().equals(owner.id()))
			.filter((group) -> group.members().stream().anyMatch((vm) -> ownedBy(vm, owner)))
			.findFirst();
		borrowing.ifPresent((group) -> {
			this.groups.remove(group);
			dissolve(group, "pool " + owner.id() + " needs its VMs back");
		});
		return borrowing.isPresent() || this.releasing.stream()
			.anyMatch((release) -> ownedBy(release.vm(), owner) && this.views.get(release.vm()).status().isPresent());
	}

	private boolean ownedBy(String vm, Inventory.Pool pool) {
		return this.views.containsKey(vm) && this.views.get(vm).vm().pool().equals(pool.id());
	}

	private List<VmView> replacements(Inventory.Pool pool, List<String> survivors, int count, GroupPolicy policy) {
		List<String> domains = survivors.stream()
			.map((vm) -> this.views.get(vm).vm().fabricDomain())
			.distinct()
			.toList();
		return freeVms(pool).stream()
			.filter((view) -> !policy.oneDomainOnly() || domains.contains(view.vm().fabricDomain()))
			.sorted(Comparator.comparing((VmView view) -> !domains.contains(view.vm().fabricDomain())))
			.limit(count)
			.toList();
	}

	private boolean lost(String vm) {
		VmView view = this.views.get(vm);
		return view == null || view.destroyed() || view.leaving() || view.missingMillis() > LOST_MILLIS;
	}

	private boolean goneForGood(String vm) {
		VmView view = this.views.get(vm);
		return view == null || view.destroyed() || view.leaving();
	}

	private void form(Inventory.Pool pool) {
		GroupPolicy policy = this.configuration.rules().groupPolicy();
		List<VmView> free = new ArrayList<>(freeVms(pool));
		int kept = toLend(pool);
		free = new ArrayList<>(free.subList(0, Math.max(0, free.size() - kept)));
		free.addAll(borrowed(pool));
		boolean hasGroups = this.groups.stream().anyMatch((group) -> group.pool().equals(pool.id()));
		while (free.size() >= pool.vmsPerGroup() + ((hasGroups) ? policy.sparesPerPool() : 0)) {
			List<VmView> chosen = choose(free, pool.vmsPerGroup(), policy);
			if (chosen.isEmpty()) {
				return;
			}
			this.lastFence++;
			String id = this.zone + "-" + pool.id() + "-" + this.lastFence;
			add(new GroupTable.Group(id, pool.id(), pool.model(), pool.version(), this.lastFence,
					chosen.stream().map((view) -> view.vm().id()).toList()));
			free.removeAll(chosen);
			hasGroups = true;
		}
	}

	/**
	 * Counts the free VMs that a pool leaves to its borrowers.
	 * @param pool the owner
	 * @return the number of VMs still to be lent
	 */
	private int toLend(Inventory.Pool pool) {
		return this.configuration.rules()
			.lending()
			.stream()
			.filter((lending) -> !lending.recalled() && lending.from().equals(pool.id()))
			.mapToInt((lending) -> Math.max(0, lending.vmsPerZone() - lent(pool, lending.to())))
			.sum();
	}

	private int lent(Inventory.Pool owner, String borrower) {
		return (int) this.groups.stream()
			.filter((group) -> group.pool().equals(borrower))
			.flatMap((group) -> group.members().stream())
			.filter((vm) -> ownedBy(vm, owner))
			.count();
	}

	private List<VmView> borrowed(Inventory.Pool borrower) {
		return this.configuration.inventory()
			.pools()
			.stream()
			.flatMap((owner) -> lendings(owner.id(), borrower.id()).flatMap((lending) -> freeVms(owner).stream()
				.limit(Math.max(0, lending.vmsPerZone() - lent(owner, borrower.id())))))
			.toList();
	}

	private static List<VmView> choose(List<VmView> free, int size, GroupPolicy policy) {
		if (policy == GroupPolicy.BASELINE) {
			return free.subList(0, size).stream().toList();
		}
		Map<String, List<VmView>> byDomain = free.stream()
			.collect(
					Collectors.groupingBy((view) -> view.vm().fabricDomain(), LinkedHashMap::new, Collectors.toList()));
		Optional<List<VmView>> fitting = byDomain.values()
			.stream()
			.filter((domain) -> domain.size() >= size)
			.min(Comparator.comparingInt(List::size));
		if (fitting.isPresent()) {
			return fitting.get().subList(0, size).stream().toList();
		}
		if (policy.oneDomainOnly()) {
			return List.of();
		}
		return byDomain.values()
			.stream()
			.sorted(Comparator.comparingInt((List<VmView> domain) -> -domain.size()))
			.flatMap(List::stream)
			.limit(size)
			.toList();
	}

	private List<VmView> freeVms(Inventory.Pool pool) {
		return this.views.values()
			.stream()
			.filter((view) -> view.vm().pool().equals(pool.id()) && view.usable())
			.filter((view) -> free(view.vm().id()))
			.toList();
	}

	private boolean free(String vm) {
		return this.groups.stream().noneMatch((group) -> group.members().contains(vm))
				&& this.releasing.stream().noneMatch((release) -> release.vm().equals(vm));
	}

	private void add(GroupTable.Group group) {
		this.groups.add(group);
		change(GroupPlan.ChangeKind.FORMED, group.id(), group.fence(), String.join(",", group.members()));
	}

	private void change(GroupPlan.ChangeKind kind, String name, long fence, String detail) {
		this.changes.add(new GroupPlan.Change(kind, name, fence, detail));
	}

}
