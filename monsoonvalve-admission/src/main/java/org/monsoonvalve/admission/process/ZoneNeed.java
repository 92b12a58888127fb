package org.monsoonvalve.admission.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.monsoonvalve.admission.version.ModelGroups;
import org.monsoonvalve.admission.version.ServedModel;

/**
 * Turns the demands that the processes of a zone report into the part of the zone's VMs
 * that each model is to have. All state is in the memory of the planner; a new planner
 * starts without any. Not thread-safe.
 *
 * @author monsoonvalve maintainers
 */
public final class ZoneNeed {

	/**
	 * Time for which the last division stays in use while too few processes report, in
	 * milliseconds; a partition that lasts longer is a change for callers, too.
	 */
	static final long RETENTION_MILLIS = 60_000;

	/**
	 * Time without any report after which the configured division is carried out, in
	 * milliseconds. A new planner gets reports within some seconds and must not undo the
	 * division of the one before.
	 */
	static final long SILENCE_MILLIS = 20_000;

	/**
	 * Time after which the demand is known well enough to correct a division that is far
	 * off: the window of a process's measurement, and a report.
	 */
	static final long EARLY_MILLIS = 5000;

	/** Demand below which there is nothing to divide by, in slots. */
	private static final double MIN_TOTAL_SLOTS = 0.01;

	private final ReportedDemands demands = new ReportedDemands();

	private final Map<String, Crest> crests = new HashMap<>();

	private Map<String, Double> shares = Map.of();

	private long startMillis;

	private long knownMillis;

	/**
	 * Creates a state without demands.
	 * @param nowMillis the current time, in milliseconds
	 */
	public ZoneNeed(long nowMillis) {
		this.startMillis = nowMillis;
	}

	/**
	 * Forgets everything, as another process has planned the zone.
	 * @param nowMillis the current time, in milliseconds
	 */
	public void reset(long nowMillis) {
		this.demands.clear();
		this.crests.clear();
		this.shares = Map.of();
		this.startMillis = nowMillis;
	}

	/**
	 * Stores the report of a process.
	 * @param process the name of the process
	 * @param slots the demand in slots by model
	 * @param nowMillis the current time, in milliseconds
	 */
	public void report(String process, Map<ServedModel, Double> slots, long nowMillis) {
		this.demands.report(process, slots, nowMillis);
	}

	/**
	 * Determines the division that is to be planned now.
	 * @param zone the zone's models, VMs and processes
	 * @param nowMillis the current time, in milliseconds
	 * @return the division
	 */
	public Division divide(Zone zone, long nowMillis) {
		Optional<Map<ServedModel, Double>> total = this.demands.total(zone.processes(), nowMillis);
		total.ifPresent((slots) -> {
			zone.models()
				.forEach((model) -> this.crests.computeIfAbsent(model.model(), (absent) -> new Crest(nowMillis))
					.add(slots.getOrDefault(new ServedModel(zone.service(), model.model()), 0.0), nowMillis));
			this.knownMillis = nowMillis;
			updateShares(zone);
		});
		if (total.isEmpty() && !this.shares.isEmpty() && nowMillis - this.knownMillis > RETENTION_MILLIS) {
			reset(this.knownMillis);
		}
		boolean complete = !this.crests.isEmpty()
				&& this.crests.values().stream().allMatch((crest) -> crest.complete(nowMillis));
		boolean mayTurn = this.shares.isEmpty() ? nowMillis - this.startMillis >= SILENCE_MILLIS
				: total.isPresent() && complete;
		boolean early = total.isPresent() && !this.shares.isEmpty()
				&& this.crests.values().stream().allMatch((crest) -> crest.observedMillis(nowMillis) >= EARLY_MILLIS);
		return new Division(this.shares, demandSlots(), needs(zone), mayTurn, early);
	}

	private Map<String, Double> demandSlots() {
		return this.crests.entrySet()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue().value()));
	}

	private Map<String, Double> needs(Zone zone) {
		return zone.models()
			.stream()
			.filter((model) -> this.crests.containsKey(model.model()))
			.collect(Collectors.toMap(ModelGroups::model,
					(model) -> model.neededVms(this.crests.get(model.model()).value()), (first, second) -> first));
	}

	// A change by less than a group can't be carried out. It would only make the planner
	// turn groups when the demand crosses a limit to and fro.
	private void updateShares(Zone zone) {
		if (demandSlots().values().stream().mapToDouble(Double::doubleValue).sum() < MIN_TOTAL_SLOTS) {
			return;
		}
		Map<String, Double> candidate = VmDivision.shares(zone.models(), needs(zone), zone.vms(), zone.domains());
		boolean changed = !candidate.keySet().equals(this.shares.keySet()) || zone.models()
			.stream()
			.anyMatch((model) -> Math.abs(candidate.get(model.model()) - this.shares.get(model.model()))
					* zone.vms() >= model.groupVms());
		if (changed) {
			this.shares = Map.copyOf(candidate);
		}
	}

	/**
	 * What a division depends on besides the demand.
	 *
	 * @param service the name of the engine service
	 * @param models the service's models
	 * @param vms the number of the zone's VMs
	 * @param domains the number of fabric domains that they are in
	 * @param processes the names of the zone's registered processes
	 */
	public record Zone(String service, List<ModelGroups> models, int vms, int domains, Collection<String> processes) {

	}

	/**
	 * The part of a zone's VMs that each model is to have.
	 *
	 * @param shares the parts by model, empty while the demand isn't known and the
	 * configured ones apply
	 * @param demandSlots the demand at the crest in slots by model
	 * @param neededVms the VMs that the demand needs by model
	 * @param mayTurn whether groups may be turned from one model to another
	 * @param mayTurnEarly whether groups may be turned if the division is far off
	 */
	public record Division(Map<String, Double> shares, Map<String, Double> demandSlots, Map<String, Double> neededVms,
			boolean mayTurn, boolean mayTurnEarly) {

		private static final Division UNKNOWN = new Division(Map.of(), Map.of(), Map.of(), false, false);

		/**
		 * Returns the division before the demand is known.
		 * @return a division without shares
		 */
		public static Division unknown() {
			return UNKNOWN;
		}

		/**
		 * Tells whether the demand determines the shares.
		 * @return {@code false} if the configured ones apply
		 */
		public boolean known() {
			return !this.shares.isEmpty();
		}

	}

}
