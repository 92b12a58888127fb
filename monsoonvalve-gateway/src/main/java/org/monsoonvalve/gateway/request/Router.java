package org.monsoonvalve.gateway.request;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.Route;
import org.monsoonvalve.gateway.version.ServiceProfile;
import org.monsoonvalve.gateway.version.ServingConfiguration;
import org.monsoonvalve.gateway.version.Workspace;

/**
 * Matches requests to the routes of the configuration.
 *
 * @author monsoonvalve maintainers
 */
final class Router {

	private static final String BEARER_PREFIX = "Bearer ";

	private Router() {
	}

	/**
	 * Finds the route, service and workspace of a request.
	 * @param view the current view of the fleet
	 * @param call the request
	 * @return the match
	 * @throws ServingException with {@link FailureCode#NOT_READY} before a configuration
	 * was received, {@link FailureCode#NOT_FOUND} if no route matches,
	 * {@link FailureCode#UNAUTHENTICATED} if the route requires a key and the request has
	 * no known one, or {@link FailureCode#NO_CAPACITY} if the service is not configured
	 */
	static Match match(FleetView view, IncomingCall call) {
		ServingConfiguration configuration = view.configuration()
			.orElseThrow(() -> new ServingException(FailureCode.NOT_READY, "no configuration has been received yet"));
		String host = call.headers().get("Host").map(Router::withoutPort).orElse("");
		Route route = configuration.route(host, call.path())
			.orElseThrow(() -> new ServingException(FailureCode.NOT_FOUND, "no route matches the host and path"));
		Optional<Workspace> workspace = call.headers()
			.get("Authorization")
			.filter((value) -> value.startsWith(BEARER_PREFIX))
			.flatMap((value) -> configuration.workspace(value.substring(BEARER_PREFIX.length()).strip()));
		if (configuration.keysRequired() && !route.open() && workspace.isEmpty()) {
			throw new ServingException(FailureCode.UNAUTHENTICATED, "the request has no known API key");
		}
		String service = route.chooseService(ThreadLocalRandom.current().nextDouble());
		ServiceProfile profile = configuration.service(service)
			.orElseThrow(() -> new ServingException(FailureCode.NO_CAPACITY, "the route's service is not configured"));
		return new Match(route, profile, workspace);
	}

	private static String withoutPort(String host) {
		int colon = host.indexOf(':');
		return (colon < 0) ? host : host.substring(0, colon);
	}

	/**
	 * The result of matching a request.
	 *
	 * @param route the matching route
	 * @param service the service selected by weight among the route's targets
	 * @param workspace the caller's workspace, empty without a known key
	 */
	record Match(Route route, ServiceProfile service, Optional<Workspace> workspace) {

	}

}
