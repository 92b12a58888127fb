package org.monsoonvalve.admission.process;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.monsoonvalve.admission.version.ServedModel;

/**
 * Decides when a process reports its demand to the planner of its zone: at most once a
 * second, when the demand has changed noticeably, when there is another planner, and now
 * and then to confirm it. Not thread-safe.
 *
 * @author monsoonvalve maintainers
 */
public final class ReportSchedule {

	/** Shortest interval between two reports. */
	static final long MIN_INTERVAL_MILLIS = 1000;

	/**
	 * Longest interval between two reports; two may be lost before the planner considers
	 * the process silent.
	 */
	static final long CONFIRM_INTERVAL_MILLIS = 4000;

	/** Pause after a report that got no answer. */
	static final long FAILURE_PAUSE_MILLIS = 5000;

	/**
	 * Change of a demand, in slots, that is always too small to report; the errors of 30
	 * processes add up to less than one slot.
	 */
	private static final double MIN_CHANGE_SLOTS = 0.25;

	/** Part of a demand by which it must change to be reported. */
	private static final double MIN_RELATIVE_CHANGE = 0.1;

	private String planner = "";

	private Map<ServedModel, Double> reported = Map.of();

	private long lastMillis;

	private long pausedUntilMillis = Long.MIN_VALUE;

	/**
	 * Tells whether a report is due, which the caller then sends.
	 * @param newPlanner identifies the planner and its term
	 * @param slots the demand in slots by model
	 * @param nowMillis the current time, in milliseconds
	 * @return {@code true} if a report must be sent now
	 */
	public boolean due(String newPlanner, Map<ServedModel, Double> slots, long nowMillis) {
		boolean samePlanner = newPlanner.equals(this.planner);
		long ageMillis = nowMillis - this.lastMillis;
		boolean due = !samePlanner || (nowMillis >= this.pausedUntilMillis && ageMillis >= MIN_INTERVAL_MILLIS
				&& (ageMillis >= CONFIRM_INTERVAL_MILLIS || changed(slots)));
		if (due) {
			this.planner = newPlanner;
			this.reported = Map.copyOf(slots);
			this.lastMillis = nowMillis;
			this.pausedUntilMillis = Long.MIN_VALUE;
		}
		return due;
	}

	/**
	 * Records that the last report got no answer.
	 * @param nowMillis the current time, in milliseconds
	 */
	public void failed(long nowMillis) {
		this.pausedUntilMillis = nowMillis + FAILURE_PAUSE_MILLIS;
	}

	private boolean changed(Map<ServedModel, Double> slots) {
		Set<ServedModel> models = new HashSet<>(slots.keySet());
		models.addAll(this.reported.keySet());
		return models.stream().anyMatch((model) -> {
			double before = this.reported.getOrDefault(model, 0.0);
			double change = Math.abs(slots.getOrDefault(model, 0.0) - before);
			return change > Math.max(MIN_CHANGE_SLOTS, MIN_RELATIVE_CHANGE * before);
		});
	}

}
