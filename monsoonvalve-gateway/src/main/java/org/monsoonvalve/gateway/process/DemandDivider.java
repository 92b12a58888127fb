package org.monsoonvalve.gateway.process;

import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.monsoonvalve.admission.process.ZoneNeed;
import org.monsoonvalve.admission.version.ModelGroups;
import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.EngineProfile;
import org.monsoonvalve.gateway.version.Member;
import org.monsoonvalve.gateway.version.ModelDivision;
import org.monsoonvalve.gateway.version.ServiceProfile;

/**
 * Divides the VMs of an availability zone among the models of batch-sensitive engines by
 * the demands that the zone's processes report, and publishes the division. Confined to
 * the control thread.
 *
 * @author monsoonvalve maintainers
 */
final class DemandDivider {

	private final String zone;

	private final MetricRegistry registry;

	private final DecisionLog log;

	private final LongSupplier clock;

	private final ZoneNeed need;

	private Map<String, Integer> requestsInProgress = Map.of();

	// Read by the thread that serves metrics.
	private volatile ZoneNeed.Division published = ZoneNeed.Division.unknown();

	/**
	 * Creates a divider without demands.
	 * @param zone the availability zone
	 * @param registry publishes the demand and the need for each model
	 * @param log receives the changes of the division
	 * @param clock returns the time in milliseconds
	 */
	DemandDivider(String zone, MetricRegistry registry, DecisionLog log, LongSupplier clock) {
		this.zone = zone;
		this.registry = registry;
		this.log = log;
		this.clock = clock;
		this.need = new ZoneNeed(clock.getAsLong());
	}

	/**
	 * Forgets what an earlier term knew.
	 */
	void roleChanged() {
		this.need.reset(this.clock.getAsLong());
		this.requestsInProgress = Map.of();
		this.published = ZoneNeed.Division.unknown();
	}

	/**
	 * Stores the report of a process.
	 * @param report the report
	 */
	void reported(PeerFrame.DemandReport report) {
		if (report.process() != null && this.zone.equals(report.zone())) {
			this.need.report(report.process(), DemandReports.demandsOf(report), this.clock.getAsLong());
		}
	}

	/**
	 * Stores the requests that are in progress at the heads of groups.
	 * @param requests the number of requests by the head's identifier
	 */
	void observeRequests(Map<String, Integer> requests) {
		this.requestsInProgress = requests;
	}

	/**
	 * Determines the division that is to be planned now.
	 * @param service the engine service
	 * @param engine its profile
	 * @param endpoints the zone's endpoints of the service
	 * @param members all registered processes
	 * @return the division, the configured one for engines that aren't batch-sensitive
	 */
	ModelDivision division(ServiceProfile service, EngineProfile engine, List<EndpointRecord> endpoints,
			Collection<Member> members) {
		if (!engine.timings().batchSensitive() || engine.models().isEmpty()) {
			return ModelDivision.configured();
		}
		List<ModelGroups> models = engine.models()
			.stream()
			.map((model) -> new ModelGroups(model.name(), model.groupSize(), engine.timings().slots(),
					model.loadMillis()))
			.toList();
		List<EndpointRecord> usable = endpoints.stream().filter((record) -> !record.draining()).toList();
		int domains = (int) usable.stream().map(EndpointRecord::domain).distinct().count();
		List<String> processes = members.stream()
			.filter((member) -> member.zone().equals(this.zone))
			.map(Member::name)
			.toList();
		ZoneNeed.Division division = this.need.divide(
				new ZoneNeed.Zone(service.name(), models, usable.size(), domains, processes), this.clock.getAsLong());
		publish(division);
		return ModelDivision.of(division, this.requestsInProgress);
	}

	private void publish(ZoneNeed.Division division) {
		ZoneNeed.Division before = this.published;
		this.published = division;
		if (division.known() != before.known()) {
			this.log.record(division.known() ? LogEvent.DEMAND_KNOWN : LogEvent.DEMAND_UNKNOWN, "zone", this.zone);
		}
		if (division.known() && !division.shares().equals(before.shares())) {
			this.log.record(LogEvent.DIVISION_CHANGED, "zone", this.zone, "shares", rounded(division.shares()),
					"demand_slots", rounded(division.demandSlots()), "needed_vms", rounded(division.neededVms()));
			division.shares().keySet().forEach(this::registerGauges);
		}
	}

	private static Map<String, String> rounded(Map<String, Double> values) {
		return values.entrySet()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> rounded(entry.getValue()), (first, second) -> first,
					TreeMap::new));
	}

	private static String rounded(double value) {
		return String.format(Locale.ROOT, "%.2f", value);
	}

	private void registerGauges(String model) {
		this.registry.gauge("placement.demand_slots." + this.zone + "." + model,
				() -> (Gauge<String>) () -> rounded(this.published.demandSlots().getOrDefault(model, 0.0)));
		this.registry.gauge("placement.needed_vms." + this.zone + "." + model,
				() -> (Gauge<String>) () -> rounded(this.published.neededVms().getOrDefault(model, 0.0)));
		this.registry.gauge("placement.share." + this.zone + "." + model,
				() -> (Gauge<String>) () -> rounded(this.published.shares().getOrDefault(model, 0.0)));
	}

}
