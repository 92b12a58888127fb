package org.monsoonvalve.core.version;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Policies for forming and repairing replica groups.
 *
 * @author monsoonvalve maintainers
 */
public enum GroupPolicy {

	/**
	 * Keeps one spare VM per pool and availability zone, so that a lost member is
	 * replaced immediately, and keeps every group in one fabric domain.
	 */
	DOWNTIME_FIRST("downtime-first", 1, true, true),

	/** Assigns every VM to a group, across fabric domains if necessary. */
	ACCELERATORS_FIRST("accelerators-first", 0, true, false),

	/** Waits for lost members to return and fills groups in inventory order. */
	BASELINE("baseline", 0, false, false);

	private final String label;

	private final int sparesPerPool;

	private final boolean replacesMembers;

	private final boolean oneDomainOnly;

	GroupPolicy(String label, int sparesPerPool, boolean replacesMembers, boolean oneDomainOnly) {
		this.label = label;
		this.sparesPerPool = sparesPerPool;
		this.replacesMembers = replacesMembers;
		this.oneDomainOnly = oneDomainOnly;
	}

	/**
	 * Returns the policy with a label.
	 * @param label the label used in documents
	 * @return the policy
	 * @throws IllegalArgumentException if no policy has this label
	 */
	@JsonCreator
	public static GroupPolicy of(String label) {
		return java.util.Arrays.stream(values())
			.filter((policy) -> policy.label.equals(label))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException(
					"groupPolicy must be downtime-first, accelerators-first or baseline, not '" + label + "'"));
	}

	/**
	 * Returns the label of this policy.
	 * @return the label used in documents
	 */
	@JsonValue
	public String label() {
		return this.label;
	}

	/**
	 * Returns how many VMs of a pool are kept outside groups in each availability zone,
	 * ready to replace a lost member.
	 * @return the number of spare VMs
	 */
	public int sparesPerPool() {
		return this.sparesPerPool;
	}

	/**
	 * Returns whether a free VM replaces a lost group member.
	 * @return {@code false} if the group waits for the member to return
	 */
	public boolean replacesMembers() {
		return this.replacesMembers;
	}

	/**
	 * Returns whether VMs outside groups preload model weights.
	 * @return {@code true} if VMs without a group load weights before they are needed,
	 * and loads that complete a group take precedence over other loads
	 */
	public boolean preloadsWeights() {
		return this.replacesMembers;
	}

	/**
	 * Returns whether all members of a group must be in one fabric domain.
	 * @return {@code false} if a group may span fabric domains when no single domain has
	 * enough free VMs
	 */
	public boolean oneDomainOnly() {
		return this.oneDomainOnly;
	}

}
