package org.monsoonvalve.gateway.version;

/**
 * A workspace, the tenant that a request belongs to, as identified by its API key.
 *
 * @author monsoonvalve maintainers
 * @param name the workspace's name, which is passed on to endpoints
 * @param priority its priority among workspaces, 0 first
 */
public record Workspace(String name, int priority) {

}
