package org.monsoonvalve.admission.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.monsoonvalve.admission.version.ServedModel;

/**
 * The demands that the processes of a zone have reported to its planner. Not thread-safe.
 *
 * @author monsoonvalve maintainers
 */
public final class ReportedDemands {

	/** Age from which on a report no longer counts; three confirmations are missing. */
	static final long MAX_AGE_MILLIS = 3 * ReportSchedule.CONFIRM_INTERVAL_MILLIS;

	private final Map<String, Report> byProcess = new HashMap<>();

	/**
	 * Stores the report of a process in place of its earlier one.
	 * @param process the name of the process
	 * @param slots the demand in slots by model
	 * @param nowMillis the current time, in milliseconds
	 */
	public void report(String process, Map<ServedModel, Double> slots, long nowMillis) {
		this.byProcess.put(process, new Report(Map.copyOf(slots), nowMillis));
	}

	/**
	 * Forgets all reports.
	 */
	public void clear() {
		this.byProcess.clear();
	}

	/**
	 * Adds up the demands. Callers are distributed over the processes by chance, so those
	 * without a recent report are taken to have the mean demand of the others.
	 * @param processes the registered processes of the zone; other reports are forgotten
	 * @param nowMillis the current time, in milliseconds
	 * @return the demand of the zone in slots by model, empty unless more than half of
	 * the processes have reported lately
	 */
	public Optional<Map<ServedModel, Double>> total(Collection<String> processes, long nowMillis) {
		this.byProcess.keySet().retainAll(processes);
		List<Report> recent = this.byProcess.values()
			.stream()
			.filter((report) -> nowMillis - report.receivedMillis() < MAX_AGE_MILLIS)
			.toList();
		if (2 * recent.size() <= processes.size()) {
			return Optional.empty();
		}
		double factor = (double) processes.size() / recent.size();
		Map<ServedModel, Double> total = new HashMap<>();
		recent.forEach(
				(report) -> report.slots().forEach((model, slots) -> total.merge(model, factor * slots, Double::sum)));
		return Optional.of(total);
	}

	private record Report(Map<ServedModel, Double> slots, long receivedMillis) {

	}

}
