package org.monsoonvalve.gateway.request;

import org.monsoonvalve.admission.version.SteadyLoad;
import org.monsoonvalve.gateway.version.EngineProfile;
import org.monsoonvalve.gateway.version.ModelProfile;

/**
 * Forecasts the first event from the engine's timings and the expected number of
 * requests, all of the usual size.
 *
 * @author monsoonvalve maintainers
 */
final class SteadyForecast {

	private SteadyForecast() {
	}

	/**
	 * Returns the forecast of a request.
	 * @param request the request
	 * @return its forecast at each endpoint
	 */
	static EndpointForecast of(RequestProfile request) {
		SteadyLoad load = loadOf(request);
		return (endpoint, expectedRequests, nowMillis) -> load.firstEventMillis(expectedRequests + 1);
	}

	/**
	 * Returns the estimate for the engines that serve a request.
	 * @param request the request
	 * @return the estimate for the request's model
	 */
	static SteadyLoad loadOf(RequestProfile request) {
		EngineProfile engine = request.service().engine().orElseThrow();
		double pace = request.model().flatMap(engine::model).map(ModelProfile::pace).orElse(1.0);
		return new SteadyLoad(engine.timings(), pace, engine.usualSize());
	}

}
