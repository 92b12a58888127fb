package org.monsoonvalve.admission.process;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Computes the shares that requests should leave the own zone with, regardless of the
 * present shares.
 *
 * @author monsoonvalve maintainers
 */
final class ZoneGoals {

	/**
	 * Share of requests that are sent to a zone to learn its load. With 27 processes of 3
	 * requests per second that is 2.4 per second for the whole zone.
	 */
	static final double PROBE_SHARE = 0.03;

	/** Age of a zone's reports from which on it is probed if the own zone is too busy. */
	private static final long PROBE_AGE_MILLIS = 1000;

	/**
	 * Highest share by which the requests in the own zone are taken to be reduced. A zone
	 * whose heads come back has no requests of which the demand could be inferred.
	 */
	private static final double MAX_CARRIED_SHARE = 0.9;

	/**
	 * Highest pressure that is inferred without the number of requests. Once requests
	 * queue, their delay grows much faster than the demand, so a forecast of four times
	 * the target doesn't mean four times the capacity; nor do heads that all refuse.
	 */
	private static final double MAX_INFERRED_PRESSURE = 1.25;

	/**
	 * Factor by which a deviation from the load that is in time is corrected. The load
	 * follows the share only within the time that a response takes (2 s); with a factor
	 * of 1, a wave with a period of 13 s is over before the share has followed it. A
	 * factor of 3 didn't oscillate either.
	 */
	private static final double CORRECTION = 2;

	private final ZoneInputs inputs;

	private final double carriedShare;

	/**
	 * Creates the computation.
	 * @param inputs the inputs
	 * @param carriedShare the mean share of requests that left the zone during the time
	 * that a response takes, and that the requests in the zone are thus reduced by
	 */
	ZoneGoals(ZoneInputs inputs, double carriedShare) {
		this.inputs = inputs;
		this.carriedShare = Math.min(MAX_CARRIED_SHARE, carriedShare);
	}

	/**
	 * Returns the goals of all zones that can get requests.
	 * @return the goals, with a share of 0 for a zone that should get none
	 */
	List<ZoneShare> shares() {
		return this.inputs.own().map(this::sharesBeside).orElseGet(this::sharesWithoutOwnZone);
	}

	// Requests that stay are refused, so all of them leave, in proportion to the room of
	// the others. If none has room, the engines decide which requests they run first.
	private List<ZoneShare> sharesWithoutOwnZone() {
		List<ZoneState> others = this.inputs.others();
		double total = others.stream().mapToDouble(this::weight).sum();
		ToDoubleFunction<ZoneState> weight = (total > 0) ? this::weight : ZoneState::slots;
		double divisor = (total > 0) ? total : others.stream().mapToDouble(ZoneState::slots).sum();
		return others.stream().map((zone) -> {
			double share = (divisor > 0) ? weight.applyAsDouble(zone) / divisor : 1.0 / others.size();
			return new ZoneShare(zone.zone(), share, share, LeaveReason.NO_HEAD, this.inputs.costMillis(zone));
		}).toList();
	}

	private double weight(ZoneState zone) {
		return Math.max(zone.known() ? zone.room(this.inputs.inTimeUtilisation()) : 0, zone.slots() * probeShare(zone));
	}

	// Zones that are known to have room come first; a request is only risked on a probe
	// for what they can't take.
	private List<ZoneShare> sharesBeside(ZoneState own) {
		List<ZoneShare> allowed = this.inputs.others().stream().map((zone) -> allowed(own, zone)).toList();
		double need = need(own);
		double known = sum(allowed, (share) -> share.reason() != LeaveReason.PROBE);
		double probes = sum(allowed, (share) -> share.reason() == LeaveReason.PROBE);
		double knownFactor = Math.min(1, need / Math.max(known, Double.MIN_NORMAL));
		double probeFactor = Math.min(1, Math.max(0, need - known) / Math.max(probes, Double.MIN_NORMAL));
		double overflowFactor = 1 / Math.max(1, known + probes);
		return allowed.stream()
			.map((share) -> new ZoneShare(share.zone(),
					share.share() * ((share.reason() == LeaveReason.PROBE) ? probeFactor : knownFactor),
					share.share() * overflowFactor, share.reason(), share.costMillis()))
			.toList();
	}

	private static double sum(List<ZoneShare> shares, Predicate<ZoneShare> condition) {
		return shares.stream().filter(condition).mapToDouble(ZoneShare::share).sum();
	}

	/**
	 * Returns the share of requests that the own zone can't serve in time. The requests
	 * in the zone are what is left after those that leave, so their number is related to
	 * the share that left while they came; otherwise requests would return as soon as
	 * their leaving helps.
	 * @param own the own zone
	 * @return the share, from 0 to 1
	 */
	private double need(ZoneState own) {
		double pressure = pressure(own);
		double corrected = 1 + (pressure - 1) * CORRECTION;
		return (corrected > 0) ? Math.max(0, 1 - (1 - this.carriedShare) / corrected) : 0;
	}

	// A forecast in time holds even if many requests are running: a head is free.
	private double pressure(ZoneState own) {
		double inTime = own.inTimeRequests(this.inputs.inTimeUtilisation());
		double load = own.running() / Math.max(1, inTime);
		if (own.openHeads() == 0) {
			return Math.max(MAX_INFERRED_PRESSURE, load);
		}
		if (own.forecastMillis().isEmpty()) {
			return load;
		}
		double lateness = own.forecastMillis().getAsDouble() / this.inputs.targetMillis();
		return (lateness > 1) ? Math.max(Math.min(MAX_INFERRED_PRESSURE, lateness), load) : Math.min(1, load);
	}

	private ZoneShare allowed(ZoneState own, ZoneState zone) {
		double cost = this.inputs.costMillis(zone);
		double known = (zone.known() && zone.openHeads() > 0 && meetsTarget(zone, cost))
				? Math.min(1, zone.allowedRequests(this.inputs.inTimeUtilisation()) / this.inputs.ownRequests()) : 0;
		double probe = probeShare(zone);
		LeaveReason reason = (own.openHeads() == 0 || own.running() >= own.slots()) ? LeaveReason.OWN_ZONE_FULL
				: LeaveReason.OWN_ZONE_LATE;
		double share = Math.max(known, probe);
		return new ZoneShare(zone.zone(), share, share, (known < probe) ? LeaveReason.PROBE : reason, cost);
	}

	private boolean meetsTarget(ZoneState zone, double costMillis) {
		return zone.forecastMillis().orElse(0) + costMillis <= this.inputs.targetMillis();
	}

	// A zone whose reports get old is asked for new ones also if it was full.
	private static double probeShare(ZoneState zone) {
		boolean old = !zone.known() || zone.reportAgeMillis() > PROBE_AGE_MILLIS;
		return (old && zone.openHeads() > 0) ? PROBE_SHARE : 0;
	}

}
