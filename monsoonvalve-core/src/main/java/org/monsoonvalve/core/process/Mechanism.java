package org.monsoonvalve.core.process;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Safeguards that a test may disable to show that its scenario fails without them.
 *
 * @author monsoonvalve maintainers
 */
public enum Mechanism {

	/** Reads an endpoint's state on its connection before each request. */
	PREFLIGHT,

	/** Checks all members of a replica group before sending to its leader. */
	MEMBER_EVIDENCE,

	/** Issues cold-start slots within an endpoint's capacity across all entries. */
	COLD_SLOTS,

	/** Claims idempotency keys in the platform store. */
	CLAIMS,

	/** Never retries non-repeatable requests. */
	AT_MOST_ONCE,

	/** Rejects lower revisions of documents. */
	MONOTONIC_DOCUMENTS,

	/** Compares the configuration with other processes after a pause. */
	PAUSE_GATE,

	/** Sends new documents to peers. */
	PEER_DOCUMENTS,

	/** Resumes interrupted streams. */
	STREAM_RESUME,

	/** Fails readiness checks and keeps serving for a while before shutdown. */
	GRACEFUL_SHUTDOWN,

	/** Avoids endpoints that are leaving. */
	LEAVING,

	/** Waits until a VM has unloaded its model before it joins another group. */
	UNLOAD_CONFIRMATION,

	/** Checks the controller's lease before each order. */
	LEASE_CHECK,

	/** Shares admission between workspaces by priority and weight. */
	FAIRNESS,

	/** Limits retries to a share of the requests. */
	RETRY_BUDGET;

	private static final Set<Mechanism> DISABLED = EnumSet.noneOf(Mechanism.class);

	/**
	 * Disables mechanisms by their names in lower case with hyphens.
	 * @param names the names, separated by commas
	 * @throws ServingException with {@link FailureCode#INVALID_SETTING} for an unknown
	 * name
	 */
	public static void switchOff(String names) {
		Arrays.stream(names.split(",")).filter((name) -> !name.isBlank()).map(Mechanism::of).forEach(DISABLED::add);
	}

	/**
	 * Returns the disabled mechanisms.
	 * @return the mechanisms
	 */
	public static Set<Mechanism> off() {
		return Set.copyOf(DISABLED);
	}

	/**
	 * Tells whether the mechanism is enabled.
	 * @return {@code false} if a test disabled it
	 */
	public boolean on() {
		return !DISABLED.contains(this);
	}

	/**
	 * Finds a mechanism by its name.
	 * @param name its name in lower case with hyphens
	 * @return the mechanism
	 * @throws ServingException with {@link FailureCode#INVALID_SETTING} for an unknown
	 * name
	 */
	public static Mechanism of(String name) {
		return Arrays.stream(values())
			.filter((mechanism) -> mechanism.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(name.trim()))
			.findFirst()
			.orElseThrow(() -> new ServingException(FailureCode.INVALID_SETTING, "unknown mechanism '" + name + "'"));
	}

}
