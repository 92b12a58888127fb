/**
 * Immutable values for configuration, endpoints and groups, which are replaced as a
 * whole, and the planning of replica groups.
 */
package org.monsoonvalve.gateway.version;
