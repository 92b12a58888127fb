package org.monsoonvalve.gateway.request;

import org.monsoonvalve.gateway.connection.Endpoint;

/**
 * Forecasts the time to the first event of a request at each endpoint.
 *
 * @author monsoonvalve maintainers
 */
@FunctionalInterface
interface EndpointForecast {

	/**
	 * Returns the forecast without the delay between availability zones.
	 * @param endpoint the endpoint
	 * @param expectedRequests the expected number of requests at the endpoint
	 * @param nowMillis the time of the event loop, in milliseconds
	 * @return the time to the first event, in milliseconds
	 */
	double firstEventMillis(Endpoint endpoint, double expectedRequests, long nowMillis);

}
