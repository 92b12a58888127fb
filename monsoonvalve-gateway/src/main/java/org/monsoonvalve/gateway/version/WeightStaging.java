package org.monsoonvalve.gateway.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Decides which VMs load which weights in advance, within the number of loads that may
 * start now.
 *
 * @author monsoonvalve maintainers
 */
final class WeightStaging {

	/**
	 * VMs per domain that have the weights of a model with larger groups while they serve
	 * another model. Two VMs make up one small group, so that only one group has to be
	 * preempted.
	 */
	private static final int STANDBY_VMS = 2;

	private final Allocation allocation;

	private final ReplicaPlanner.ZoneSnapshot snapshot;

	private final Optional<GroupTurn> turn;

	private final List<ReplicaPlanner.Order> orders = new ArrayList<>();

	private WeightStaging(Allocation allocation) {
		this.allocation = allocation;
		this.snapshot = allocation.snapshot();
		this.turn = GroupTurn.next(allocation);
	}

	/**
	 * Plans the weight loads to start now.
	 * @param allocation the planned groups and the free VMs
	 * @return the orders to load weights
	 */
	static List<ReplicaPlanner.Order> orders(Allocation allocation) {
		WeightStaging staging = new WeightStaging(allocation);
		staging.stageFreeVms();
		staging.turn.ifPresent(staging::stageTurn);
		staging.stageStandbys();
		staging.exchangeSpares();
		return staging.orders;
	}

	private int remainingLoads() {
		return this.snapshot.loadAllowance() - this.orders.size();
	}

	private void addOrder(EndpointRecord record, String model) {
		this.orders.add(new ReplicaPlanner.Order(record, GroupOrder.stage(model)));
	}

	private void stageFreeVms() {
		Map<String, Integer> vmsByModel = this.allocation.vmsByModel(Map.of());
		Map<String, List<EndpointRecord>> free = this.allocation.freeVmsByDomain((record) -> true);
		free.values().forEach((records) -> countStagedModels(records, vmsByModel));
		for (List<EndpointRecord> records : free.values()) {
			stageUnstagedVms(records, vmsByModel);
			boolean anyUnstaged = records.stream().anyMatch(this::isUnstaged);
			if (!anyUnstaged) {
				restageFreeVms(records);
			}
		}
	}

	// Those of a turn go on serving meanwhile.
	private void stageTurn(GroupTurn next) {
		String model = next.recipient().name();
		next.vms()
			.stream()
			.filter((record) -> !record.hasWeights(model) && !this.snapshot.busy().test(record) && !hasOrder(record)
					&& !this.snapshot.staging().containsKey(record.incarnation()))
			.limit(Math.max(0, Math.min(next.missingWeights(this.allocation), remainingLoads())))
			.toList()
			.forEach((record) -> addOrder(record, model));
	}

	private void stageUnstagedVms(List<EndpointRecord> records, Map<String, Integer> vmsByModel) {
		Map<String, Integer> stagedByModel = new HashMap<>();
		countStagedModels(records, stagedByModel);
		List<EndpointRecord> unstaged = new ArrayList<>(records.stream().filter(this::isUnstaged).toList());
		while (remainingLoads() > 0 && !unstaged.isEmpty()) {
			String model = nextModel(stagedByModel, vmsByModel, unstaged.size());
			addOrder(unstaged.remove(0), model);
			stagedByModel.merge(model, 1, Integer::sum);
			vmsByModel.merge(model, 1, Integer::sum);
		}
	}

	private boolean isUnstaged(EndpointRecord record) {
		return stagedModel(record).isEmpty() && !this.snapshot.busy().test(record) && !hasOrder(record);
	}

	private boolean hasOrder(EndpointRecord record) {
		return this.orders.stream().anyMatch((order) -> order.endpoint().equals(record));
	}

	private void countStagedModels(List<EndpointRecord> records, Map<String, Integer> counts) {
		records.forEach((record) -> stagedModel(record).ifPresent((model) -> counts.merge(model, 1, Integer::sum)));
	}

