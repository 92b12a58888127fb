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
 * configuration, the current groups, the observed VMs and the time. A VM that leaves a
 * group can join another only after its endpoint reports that it has unloaded, or after
 * the VM has ceased to exist.
 *
 * @author monsoonvalve maintainers
 */
public final class GroupPlanner {

	/** Time without a response after which a member counts as lost, in milliseconds. */
	public static final long LOST_MILLIS = 3000;

	/**
	 * Time after its release for which a VM whose engine ignores fencing tokens stays out
	 * of groups, in milliseconds. It covers the controller's lease plus the longest
	 * order.
	 */
	public static final long UNFENCED_QUARANTINE_MILLIS = 8000;

	private final Configuration configuration;

	private final String zone;

	private final Map<String, VmView> viewsById;

	private final long nowMillis;

	private final List<GroupPlan.Change> changes = new ArrayList<>();

	private final List<GroupTable.Group> groups = new ArrayList<>();

	private final List<GroupTable.Release> releases = new ArrayList<>();

	private long lastFence;

	private GroupPlanner(Configuration configuration, String zone, Map<String, VmView> views, long nowMillis) {
		this.configuration = configuration;
		this.zone = zone;
		this.viewsById = views;
		this.nowMillis = nowMillis;
	}

	/**
	 * Plans the next version of the groups.
	 * @param configuration the configuration in force
	 * @param table the current groups
	 * @param observations the views of the availability zone's VMs
	 * @param nowMillis the wall-clock time, in milliseconds since the epoch
	 * @return the plan
	 */
	public static GroupPlan plan(Configuration configuration, GroupTable table, List<VmView> observations,
			long nowMillis) {
		Map<String, VmView> views = observations.stream()
			.collect(Collectors.toMap((view) -> view.vm().id(), Function.identity(), (first, second) -> first,
					LinkedHashMap::new));
		GroupPlanner planner = new GroupPlanner(configuration, table.zone(), views, nowMillis);
		return planner.buildPlan(table);
	}

	private GroupPlan buildPlan(GroupTable table) {
		this.lastFence = table.lastFence();
		table.releasing().forEach(this::keepOrCompleteRelease);
		table.groups().forEach(this::keepOrDissolve);
		modelPools().forEach(this::repairGroups);
		modelPools().forEach(this::formGroups);
		return new GroupPlan(new GroupTable(this.zone, this.lastFence, this.groups, this.releases), this.changes);
	}

	private List<Inventory.Pool> modelPools() {
		return this.configuration.inventory().pools().stream().filter((pool) -> pool.kind() == PoolKind.MODEL).toList();
	}

