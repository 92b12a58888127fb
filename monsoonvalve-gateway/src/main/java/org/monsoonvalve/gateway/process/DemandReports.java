package org.monsoonvalve.gateway.process;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.monsoonvalve.admission.process.ReportSchedule;
import org.monsoonvalve.admission.version.ServedModel;
import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.Member;

/**
 * Reports the demand that this process measures to the planner of its zone. Reports are
 * not repeated; a later one replaces a lost one. Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
final class DemandReports {

	private final String self;

	private final String zone;

	private final Supplier<Map<ServedModel, Double>> slots;

	private final FleetGossip.Sender sender;

	private final LongSupplier clock;

	private final ReportSchedule schedule = new ReportSchedule();

	private boolean awaitingReply;

	/**
	 * Creates reports.
	 * @param self the name of this process
	 * @param zone the availability zone of this process
	 * @param slots measures the demand in slots by model
	 * @param sender sends frames to peers
	 * @param clock returns the time in milliseconds
	 */
	DemandReports(String self, String zone, Supplier<Map<ServedModel, Double>> slots, FleetGossip.Sender sender,
			LongSupplier clock) {
		this.self = self;
		this.zone = zone;
		this.slots = slots;
		this.sender = sender;
		this.clock = clock;
	}

	/**
	 * Reports the demand if that is due; to be called about once a second. A process also
	 * reports that it has no demand, as the planner waits for most processes.
	 * @param view the view of the fleet
	 * @param localPlanner receives the report if this process is the planner
	 */
	void step(FleetView view, Consumer<PeerFrame.DemandReport> localPlanner) {
		long now = this.clock.getAsLong();
		if (this.awaitingReply) {
			this.awaitingReply = false;
			this.schedule.failed(now);
		}
		String term = view.roleHolders().get(StoreKeys.plannerRole(this.zone));
		Optional<Member> planner = planner(view, term);
		if (planner.isEmpty() || !hasBatchSensitiveEngine(view)) {
			return;
		}
		Map<ServedModel, Double> demand = this.slots.get();
		if (planner.get().name().equals(this.self)) {
			localPlanner.accept(reportOf(demand));
		}
		else if (planner.get().understands(PeerFrame.DemandReport.TAG) && this.schedule.due(term, demand, now)) {
			this.awaitingReply = true;
			this.sender.send(planner.get(), reportOf(demand), (reply) -> this.awaitingReply = false);
		}
	}

	// The value of a lease begins with the identifier of its holder, NAME@ADDRESS.
	private static Optional<Member> planner(FleetView view, String term) {
		return Optional.ofNullable(term)
			.flatMap((holder) -> view.members()
				.values()
				.stream()
				.filter((member) -> holder.startsWith(member.name() + "@" + member.peerAddress() + "/"))
				.findFirst());
	}

	private static boolean hasBatchSensitiveEngine(FleetView view) {
		return view.configuration()
			.stream()
			.flatMap((configuration) -> configuration.services().stream())
			.flatMap((service) -> service.engine().stream())
			.anyMatch((engine) -> engine.timings().batchSensitive());
	}

	private PeerFrame.DemandReport reportOf(Map<ServedModel, Double> demand) {
		List<PeerFrame.ModelDemand> demands = demand.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
			.limit(PeerFrame.DemandReport.MAX_DEMANDS)
			.map((entry) -> new PeerFrame.ModelDemand(entry.getKey().service(), entry.getKey().model(),
					entry.getValue()))
			.toList();
		return new PeerFrame.DemandReport(this.self, this.zone, demands);
	}

	/**
	 * Returns the demands that a report names.
	 * @param report the report, which may come from a faulty process
	 * @return the demands in slots by model, without those that can't be right
	 */
	static Map<ServedModel, Double> demandsOf(PeerFrame.DemandReport report) {
		Map<ServedModel, Double> demands = new HashMap<>();
		report.demands()
			.stream()
			.filter((demand) -> demand.slots() >= 0 && Double.isFinite(demand.slots()))
			.forEach((demand) -> demands.put(new ServedModel(demand.service(), demand.model()), demand.slots()));
		return demands;
	}

}
