package org.monsoonvalve.gateway.connection;

/**
 * Ranks the endpoints that may get a request.
 *
 * @author monsoonvalve maintainers
 */
@FunctionalInterface
public interface EndpointCost {

	/**
	 * Returns the cost of sending the request to an endpoint.
	 * @param endpoint the endpoint
	 * @param nowMillis the time of the event loop, in milliseconds
	 * @return the cost; the endpoint with the lowest one gets the request
	 */
	double of(Endpoint endpoint, long nowMillis);

}