	private void keepOrCompleteRelease(GroupTable.Release release) {
		VmView view = this.viewsById.get(release.vm());
		boolean unloaded = view == null || view.released(release);
		boolean quarantineOver = view == null || view.destroyed() || view.vm().honoursFencing()
				|| this.nowMillis - release.sinceMillis() >= UNFENCED_QUARANTINE_MILLIS;
		if ((unloaded && quarantineOver) || !Mechanism.UNLOAD_CONFIRMATION.on()) {
			recordChange(GroupPlan.ChangeKind.RELEASED, release.vm(), release.fence(), "unloaded or no longer exists");
		}
		else {
			this.releases.add(release);
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
		group.members().forEach((vm) -> this.releases.add(new GroupTable.Release(vm, fence, this.nowMillis)));
		recordChange(GroupPlan.ChangeKind.DISSOLVED, group.id(), group.fence(), reason);
	}

	private Optional<String> reasonToDissolve(GroupTable.Group group) {
		Inventory.Pool pool = this.configuration.pools().get(group.pool());
		if (pool == null || pool.kind() != PoolKind.MODEL) {
			return Optional.of("its pool was removed or is no longer a model pool");
		}
		if (!Objects.equals(pool.model(), group.model()) || !Objects.equals(pool.version(), group.version())) {
			return Optional.of("the model or version of its pool changed");
		}
		if (pool.vmsPerGroup() != group.members().size()) {
			return Optional.of("the group size of its pool changed");
		}
		boolean ineligible = group.members().stream().anyMatch((vm) -> !canServe(vm, group.pool()));
		return ineligible ? Optional.of("a member left the pool or was recalled by the pool that owns it")
				: Optional.empty();
	}

	private boolean canServe(String vm, String pool) {
		VmView view = this.viewsById.get(vm);
		return view != null
				&& (view.vm().pool().equals(pool) || activeLendings(view.vm().pool(), pool).findFirst().isPresent());
	}

	private Stream<Rules.Lending> activeLendings(String from, String to) {
		return this.configuration.rules()
			.lending()
			.stream()
			.filter((lending) -> !lending.recalled() && lending.from().equals(from) && lending.to().equals(to));
	}

	private void repairGroups(Inventory.Pool pool) {
		GroupPolicy policy = this.configuration.rules().groupPolicy();
		List<GroupTable.Group> broken = this.groups.stream()
			.filter((group) -> group.pool().equals(pool.id()))
			.filter((group) -> group.members().stream().anyMatch(this::isLost))
			.toList();
		for (GroupTable.Group group : broken) {
			if (!this.groups.contains(group)) {
				continue;
			}
			if (policy.replacesMembers() || group.members().stream().anyMatch(this::isPermanentlyLost)) {
				replaceLostMembers(group, pool, policy);
			}
		}
	}

	private void replaceLostMembers(GroupTable.Group group, Inventory.Pool pool, GroupPolicy policy) {
		List<String> remaining = group.members().stream().filter((vm) -> !isLost(vm)).toList();
		List<String> lost = group.members().stream().filter(this::isLost).toList();
		List<VmView> replacementVms = findReplacements(pool, remaining, lost.size(), policy);
		if (replacementVms.size() == lost.size() && !remaining.isEmpty()) {
			List<String> members = new ArrayList<>(remaining);
			replacementVms.forEach((replacement) -> members.add(replacement.vm().id()));
			this.groups.remove(group);
			this.lastFence++;
			lost.forEach((vm) -> this.releases.add(new GroupTable.Release(vm, this.lastFence, this.nowMillis)));
			addGroup(
					new GroupTable.Group(group.id(), pool.id(), pool.model(), pool.version(), this.lastFence, members));
		}
		else if (!reclaimLentVms(pool)) {
			dissolveToRepair(group, pool, lost.size());
		}
	}

	/**
	 * Dissolves another broken group of the pool if its remaining members can replace the
	 * lost members of this one. This shortens the total downtime of both groups: one is
	 * complete at once, and the other waits for the later of the lost members to return
	 * instead of the earlier.
	 * @param group a broken group that free VMs cannot repair
	 * @param pool its pool
	 * @param missing the number of members it has lost
	 */
	private void dissolveToRepair(GroupTable.Group group, Inventory.Pool pool, int missing) {
		Optional<GroupTable.Group> donor = this.groups.stream()
			.filter((other) -> !other.equals(group) && other.pool().equals(pool.id()))
			.filter((other) -> other.members().stream().anyMatch(this::isLost))
			.filter((other) -> remainingCount(other) >= missing)
			.min(Comparator.comparingLong(this::remainingCount));
		boolean releasePending = this.releases.stream().anyMatch((release) -> isBeingReleased(release, pool));
		if (donor.isPresent() && !releasePending) {
			this.groups.remove(donor.get());
			dissolve(donor.get(), "its remaining members repair " + group.id());
		}
	}

	private long remainingCount(GroupTable.Group group) {
		return group.members().stream().filter((vm) -> !isLost(vm)).count();
	}

	private boolean isBeingReleased(GroupTable.Release release, Inventory.Pool pool) {
		VmView view = this.viewsById.get(release.vm());
		return view != null && view.vm().pool().equals(pool.id()) && view.usable();
	}

	/**
	 * Dissolves a group of another pool that uses VMs lent by a pool that needs them.
	 * @param owner the pool that owns the VMs
	 * @return {@code true} if lent VMs are being released
	 */
	private boolean reclaimLentVms(Inventory.Pool owner) {
		Optional<GroupTable.Group> borrowerGroup = this.groups.stream()
			.filter((group) -> !group.pool().equals(owner.id()))
			.filter((group) -> group.members().stream().anyMatch((vm) -> isOwnedBy(vm, owner)))
			.findFirst();
		borrowerGroup.ifPresent((group) -> {
			this.groups.remove(group);
			dissolve(group, "pool " + owner.id() + " reclaims its VMs");
		});
		return borrowerGroup.isPresent() || this.releases.stream()
			.anyMatch((release) -> isOwnedBy(release.vm(), owner)
					&& this.viewsById.get(release.vm()).status().isPresent());
	}

	private boolean isOwnedBy(String vm, Inventory.Pool pool) {
		return this.viewsById.containsKey(vm) && this.viewsById.get(vm).vm().pool().equals(pool.id());
	}

	private List<VmView> findReplacements(Inventory.Pool pool, List<String> remaining, int count, GroupPolicy policy) {
		List<String> domains = remaining.stream()
			.map((vm) -> this.viewsById.get(vm).vm().fabricDomain())
			.distinct()
			.toList();
		return freeVms(pool).stream()
			.filter((view) -> !policy.oneDomainOnly() || domains.contains(view.vm().fabricDomain()))
			.sorted(Comparator.comparing((VmView view) -> !domains.contains(view.vm().fabricDomain())))
			.limit(count)
			.toList();
	}

	private boolean isLost(String vm) {
		VmView view = this.viewsById.get(vm);
		return view == null || view.destroyed() || view.leaving() || view.missingMillis() > LOST_MILLIS;
	}

	private boolean isPermanentlyLost(String vm) {
		VmView view = this.viewsById.get(vm);
		return view == null || view.destroyed() || view.leaving();
	}

	private void formGroups(Inventory.Pool pool) {
		GroupPolicy policy = this.configuration.rules().groupPolicy();
		List<VmView> free = new ArrayList<>(freeVms(pool));
		int reserved = reservedForLending(pool);
		free = new ArrayList<>(free.subList(0, Math.max(0, free.size() - reserved)));
		free.addAll(borrowableVms(pool));
		boolean hasGroups = this.groups.stream().anyMatch((group) -> group.pool().equals(pool.id()));
		while (free.size() >= pool.vmsPerGroup() + ((hasGroups) ? policy.sparesPerPool() : 0)) {
			List<VmView> chosen = chooseMembers(free, pool.vmsPerGroup(), policy);
			if (chosen.isEmpty()) {
				return;
			}
			this.lastFence++;
			String id = this.zone + "-" + pool.id() + "-" + this.lastFence;
			addGroup(new GroupTable.Group(id, pool.id(), pool.model(), pool.version(), this.lastFence,
					chosen.stream().map((view) -> view.vm().id()).toList()));
			free.removeAll(chosen);
			hasGroups = true;
		}
	}

	/**
	 * Counts the free VMs that a pool reserves for the pools that borrow from it.
	 * @param pool the pool that owns the VMs
	 * @return the number of VMs that remain to be lent
	 */
	private int reservedForLending(Inventory.Pool pool) {
		return this.configuration.rules()
			.lending()
			.stream()
			.filter((lending) -> !lending.recalled() && lending.from().equals(pool.id()))
			.mapToInt((lending) -> Math.max(0, lending.vmsPerZone() - lentCount(pool, lending.to())))
			.sum();
	}

	private int lentCount(Inventory.Pool owner, String borrower) {
		return (int) this.groups.stream()
			.filter((group) -> group.pool().equals(borrower))
			.flatMap((group) -> group.members().stream())
			.filter((vm) -> isOwnedBy(vm, owner))
			.count();
	}

	private List<VmView> borrowableVms(Inventory.Pool borrower) {
		return this.configuration.inventory()
			.pools()
			.stream()
			.flatMap((owner) -> activeLendings(owner.id(), borrower.id()).flatMap((lending) -> freeVms(owner).stream()
				.limit(Math.max(0, lending.vmsPerZone() - lentCount(owner, borrower.id())))))
			.toList();
	}

	private static List<VmView> chooseMembers(List<VmView> free, int size, GroupPolicy policy) {
		if (policy == GroupPolicy.BASELINE) {
			return free.subList(0, size).stream().toList();
		}
		Map<String, List<VmView>> byDomain = free.stream()
			.collect(
					Collectors.groupingBy((view) -> view.vm().fabricDomain(), LinkedHashMap::new, Collectors.toList()));
		Optional<List<VmView>> smallestFitting = byDomain.values()
			.stream()
			.filter((domain) -> domain.size() >= size)
			.min(Comparator.comparingInt(List::size));
		if (smallestFitting.isPresent()) {
			return smallestFitting.get().subList(0, size).stream().toList();
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
		return this.viewsById.values()
			.stream()
			.filter((view) -> view.vm().pool().equals(pool.id()) && view.usable())
			.filter((view) -> isFree(view.vm().id()))
			.toList();
	}

	private boolean isFree(String vm) {
		return this.groups.stream().noneMatch((group) -> group.members().contains(vm))
				&& this.releases.stream().noneMatch((release) -> release.vm().equals(vm));
	}

	private void addGroup(GroupTable.Group group) {
		this.groups.add(group);
		recordChange(GroupPlan.ChangeKind.FORMED, group.id(), group.fence(), String.join(",", group.members()));
	}

	private void recordChange(GroupPlan.ChangeKind kind, String name, long fence, String detail) {
		this.changes.add(new GroupPlan.Change(kind, name, fence, detail));
	}

}
