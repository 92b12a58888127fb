package org.monsoonvalve.gateway.version;

/**
 * Limits on the size and the duration of client requests.
 *
 * @author monsoonvalve maintainers
 * @param headerBytes the maximum size of a header section, in bytes
 * @param bodyBytes the maximum size of a body, in bytes
 * @param headerTimeoutMillis the maximum time to receive a header section, in
 * milliseconds
 * @param idleTimeoutMillis the maximum time that a connection stays idle, in milliseconds
 */
public record ClientLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

}
