package org.monsoonvalve.core.connection;

/**
 * What an endpoint says of itself in answer to {@code GET /status}.
 *
 * @author monsoonvalve maintainers
 * @param bootId its incarnation, new at every start
 * @param uptimeMillis how long this incarnation has run, in milliseconds
 * @param warm whether it can take full load
 * @param leaving whether it wants no new work
 * @param group the replica group that it was ordered into, empty if none
 * @param fence the fencing number of the last order that it obeyed
 * @param model the model and version that it has loaded, empty if none
 * @param groupComplete whether it hears all members of its group
 * @param running how many requests it runs, reported with a lag
 */
public record EndpointStatus(String bootId, long uptimeMillis, boolean warm, boolean leaving, String group, long fence,
		String model, boolean groupComplete, int running) {

}
