package org.monsoonvalve.core.connection;

/**
 * The status that an endpoint reports in response to {@code GET /status}.
 *
 * @author monsoonvalve maintainers
 * @param bootId the identifier of its incarnation, new on every start
 * @param uptimeMillis the uptime of this incarnation, in milliseconds
 * @param warm whether it can take full load
 * @param leaving whether it asks for no new requests
 * @param group the replica group that it was ordered to join, empty if none
 * @param fence the fencing token of the last order that it carried out
 * @param model the model and version that it has loaded, empty if none
 * @param groupComplete whether all members of its group respond to it
 * @param running the number of requests in progress, reported with a delay
 */
public record EndpointStatus(String bootId, long uptimeMillis, boolean warm, boolean leaving, String group, long fence,
		String model, boolean groupComplete, int running) {

}
