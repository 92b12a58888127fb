package org.monsoonvalve.admission.process;

/**
 * The share of a process's requests of a demand that another zone gets.
 *
 * @author monsoonvalve maintainers
 * @param zone the other zone
 * @param share the share of all requests, from 0 to 1
 * @param overflow the share of those requests that no head of the own zone accepts, from
 * 0 to 1
 * @param reason why requests leave the own zone
 * @param costMillis the cost to add to the forecast of an endpoint of the zone, in
 * milliseconds
 */
public record ZoneShare(String zone, double share, double overflow, LeaveReason reason, double costMillis) {

	/** Share below which a falling share ends; one request in a hundred is no load. */
	private static final double MIN_SHARE = 0.01;

	/**
	 * Returns this goal as reached from an earlier share.
	 * @param earlier the earlier share
	 * @param elapsedMillis the time since then, in milliseconds
	 * @return the share with this goal's other values
	 */
	ZoneShare reachedFrom(double earlier, long elapsedMillis) {
		double moved = this.reason.approach(earlier, this.share, elapsedMillis);
		return withShare((moved < MIN_SHARE && this.share < MIN_SHARE) ? 0 : moved);
	}

	/**
	 * Returns this value with another share.
	 * @param other the other share
	 * @return the value
	 */
	ZoneShare withShare(double other) {
		return new ZoneShare(this.zone, other, this.overflow, this.reason, this.costMillis);
	}

	/**
	 * Returns this value with another reason.
	 * @param other the other reason
	 * @return the value
	 */
	ZoneShare withReason(LeaveReason other) {
		return new ZoneShare(this.zone, this.share, this.overflow, other, this.costMillis);
	}

}
