package org.monsoonvalve.admission.version;

/**
 * The replica groups of a model.
 *
 * @author monsoonvalve maintainers
 * @param model the model's name
 * @param groupVms the number of VMs per group
 * @param slots the maximum number of concurrent requests of a group
 * @param loadMillis the time to load the weights, in milliseconds
 */
public record ModelGroups(String model, int groupVms, int slots, long loadMillis) {

	/**
	 * Assumed mean time between two failures or departures of a VM, in milliseconds. With
	 * it, a group of 8 VMs is out of service for 13% of the time if each repair takes a
	 * load.
	 */
	private static final double VM_FAILURE_INTERVAL_MILLIS = 1_200_000;

	/** Time until the loss of a member has been noticed and its group released. */
	private static final double DETECTION_MILLIS = 4000;

	/** Upper limit of the part of the time in which a group is taken to be broken. */
	private static final double MAX_BROKEN_PART = 0.5;

	/**
	 * Returns the VMs that a demand needs, including a reserve for broken groups. Any
	 * member breaks its group, so the reserve grows with the size of the group.
	 * @param demandSlots the demand in slots, which are slot-seconds per second
	 * @return the number of VMs, not rounded
	 */
	public double neededVms(double demandSlots) {
		double brokenPart = Math.min(MAX_BROKEN_PART,
				this.groupVms * (DETECTION_MILLIS + this.loadMillis) / VM_FAILURE_INTERVAL_MILLIS);
		return demandSlots / Math.max(1, this.slots) * this.groupVms / (1 - brokenPart);
	}

}
