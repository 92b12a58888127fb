package org.monsoonvalve.gateway.version;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.monsoonvalve.admission.request.Urgency;

/**
 * One version of the operators' configuration: routes, services, workspaces and limits.
 *
 * @author monsoonvalve maintainers
 */
public final class ServingConfiguration {

	private final long version;

	private final Map<String, List<Route>> routesByHost;

	private final Map<String, ServiceProfile> services;

	private final Map<String, Workspace> workspacesByKey;

	private final boolean keysRequired;

	private final ClientLimits limits;

	private final UrgencyRanks urgencyRanks;

	private ServingConfiguration(long version, Map<String, List<Route>> routesByHost,
			Map<String, ServiceProfile> services, Map<String, Workspace> workspacesByKey, boolean keysRequired,
			ClientLimits limits, UrgencyRanks urgencyRanks) {
		this.version = version;
		this.routesByHost = routesByHost;
		this.services = services;
		this.workspacesByKey = workspacesByKey;
		this.keysRequired = keysRequired;
		this.limits = limits;
		this.urgencyRanks = urgencyRanks;
	}

	/**
	 * Creates a configuration.
	 * @param version the version number, which operators assign
	 * @param routes the routes
	 * @param services the services
	 * @param workspacesByKey the workspaces by API key
	 * @param keysRequired whether requests need an API key
	 * @param limits the limits on client requests
	 * @return the configuration
	 */
	public static ServingConfiguration of(long version, List<Route> routes, List<ServiceProfile> services,
			Map<String, Workspace> workspacesByKey, boolean keysRequired, ClientLimits limits) {
		Comparator<Route> longestPrefixFirst = Comparator.comparingInt((Route route) -> -route.prefix().length());
		return new ServingConfiguration(version,
				routes.stream().sorted(longestPrefixFirst).collect(Collectors.groupingBy(Route::host)),
				services.stream().collect(Collectors.toMap(ServiceProfile::name, Function.identity())),
				Map.copyOf(workspacesByKey), keysRequired, limits,
				UrgencyRanks.of(routes, workspacesByKey.values(), keysRequired));
	}

	/**
	 * Returns the version number, which operators assign.
	 * @return the version number
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Finds the route of a request.
	 * @param host the request's host, without a port
	 * @param path the request's path
	 * @return the matching route with the longest prefix, empty if none matches
	 */
	public Optional<Route> route(String host, String path) {
		return this.routesByHost.getOrDefault(host, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.prefix()))
			.findFirst();
	}

	/**
	 * Finds a service.
	 * @param name the service's name
	 * @return the service, empty if it is not configured
	 */
	public Optional<ServiceProfile> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns all services.
	 * @return the services
	 */
	public List<ServiceProfile> services() {
		return List.copyOf(this.services.values());
	}

	/**
	 * Finds the workspace of an API key.
	 * @param key the API key
	 * @return the workspace, empty if the key is unknown
	 */
	public Optional<Workspace> workspace(String key) {
		return Optional.ofNullable(this.workspacesByKey.get(key));
	}

	/**
	 * Tells whether requests need an API key on routes that are not open.
	 * @return {@code true} if workspaces are configured
	 */
	public boolean keysRequired() {
		return this.keysRequired;
	}

	/**
	 * Ranks an urgency among those that the routes and workspaces give to the requests of
	 * a service.
	 * @param service the service's name
	 * @param urgency the urgency
	 * @return the rank from 0 (most urgent) to 9, empty if all urgencies of the service
	 * are the same
	 */
	public OptionalInt urgencyRank(String service, Urgency urgency) {
		return this.urgencyRanks.rank(service, urgency);
	}

	/**
	 * Returns the limits on client requests.
	 * @return the limits
	 */
	public ClientLimits limits() {
		return this.limits;
	}

}
