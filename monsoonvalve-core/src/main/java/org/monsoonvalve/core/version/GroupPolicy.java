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
	 * Keeps one spare VM per fabric domain, so that a lost member is replaced at once.
	 */
	DOWNTIME_FIRST("downtime-first", 1, true, true),

	/** Puts every VM to work, across fabric domains if need be. */
	ACCELERATORS_FIRST("accelerators-first", 0, true, false),

	/** Waits for lost members and fills groups in inventory order. */
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
	 * Finds a policy by its label.
	 * @param label the label used in documents
	 * @return the policy
	 */
	@JsonCreator
	public static GroupPolicy of(String label) {
		return java.util.Arrays.stream(values())
			.filter((policy) -> policy.label.equals(label))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException(
					"groupPolicy must be one of downtime-first, accelerators-first and baseline, not '" + label + "'"));
	}

	/**
	 * Returns the label.
	 * @return the label used in documents
	 */
	@JsonValue
	public String label() {
		return this.label;
	}

	/**
	 * Returns how many VMs of a pool in an availability zone stay out of groups, ready to
	 * replace a lost member.
	 * @return the number of spare VMs
	 */
	public int sparesPerPool() {
		return this.sparesPerPool;
	}

	/**
	 * Tells whether a lost member is replaced by a free VM.
	 * @return {@code false} if the group waits for its member
	 */
	public boolean replacesMembers() {
		return this.replacesMembers;
	}

	/**
	 * Tells whether VMs outside groups hold the weights, and which loads go first.
	 * @return {@code true} if VMs without a group load weights ahead of their use, and
	 * loads that complete a group go before others
	 */
	public boolean preloadsWeights() {
		return this.replacesMembers;
	}

	/**
	 * Tells whether all members of a group must share a fabric domain.
	 * @return {@code false} if a group may span fabric domains when no domain has enough
	 * free VMs
	 */
	public boolean oneDomainOnly() {
		return this.oneDomainOnly;
	}

}
