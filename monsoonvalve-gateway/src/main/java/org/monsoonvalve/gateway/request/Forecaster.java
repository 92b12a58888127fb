package org.monsoonvalve.gateway.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import org.monsoonvalve.admission.connection.EngineLoad;
import org.monsoonvalve.admission.process.ForecastError;
import org.monsoonvalve.admission.request.EngineForecast;
import org.monsoonvalve.admission.request.Forecast;
import org.monsoonvalve.admission.request.WorkSize;
import org.monsoonvalve.admission.version.EngineTimings;
import org.monsoonvalve.gateway.connection.Endpoint;
import org.monsoonvalve.gateway.connection.EndpointCost;
import org.monsoonvalve.gateway.connection.EndpointSet;
import org.monsoonvalve.gateway.version.EngineProfile;
import org.monsoonvalve.gateway.version.ModelProfile;

/**
 * Forecasts requests at the endpoints of batch-sensitive engines from what this process
 * knows, and compares the forecasts with the outcomes. Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
final class Forecaster implements RequestForecasts {

	/**
	 * Time for which the mean load of a model's endpoints is used again. At the rates of
	 * reports that a process receives, the mean changes by less than one request in it.
	 */
	private static final long MEAN_VALIDITY_MILLIS = 20;

	/**
	 * Age of a report after which it counts for about half, as its weight decays with a
	 * time constant of 1 s; differences that older reports show count for less.
	 */
	private static final double REPORT_AGE_MILLIS = 500;

	/** Resolution of the clock. */
	private static final double MIN_TOLERANCE_MILLIS = 1;

	private final EndpointSet endpoints;

	private final RequestMetrics metrics;

	private final Map<ServedModel, ModelState> models = new HashMap<>();

	/** The request of the last look-up, as a decision looks it up for each endpoint. */
	private RequestProfile lastRequest;

	private Optional<ModelState> lastState = Optional.empty();

	/**
	 * The endpoint of the last forecast for that request, as a decision forecasts it for
	 * the condition and for the cost.
	 */
	private Endpoint lastEndpoint;

	private long lastForecastMillis;

	private double lastFirstEventMillis;

	/**
	 * Creates a forecaster without outcomes.
	 * @param endpoints the endpoints in use
	 * @param metrics records the errors of forecasts
	 */
	Forecaster(EndpointSet endpoints, RequestMetrics metrics) {
		this.endpoints = endpoints;
		this.metrics = metrics;
	}

	/**
	 * Tells whether the forecast rather than the number of requests decides about a
	 * request.
	 * @param request the request
	 * @return {@code true} for batch-sensitive engines whose forecasts are reliable
	 */
	boolean decides(RequestProfile request) {
		return request.batchSensitive() && state(request).filter((state) -> state.error.reliable()).isPresent();
	}

	/**
	 * Returns the cost of endpoints by their forecast. Forecasts that are nearly equal
	 * become the same cost, among which the choice is random, as many processes decide at
	 * the same time on old reports. The limits between costs differ from one decision to
	 * the next, so that no two forecasts are always told apart.
	 * @param request the request, about which forecasts decide
	 * @return the cost
	 */
	EndpointCost cost(RequestProfile request) {
		double offset = ThreadLocalRandom.current().nextDouble();
		return (endpoint, nowMillis) -> {
			double firstMillis = firstEventMillis(request, endpoint, nowMillis);
			ModelState state = state(request).orElseThrow();
			double toleranceMillis = state.toleranceMillis;
			return Math.floor(firstMillis / toleranceMillis + offset) * toleranceMillis;
		};
	}

	/**
	 * Returns the forecast that decides about a request.
	 * @param request the request to a batch-sensitive engine
	 * @return the forecast as a cost, or an estimate from the expected number of requests
	 * if forecasts don't decide
	 */
	@Override
	public EndpointForecast of(RequestProfile request) {
		if (!decides(request)) {
			return SteadyForecast.of(request);
		}
		EndpointCost cost = cost(request);
		return (endpoint, expectedRequests, nowMillis) -> cost.of(endpoint, nowMillis);
	}

	@Override
	public double offsetMillis(RequestProfile request) {
		return state(request).map((state) -> state.error.offsetMillis()).orElse(0.0);
	}

	/**
	 * Forecasts the first event of a request that gets the last free slot of an engine.
	 * @param request the request
	 * @return the time to the first event in milliseconds, 0 for a model that isn't
	 * configured
	 */
	double firstEventAtLastSlotMillis(RequestProfile request) {
		return state(request)
			.map((state) -> state.error.corrected(state.engine.firstEventMillis(state.bounded(request.size()),
					EngineLoad.none(), Math.max(0, state.timings.slots() - 1))))
			.orElse(0.0);
	}

	/**
	 * Tells whether a request's first event is forecast to reach its caller within the
	 * target of the route, counted from the arrival of the request.
	 * @param request the request, about which forecasts decide
	 * @param endpoint the endpoint
	 * @param nowMillis the time of the event loop, in milliseconds
	 * @return {@code true} if it is
	 */
	boolean meetsTarget(RequestProfile request, Endpoint endpoint, long nowMillis) {
		double arrivalMillis = nowMillis + firstEventMillis(request, endpoint, nowMillis)
				+ networkMillis(request, endpoint);
		return arrivalMillis <= request.startMillis() + request.route().targetLatencyMillis();
	}

	/**
	 * Records that a request is sent to an endpoint.
	 * @param request the request
	 * @param endpoint the endpoint
	 * @param fromStart whether the response begins with this attempt; the first event of
	 * a stream that is resumed says nothing about the forecast
	 * @param nowMillis the time of the event loop, in milliseconds
	 * @return the forecast, empty unless the engine is batch-sensitive
	 */
	Optional<AttemptForecast> started(RequestProfile request, Endpoint endpoint, boolean fromStart, long nowMillis) {
		if (!request.batchSensitive()) {
			return Optional.empty();
		}
		return state(request).map((state) -> {
			Forecast raw = rawForecast(state, request, endpoint, nowMillis);
			this.lastEndpoint = null;
			Forecast corrected = raw.withFirstEvent(state.error.corrected(raw.firstEventMillis()));
			double networkMillis = networkMillis(request, endpoint);
			return new AttemptForecast(
					endpoint.runningRequests().start(state.bounded(request.size()), state.timings.stepsPerPass()),
					corrected, nowMillis, (actualMillis) -> {
						if (fromStart) {
							state.error.record(raw.firstEventMillis(), actualMillis - networkMillis);
							this.metrics.forecastCompared(request.service().name(), state.model.name(),
									Math.round(actualMillis - networkMillis - corrected.firstEventMillis()));
						}
					});
		});
	}

	/**
	 * Forecasts the first event of a request that is sent to an endpoint now, corrected
	 * by the outcomes of earlier forecasts.
	 * @param request the request to a batch-sensitive engine
	 * @param endpoint the endpoint
	 * @param nowMillis the time of the event loop, in milliseconds
	 * @return the time to the first event, in milliseconds
	 */
	double firstEventMillis(RequestProfile request, Endpoint endpoint, long nowMillis) {
		ModelState state = state(request).orElseThrow();
		if (endpoint != this.lastEndpoint || nowMillis != this.lastForecastMillis) {
			this.lastFirstEventMillis = state.error
				.corrected(state.engine.firstEventMillis(state.bounded(request.size()),
						endpoint.runningRequests().load(), expectedOtherRequests(state, request, endpoint, nowMillis)));
			this.lastEndpoint = endpoint;
			this.lastForecastMillis = nowMillis;
		}
		return this.lastFirstEventMillis;
	}

	private Forecast rawForecast(ModelState state, RequestProfile request, Endpoint endpoint, long nowMillis) {
		return state.engine.forecast(state.bounded(request.size()), endpoint.runningRequests().load(),
				expectedOtherRequests(state, request, endpoint, nowMillis));
	}

	private double expectedOtherRequests(ModelState state, RequestProfile request, Endpoint endpoint, long nowMillis) {
		return endpoint.expectedOtherRequests(meanOtherRequests(state, request, nowMillis), nowMillis);
	}

	private double meanOtherRequests(ModelState state, RequestProfile request, long nowMillis) {
		if (nowMillis - state.meanMillis >= MEAN_VALIDITY_MILLIS) {
			List<Endpoint> candidates = this.endpoints.eligible(request.service().name(), request.model());
			state.meanOtherRequests = EndpointSet.meanOtherRequests(candidates, nowMillis);
			state.toleranceMillis = Math.max(MIN_TOLERANCE_MILLIS, state.engine.toleranceMillis(state.meanOtherRequests,
					state.timings.reportLagMillis() + REPORT_AGE_MILLIS));
			state.meanMillis = nowMillis;
		}
		return state.meanOtherRequests;
	}

	private double networkMillis(RequestProfile request, Endpoint endpoint) {
		String zone = endpoint.record().zone();
		return zone.equals(this.endpoints.zone()) ? 0
				: 2 * request.service().engine().orElseThrow().delayMillis(this.endpoints.zone(), zone);
	}

	private Optional<ModelState> state(RequestProfile request) {
		if (request != this.lastRequest) {
			this.lastState = findState(request);
			this.lastEndpoint = null;
			this.lastRequest = request;
		}
		return this.lastState;
	}

	// Callers name models freely; only those that are configured are kept.
	private Optional<ModelState> findState(RequestProfile request) {
		if (request.model().isEmpty()) {
			return Optional.empty();
		}
		EngineProfile engine = request.service().engine().orElseThrow();
		ServedModel key = new ServedModel(request.service().name(), request.model().get());
		ModelState known = this.models.get(key);
		if (known != null && known.profile == engine) {
			return Optional.of(known);
		}
		Optional<ModelState> created = engine.model(key.model())
			.map((model) -> new ModelState(engine, model,
					(known != null && known.describesSame(engine, model)) ? known.error : new ForecastError()));
		created.ifPresent((state) -> this.models.put(key, state));
		return created;
	}

	private record ServedModel(String service, String model) {

	}

	/**
	 * What is known of a service's model under one version of the configuration. The
	 * error is kept over versions that describe the engines the same way.
	 */
	private static final class ModelState {

		private final EngineProfile profile;

		private final EngineTimings timings;

		private final ModelProfile model;

		private final EngineForecast engine;

		private final ForecastError error;

		private double meanOtherRequests;

		private double toleranceMillis;

		private long meanMillis = Long.MIN_VALUE / 2;

		private ModelState(EngineProfile profile, ModelProfile model, ForecastError error) {
			this.profile = profile;
			this.timings = profile.timings();
			this.model = model;
			this.engine = EngineForecast.of(this.timings, model.pace(), profile.usualSize());
			this.error = error;
		}

		private boolean describesSame(EngineProfile other, ModelProfile otherModel) {
			return this.timings.equals(other.timings()) && this.model.pace() == otherModel.pace();
		}

		// Callers state any size, but a request larger than the engine's memory doesn't
		// run.
		private WorkSize bounded(WorkSize size) {
			int max = (int) Math.min(Integer.MAX_VALUE, Math.max(1, this.timings.memoryTokens()));
			return (size.memoryTokens() <= max) ? size
					: new WorkSize(Math.min(max, size.promptTokens()), Math.min(max, size.outputTokens()));
		}

	}

}
