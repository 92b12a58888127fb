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
 * Decides which VMs load which weights ahead of their use, within the loads that may
 * begin now.
 *
 * @author monsoonvalve maintainers
 */
final class WeightStaging {

	/**
	 * VMs of a domain that hold the weights of a model with larger groups while they
	 * serve another: both members of a small group, so that one group is preempted.
	 */
	private static final int RESERVES = 2;

	private final Allocation allocation;

	private final ReplicaPlanner.ZoneSnapshot snapshot;

	private final List<ReplicaPlanner.Order> orders = new ArrayList<>();

	private WeightStaging(Allocation allocation) {
		this.allocation = allocation;
		this.snapshot = allocation.snapshot();
	}

	/**
	 * Plans the loads to begin now.
	 * @param allocation the groups planned and the VMs that are free
	 * @return the orders
	 */
	static List<ReplicaPlanner.Order> orders(Allocation allocation) {
		WeightStaging staging = new WeightStaging(allocation);
		staging.stageFree();
		staging.stageReserves();
		return staging.orders;
	}

	private int allowance() {
		return this.snapshot.loadAllowance() - this.orders.size();
	}

	private void order(EndpointRecord record, String model) {
		this.orders.add(new ReplicaPlanner.Order(record, GroupOrder.stage(model)));
	}

	private void stageFree() {
		Map<String, Integer> vms = this.allocation.vmsByModel(Map.of());
		Map<String, List<EndpointRecord>> free = this.allocation.freeByDomain((record) -> true);
		free.values().forEach((records) -> countPlanned(records, vms));
		for (List<EndpointRecord> records : free.values()) {
			stageEmpty(records, vms);
			boolean anyEmpty = records.stream().anyMatch(this::empty);
			if (!anyEmpty) {
				restage(records);
			}
		}
	}

	private void stageEmpty(List<EndpointRecord> records, Map<String, Integer> vms) {
		Map<String, Integer> held = new HashMap<>();
		countPlanned(records, held);
		List<EndpointRecord> empty = new ArrayList<>(records.stream().filter(this::empty).toList());
		while (allowance() > 0 && !empty.isEmpty()) {
			String model = nextModel(held, vms, empty.size());
			order(empty.remove(0), model);
			held.merge(model, 1, Integer::sum);
			vms.merge(model, 1, Integer::sum);
		}
	}

	private boolean empty(EndpointRecord record) {
		return planned(record).isEmpty() && !this.snapshot.busy().test(record) && !ordered(record);
	}

	private boolean ordered(EndpointRecord record) {
		return this.orders.stream().anyMatch((order) -> order.endpoint().equals(record));
	}

	private void countPlanned(List<EndpointRecord> records, Map<String, Integer> counts) {
		records.forEach((record) -> planned(record).ifPresent((model) -> counts.merge(model, 1, Integer::sum)));
	}

	private Optional<String> planned(EndpointRecord record) {
		return Optional.ofNullable(this.snapshot.staging().get(record.incarnation()))
			.or(() -> record.staged().stream().findFirst());
	}

	// Chooses the model that completes a group of a domain's free VMs; of several the one
	// with the fewest VMs for its share.
	private String nextModel(Map<String, Integer> held, Map<String, Integer> vms, int empty) {
		List<ModelProfile> models = this.allocation.byNeed(vms);
		Predicate<ModelProfile> begun = (model) -> held.getOrDefault(model.name(), 0) % model.groupSize() != 0;
		Predicate<ModelProfile> completes = (
				model) -> model.groupSize() - held.getOrDefault(model.name(), 0) % model.groupSize() <= empty;
		return models.stream()
			.filter(begun.and(completes))
			.findFirst()
			.or(() -> models.stream().filter(completes).findFirst())
			.orElse(models.get(0))
			.name();
	}

	// Gives free VMs that wait in vain for others with the same weights the weights of a
	// group that a domain's free VMs can form, unless their own model needs them more.
	private void restage(List<EndpointRecord> records) {
		if (records.stream().anyMatch((record) -> this.snapshot.staging().containsKey(record.incarnation()))) {
			return;
		}
		List<ModelProfile> models = this.allocation.byNeed();
		for (int i = 0; i < models.size(); i++) {
			ModelProfile wanted = models.get(i);
			Set<String> needier = models.subList(0, i).stream().map(ModelProfile::name).collect(Collectors.toSet());
			List<EndpointRecord> usable = records.stream()
				.filter((record) -> record.staged().stream().noneMatch(needier::contains))
				.toList();
			List<EndpointRecord> lacking = usable.stream()
				.filter((record) -> !record.staged().contains(wanted.name()))
				.toList();
			int missing = Math.max(0, wanted.groupSize() - (usable.size() - lacking.size()));
			if (usable.size() >= wanted.groupSize() && missing <= allowance()) {
				lacking.stream()
					.limit(missing)
					.filter(this.snapshot.busy().negate())
					.forEach((record) -> order(record, wanted.name()));
				return;
			}
		}
	}

	// Has members of other models' groups hold the weights of models with larger groups,
	// which break more often and are harder to complete. Their engines keep the model
	// that they carry.
	private void stageReserves() {
		int smallest = this.snapshot.engine().models().stream().mapToInt(ModelProfile::groupSize).min().orElse(1);
		Set<String> domains = new TreeSet<>(this.snapshot.endpoints().stream().map(EndpointRecord::domain).toList());
		this.allocation.byNeed()
			.stream()
			.filter((model) -> model.groupSize() > smallest)
			.forEach((model) -> domains.forEach((domain) -> stageReserve(model, domain)));
	}

	private void stageReserve(ModelProfile model, String domain) {
		List<EndpointRecord> outside = this.snapshot.endpoints()
			.stream()
			.filter((record) -> record.domain().equals(domain) && !record.draining())
			.filter((record) -> this.allocation.groupOf(record)
				.filter((group) -> group.model().equals(model.name()))
				.isEmpty())
			.toList();
		Predicate<EndpointRecord> holding = (record) -> record.hasWeights(model.name())
				|| model.name().equals(this.snapshot.staging().get(record.incarnation()));
		long missing = reservesWanted(model, domain, outside.stream().filter(holding).toList())
				- outside.stream().filter(holding).count();
		outside.stream()
			.filter((record) -> !holding.test(record) && !this.snapshot.busy().test(record)
					&& !this.snapshot.staging().containsKey(record.incarnation()))
			.filter((record) -> this.allocation.groupOf(record).isPresent())
			.sorted(Comparator.comparingLong(
					(record) -> -this.allocation.holders(this.allocation.groupOf(record).get(), model.name())))
			.limit(Math.max(0, Math.min(missing, allowance())))
			.toList()
			.forEach((record) -> order(record, model.name()));
	}

	// As many as complete a group with survivors that wait, else some where the model has
	// a group.
	private long reservesWanted(ModelProfile model, String domain, List<EndpointRecord> holding) {
		if (holding.stream().anyMatch((record) -> this.allocation.groupOf(record).isEmpty())) {
			return model.groupSize();
		}
		return this.allocation.groupsIn(domain).stream().anyMatch((group) -> group.model().equals(model.name()))
				? RESERVES : 0;
	}

}
