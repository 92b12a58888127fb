package org.monsoonvalve.gateway.request;

/**
 * Provides the forecast of each request at a batch-sensitive engine.
 *
 * @author monsoonvalve maintainers
 */
@FunctionalInterface
interface RequestForecasts {

	/**
	 * Returns the forecast of a request.
	 * @param request the request
	 * @return its forecast at each endpoint
	 */
	EndpointForecast of(RequestProfile request);

	/**
	 * Returns the time that requests take to their first event beyond what the engine's
	 * timings say.
	 * @param request the request
	 * @return the time in milliseconds, 0 if it isn't known
	 */
	default double offsetMillis(RequestProfile request) {
		return 0;
	}

}
