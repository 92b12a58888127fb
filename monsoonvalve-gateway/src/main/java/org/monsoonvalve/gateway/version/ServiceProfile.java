package org.monsoonvalve.gateway.version;

import java.util.Optional;

/**
 * A service that endpoints provide.
 *
 * @author monsoonvalve maintainers
 * @param name the service's name
 * @param healthPath the HTTP path of health checks
 * @param maxConnections the maximum number of connections per endpoint, over all callers
 * @param coldStartMillis the time after its start for which an endpoint is cold, that is
 * slow, in milliseconds
 * @param coldRequestsPerSecond the maximum request rate of a cold endpoint, per second, 0
 * for no limit
 * @param engine the profile of the engines, empty for a service without engines
 */
public record ServiceProfile(String name, String healthPath, int maxConnections, long coldStartMillis,
		double coldRequestsPerSecond, Optional<EngineProfile> engine) {

}