	private Optional<String> stagedModel(EndpointRecord record) {
		return Optional.ofNullable(this.snapshot.staging().get(record.incarnation()))
			.or(() -> record.staged().stream().findFirst());
	}

	// Chooses a model whose group the domain's free VMs can complete, preferably one that
	// some of them are staged for already; of several, the one with the fewest VMs per
	// share.
	private String nextModel(Map<String, Integer> stagedByModel, Map<String, Integer> vmsByModel, int unstagedCount) {
		List<ModelProfile> models = this.allocation.modelsByVmsPerShare(vmsByModel);
		Predicate<ModelProfile> partlyStaged = (
				model) -> stagedByModel.getOrDefault(model.name(), 0) % model.groupSize() != 0;
		Predicate<ModelProfile> completable = (model) -> model.groupSize()
				- stagedByModel.getOrDefault(model.name(), 0) % model.groupSize() <= unstagedCount;
		return models.stream()
			.filter(partlyStaged.and(completable))
			.findFirst()
			.or(() -> models.stream().filter(completable).findFirst())
			.or(() -> spareModel(stagedByModel))
			.orElse(models.get(0))
			.name();
	}

	// A spare VM, one of too few for a group, repairs a broken group without a load if it
	// has the weights of the group's model. Each model gets one, the one with the largest
	// groups, which break most often, the first one and all further ones.
	private Optional<ModelProfile> spareModel(Map<String, Integer> stagedByModel) {
		if (!this.snapshot.division().byDemand()) {
			return Optional.empty();
		}
		List<ModelProfile> largestFirst = this.snapshot.engine()
			.models()
			.stream()
			.sorted(Comparator.comparingInt(ModelProfile::groupSize).reversed())
			.toList();
		return largestFirst.stream()
			.filter((model) -> stagedByModel.getOrDefault(model.name(), 0) % model.groupSize() == 0)
			.findFirst()
			.or(() -> largestFirst.stream().findFirst());
	}

	// Replaces the weights of free VMs that are too few to form a group: loads those of a
	// model whose group the domain's free VMs can form, except onto VMs that are staged
	// for a model with fewer VMs per share.
	private void restageFreeVms(List<EndpointRecord> records) {
		if (records.stream().anyMatch((record) -> this.snapshot.staging().containsKey(record.incarnation()))) {
			return;
		}
		List<ModelProfile> models = this.allocation.modelsByVmsPerShare();
		for (int i = 0; i < models.size(); i++) {
			ModelProfile candidate = models.get(i);
			Set<String> lessProvisionedModels = models.subList(0, i)
				.stream()
				.filter((model) -> keepsFreeVms(model, records))
				.map(ModelProfile::name)
				.collect(Collectors.toSet());
			List<EndpointRecord> eligible = records.stream()
				.filter((record) -> record.staged().stream().noneMatch(lessProvisionedModels::contains))
				.toList();
			List<EndpointRecord> withoutWeights = eligible.stream()
				.filter((record) -> !record.staged().contains(candidate.name()))
				.toList();
			int missingVms = Math.max(0, candidate.groupSize() - (eligible.size() - withoutWeights.size()));
			if (eligible.size() >= candidate.groupSize() && missingVms <= remainingLoads()) {
				withoutWeights.stream()
					.limit(missingVms)
					.filter(this.snapshot.busy().negate())
					.forEach((record) -> addOrder(record, candidate.name()));
				return;
			}
		}
	}

	// Gives a model that no spare VM of a domain has the weights of a spare that is one
	// of
	// several for the other models.
	private void exchangeSpares() {
		int minGroupSize = this.snapshot.engine().models().stream().mapToInt(ModelProfile::groupSize).min().orElse(1);
		if (this.snapshot.division().byDemand()) {
			this.allocation.freeVmsByDomain((record) -> true)
				.values()
				.stream()
				.filter((spares) -> spares.size() < minGroupSize)
				.filter((spares) -> spares.stream()
					.noneMatch((record) -> this.snapshot.staging().containsKey(record.incarnation())
							|| this.snapshot.busy().test(record) || hasOrder(record)))
				.forEach(this::exchangeSpare);
		}
	}

