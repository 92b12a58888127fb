package org.monsoonvalve.admission.process;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * What the decision to send requests of a demand to other zones depends on.
 *
 * @author monsoonvalve maintainers
 * @param ownZone the zone of this process
 * @param zones the zones with endpoints that serve the demand
 * @param excludedZones the zones that are evacuated or unreachable
 * @param targetMillis the target for the first event, in milliseconds
 * @param inTimeUtilisation the highest ratio of requests to slots at which the target is
 * met
 * @param responseMillis the expected time from sending a request to the end of its
 * response, in milliseconds
 * @param responseBytes the expected size of a response
 * @param nowMillis the current time, in milliseconds
 */
public record ZoneInputs(String ownZone, List<ZoneState> zones, Set<String> excludedZones, double targetMillis,
		double inTimeUtilisation, double responseMillis, double responseBytes, long nowMillis) {

	/**
	 * Price of 1,024 bytes between zones as a part of the target: a response of 3 KB that
	 * leaves the zone must come at least 3% of its target sooner.
	 */
	private static final double TARGET_PER_KILOBYTE = 0.01;

	/**
	 * Upper bound of the price as a part of the target; a large response may leave a zone
	 * that can't serve it, too.
	 */
	private static final double MAX_PRICE_PER_TARGET = 0.25;

	private static final double BYTES_PER_KILOBYTE = 1024;

	/**
	 * Creates inputs with copies of the collections.
	 */
	public ZoneInputs {
		zones = List.copyOf(zones);
		excludedZones = Set.copyOf(excludedZones);
	}

	/**
	 * Returns the cost of sending a request to another zone: the delay in both directions
	 * and the price of the response's bytes.
	 * @param zone the other zone
	 * @return the cost in milliseconds
	 */
	double costMillis(ZoneState zone) {
		double price = this.targetMillis
				* Math.min(MAX_PRICE_PER_TARGET, TARGET_PER_KILOBYTE * this.responseBytes / BYTES_PER_KILOBYTE);
		return 2 * zone.delayMillis() + price;
	}

	/**
	 * Returns the own zone if it can get requests.
	 * @return the zone, empty if it has no head or is excluded
	 */
	Optional<ZoneState> own() {
		return this.zones.stream()
			.filter((zone) -> zone.zone().equals(this.ownZone))
			.filter(this::mayGetRequests)
			.findFirst();
	}

	/**
	 * Returns the other zones that can get requests.
	 * @return the zones that have a head and are not excluded
	 */
	List<ZoneState> others() {
		return this.zones.stream()
			.filter((zone) -> !zone.zone().equals(this.ownZone))
			.filter(this::mayGetRequests)
			.toList();
	}

	private boolean mayGetRequests(ZoneState zone) {
		return zone.heads() > 0 && !this.excludedZones.contains(zone.zone());
	}

	/**
	 * Returns the number of requests that this process has in progress.
	 * @return the number of requests in all zones, at least 1
	 */
	double ownRequests() {
		return Math.max(1, this.zones.stream().mapToDouble(ZoneState::ownRequests).sum());
	}

}
