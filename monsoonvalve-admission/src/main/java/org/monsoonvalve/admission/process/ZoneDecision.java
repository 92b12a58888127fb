package org.monsoonvalve.admission.process;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * The decision whether requests of a demand leave the availability zone, to which zones,
 * and what share of them. Immutable; each decision follows from the one before.
 *
 * @author monsoonvalve maintainers
 * @param shares the shares of the other zones that can get requests, by name of the zone
 * @param carriedShare the mean share of all other zones during the time that a response
 * takes
 * @param decidedMillis the time of the decision, in milliseconds
 */
public record ZoneDecision(List<ZoneShare> shares, double carriedShare, long decidedMillis) {

	/**
	 * Creates a decision with a copy of the shares.
	 */
	public ZoneDecision {
		shares = List.copyOf(shares);
	}

	/**
	 * Returns the decision of a process that has not sent a request.
	 * @param nowMillis the current time, in milliseconds
	 * @return the decision that nothing leaves the zone
	 */
	public static ZoneDecision initial(long nowMillis) {
		return new ZoneDecision(List.of(), 0, nowMillis);
	}

	/**
	 * Returns the decision that follows from newer inputs.
	 * @param inputs the inputs
	 * @return the decision
	 */
	public ZoneDecision next(ZoneInputs inputs) {
		long elapsedMillis = Math.max(0, inputs.nowMillis() - this.decidedMillis);
		double kept = Math.exp(-elapsedMillis / Math.max(1, inputs.responseMillis()));
		double carried = totalShare() + (this.carriedShare - totalShare()) * kept;
		List<ZoneShare> moved = new ZoneGoals(inputs, carried).shares()
			.stream()
			.map((goal) -> moved(goal, elapsedMillis))
			.sorted(Comparator.comparing(ZoneShare::zone))
			.toList();
		double divisor = Math.max(1, moved.stream().mapToDouble(ZoneShare::share).sum());
		return new ZoneDecision(moved.stream().map((share) -> share.withShare(share.share() / divisor)).toList(),
				carried, inputs.nowMillis());
	}

	// A share that falls to nothing keeps the reason that it began with.
	private ZoneShare moved(ZoneShare goal, long elapsedMillis) {
		Optional<ZoneShare> earlier = of(goal.zone());
		ZoneShare moved = goal.reachedFrom(earlier.map(ZoneShare::share).orElse(0.0), elapsedMillis);
		return (goal.share() == 0 && moved.share() > 0) ? moved.withReason(earlier.orElse(goal).reason()) : moved;
	}

	/**
	 * Returns the share of another zone.
	 * @param zone the zone's name
	 * @return the share, empty if the zone can't get requests
	 */
	public Optional<ZoneShare> of(String zone) {
		return this.shares.stream().filter((share) -> share.zone().equals(zone)).findFirst();
	}

	/**
	 * Returns the share of all requests that leave the zone.
	 * @return the share, from 0 to 1
	 */
	public double totalShare() {
		return this.shares.stream().mapToDouble(ZoneShare::share).sum();
	}

	/**
	 * Chooses the other zone that a request may go to.
	 * @param draw a uniform random number from 0 (inclusive) to 1 (exclusive)
	 * @return the other zone, empty if the request stays
	 */
	public Optional<ZoneShare> choose(double draw) {
		return choose(draw, ZoneShare::share);
	}

	/**
	 * Chooses the other zone that a request may go to which no head of the own zone
	 * accepts.
	 * @param draw a uniform random number from 0 (inclusive) to 1 (exclusive)
	 * @return the other zone, empty if the request can't be served now
	 */
	public Optional<ZoneShare> chooseForRefused(double draw) {
		return choose(draw, ZoneShare::overflow);
	}

	private Optional<ZoneShare> choose(double draw, ToDoubleFunction<ZoneShare> size) {
		double remaining = draw;
		for (ZoneShare share : this.shares) {
			remaining -= size.applyAsDouble(share);
			if (remaining < 0) {
				return Optional.of(share);
			}
		}
		return Optional.empty();
	}

}
