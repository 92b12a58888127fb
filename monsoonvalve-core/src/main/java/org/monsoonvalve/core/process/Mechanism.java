package org.monsoonvalve.core.process;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Mechanisms that a test may switch off to show that its scenario fails without them.
 *
 * @author monsoonvalve maintainers
 */
public enum Mechanism {

	/** Reading the endpoint's state on its connection before each request. */
	PREFLIGHT,

	/** Asking all members of a replica group before sending to its leader. */
	MEMBER_EVIDENCE,

	/** Issuing cold-start slots summed over all entries. */
	COLD_SLOTS,

	/** Claiming idempotency keys at the platform. */
	CLAIMS,

	/** Never retrying non-repeatable requests. */
	AT_MOST_ONCE,

	/** Refusing lower revisions of documents. */
	MONOTONIC_DOCUMENTS,

	/** Comparing the configuration with others after a pause. */
	PAUSE_GATE,

	/** Handing new documents to peers. */
	PEER_DOCUMENTS,

	/** Resuming broken streams. */
	STREAM_RESUME,

	/** Failing readiness and lingering before the end. */
	GRACEFUL_SHUTDOWN,

	/** Honouring leaving endpoints. */
	LEAVING,

	/** Waiting for a VM's unloading before it joins another group. */
	UNLOAD_CONFIRMATION,

	/** Checking the controller's lease before each order. */
	LEASE_CHECK,

	/** Sharing admission fairly between workspaces. */
	FAIRNESS,

	/** Limiting retries to a share of requests. */
	RETRY_BUDGET;

	private static final Set<Mechanism> OFF = EnumSet.noneOf(Mechanism.class);

	/**
	 * Switches mechanisms off by their names in lower case with hyphens.
	 * @param names the names, separated by commas
	 * @throws ServingException with {@link FailureCode#INVALID_SETTING} for an unknown
	 * name
	 */
	public static void switchOff(String names) {
		Arrays.stream(names.split(",")).filter((name) -> !name.isBlank()).map(Mechanism::of).forEach(OFF::add);
	}

	/**
	 * Returns the mechanisms that a test switched off.
	 * @return the mechanisms
	 */
	public static Set<Mechanism> off() {
		return Set.copyOf(OFF);
	}

	/**
	 * Tells whether the mechanism works.
	 * @return {@code false} if a test switched it off
	 */
	public boolean on() {
		return !OFF.contains(this);
	}

	/**
	 * Finds a mechanism.
	 * @param name its name in lower case with hyphens
	 * @return the mechanism
	 */
	public static Mechanism of(String name) {
		return Arrays.stream(values())
			.filter((mechanism) -> mechanism.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(name.trim()))
			.findFirst()
			.orElseThrow(() -> new ServingException(FailureCode.INVALID_SETTING, "no mechanism '" + name + "'"));
	}

}
