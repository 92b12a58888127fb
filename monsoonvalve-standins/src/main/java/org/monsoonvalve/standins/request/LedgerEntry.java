package org.monsoonvalve.standins.request;

/**
 * One execution, as a stand-in endpoint recorded it.
 *
 * @author monsoonvalve maintainers
 * @param timeMillis when it began, in milliseconds since the epoch
 * @param kind what happened: {@code run}, {@code collapse}, {@code load} or
 * {@code unload}
 * @param requestId the request's identifier
 * @param idempotencyKey the caller's idempotency key, empty without one
 * @param clientId what the caller named the request, empty without a name
 * @param vm the VM
 * @param zone its availability zone
 * @param bootId the endpoint's incarnation
 * @param cold whether the endpoint was cold
 * @param concurrent how many requests ran, this one included; for a cold endpoint those
 * begun while it was cold
 * @param toldCold how many of them began although the endpoint had not said on their
 * connection, a moment before, that it was warm
 * @param group the replica group, empty for plain services
 * @param fence the fencing number in force
 * @param complete whether the endpoint heard all members of its group
 * @param toldComplete whether it had said so on the request's connection a moment before
 * @param path the request's method and path
 */
public record LedgerEntry(long timeMillis, String kind, String requestId, String idempotencyKey, String clientId,
		String vm, String zone, String bootId, boolean cold, int concurrent, int toldCold, String group, long fence,
		boolean complete, boolean toldComplete, String path) {

	/** What an entry's line on standard output begins with. */
	public static final String LINE_PREFIX = "LEDGER ";

	/** A request that ran. */
	public static final String RUN = "run";

	/** A collapse of a cold endpoint under too much load. */
	public static final String COLLAPSE = "collapse";

	/** An order to load that was obeyed. */
	public static final String LOAD = "load";

	/** An order to unload that was obeyed. */
	public static final String UNLOAD = "unload";

}