	private void exchangeSpare(List<EndpointRecord> spares) {
		List<String> models = this.snapshot.engine()
			.models()
			.stream()
			.sorted(Comparator.comparingInt(ModelProfile::groupSize).reversed())
			.map(ModelProfile::name)
			.toList();
		Predicate<EndpointRecord> dispensable = (spare) -> models.stream()
			.filter(spare::hasWeights)
			.allMatch((model) -> spares.stream().filter((record) -> record.hasWeights(model)).count() > 1);
		models.stream()
			.filter((model) -> remainingLoads() > 0 && spares.stream().noneMatch((spare) -> spare.hasWeights(model)))
			.findFirst()
			.ifPresent((model) -> spares.stream()
				.filter(dispensable)
				.findFirst()
				.ifPresent((spare) -> addOrder(spare, model)));
	}

	// VMs that have the weights of a model wait for it only if a group of it can come
	// about in the domain. By demand it can't if they are too few and no turn adds
	// others.
	private boolean keepsFreeVms(ModelProfile model, List<EndpointRecord> free) {
		return !this.snapshot.division().byDemand() || free.size() >= model.groupSize()
				|| this.turn
					.filter((next) -> next.recipient().equals(model) && next.vms().stream().anyMatch(free::contains))
					.isPresent();
	}

	// Loads the weights of models with larger groups onto members of other groups, since
	// larger groups break more often and are harder to complete. The engines of these
	// members keep the model that they have loaded.
	private void stageStandbys() {
		int minGroupSize = this.snapshot.engine().models().stream().mapToInt(ModelProfile::groupSize).min().orElse(1);
		Set<String> domains = new TreeSet<>(this.snapshot.endpoints().stream().map(EndpointRecord::domain).toList());
		this.allocation.modelsByVmsPerShare()
			.stream()
			.filter((model) -> model.groupSize() > minGroupSize)
			.forEach((model) -> domains.forEach((domain) -> stageStandbysInDomain(model, domain)));
	}

	private void stageStandbysInDomain(ModelProfile model, String domain) {
		List<EndpointRecord> otherVms = this.snapshot.endpoints()
			.stream()
			.filter((record) -> record.domain().equals(domain) && !record.draining())
			.filter((record) -> this.allocation.groupOf(record)
				.filter((group) -> group.model().equals(model.name()))
				.isEmpty())
			.toList();
		Predicate<EndpointRecord> hasOrLoadsWeights = (record) -> record.hasWeights(model.name())
				|| model.name().equals(this.snapshot.staging().get(record.incarnation()));
		long missingVms = standbysNeeded(model, domain, otherVms.stream().filter(hasOrLoadsWeights).toList())
				- otherVms.stream().filter(hasOrLoadsWeights).count();
		otherVms.stream()
			.filter((record) -> !hasOrLoadsWeights.test(record) && !this.snapshot.busy().test(record)
					&& !this.snapshot.staging().containsKey(record.incarnation()))
			.filter((record) -> this.allocation.groupOf(record).isPresent())
			.sorted(Comparator.comparingLong((record) -> -this.allocation
				.countMembersWithWeights(this.allocation.groupOf(record).get(), model.name())))
			.limit(Math.max(0, Math.min(missingVms, remainingLoads())))
			.toList()
			.forEach((record) -> addOrder(record, model.name()));
	}

	// Enough to complete a group with the survivors of a broken one if any wait without a
	// group; else a fixed number if the model has a group in the domain.
	private long standbysNeeded(ModelProfile model, String domain, List<EndpointRecord> vmsWithWeights) {
		// By demand, a turn completes the group, if it pays for itself.
		if (!this.snapshot.division().byDemand()
				&& vmsWithWeights.stream().anyMatch((record) -> this.allocation.groupOf(record).isEmpty())) {
			return model.groupSize();
		}
		return this.allocation.groupsInDomain(domain).stream().anyMatch((group) -> group.model().equals(model.name()))
				? STANDBY_VMS : 0;
	}

}
