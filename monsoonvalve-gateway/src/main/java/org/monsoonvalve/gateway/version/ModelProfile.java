package org.monsoonvalve.gateway.version;

/**
 * A model that is served by an engine service.
 *
 * @author monsoonvalve maintainers
 * @param name the model's name
 * @param groupSize the number of VMs per replica
 * @param share the model's initial share of the load
 * @param pace the factor applied to all times of the model's groups
 * @param loadMillis the time to load the weights from the weight store, in milliseconds
 * @param warmMillis the time to join a group with weights that are on the host, in
 * milliseconds
 */
public record ModelProfile(String name, int groupSize, double share, double pace, long loadMillis, long warmMillis) {

}
