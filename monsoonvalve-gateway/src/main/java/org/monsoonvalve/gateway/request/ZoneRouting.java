package org.monsoonvalve.gateway.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiPredicate;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

import org.monsoonvalve.admission.process.LeaveReason;
import org.monsoonvalve.admission.process.ZoneShare;
import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.gateway.connection.Endpoint;
import org.monsoonvalve.gateway.connection.EndpointCost;
import org.monsoonvalve.gateway.connection.EndpointSet;
import org.monsoonvalve.gateway.process.DecisionLog;
import org.monsoonvalve.gateway.version.EngineProfile;

/**
 * Selects endpoints of batch-sensitive engines: those of the own availability zone and,
 * for the share of requests that leave, those of one other zone. Confined to the event
 * loop.
 *
 * @author monsoonvalve maintainers
 */
final class ZoneRouting {

	/**
	 * Time after which the decision of a demand without requests is removed; targets
	 * change with the configuration.
	 */
	private static final long MAX_IDLE_MILLIS = 60_000;

	/**
	 * Part of a request's target up to which the way to another zone and back counts as
	 * near. Forecasts are less exact than that.
	 */
	private static final double NEAR_PART_OF_TARGET = 0.01;

	private final EndpointSet endpoints;

	private final IntSupplier processCount;

	private final BiPredicate<RequestProfile, Endpoint> accepts;

	private final RequestForecasts forecasts;

	private final DecisionLog log;

	private final RequestMetrics metrics;

	private final DoubleSupplier draws;

	private final Map<ZoneDemand, DemandZones> demands = new HashMap<>();

	private final Set<String> registeredShares = new HashSet<>();

	/**
	 * Creates the selection.
	 * @param endpoints the endpoints in use
	 * @param processCount returns the number of processes
	 * @param accepts tells whether an endpoint accepts a request now
	 * @param forecasts forecast the first event at an endpoint
	 * @param log receives the starts and ends of shares
	 * @param metrics counts the requests that leave the zone
	 */
	ZoneRouting(EndpointSet endpoints, IntSupplier processCount, BiPredicate<RequestProfile, Endpoint> accepts,
			RequestForecasts forecasts, DecisionLog log, RequestMetrics metrics) {
		this(endpoints, processCount, accepts, forecasts, log, metrics, () -> ThreadLocalRandom.current().nextDouble());
	}

	ZoneRouting(EndpointSet endpoints, IntSupplier processCount, BiPredicate<RequestProfile, Endpoint> accepts,
			RequestForecasts forecasts, DecisionLog log, RequestMetrics metrics, DoubleSupplier draws) {
		this.endpoints = endpoints;
		this.processCount = processCount;
		this.accepts = accepts;
		this.forecasts = forecasts;
		this.log = log;
		this.metrics = metrics;
		this.draws = draws;
	}

	/**
	 * Selects the endpoint with the lowest cost in the own zone and the zone that the
	 * request may leave to. If none of these accepts the request, it may use what the
	 * other zones have left for refused requests.
	 * @param request the request
	 * @param candidates the endpoints that serve the request
	 * @param condition the conditions under which an endpoint may get it
	 * @param mayHaveRun whether an earlier attempt may have run; such requests are few,
	 * as the retry budget bounds them, and may go to any zone
	 * @return the endpoint, empty if none may get it
	 */
	Optional<Endpoint> choose(RequestProfile request, List<Endpoint> candidates, Predicate<Endpoint> condition,
			boolean mayHaveRun) {
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		long now = EventLoop.nowMillis();
		DemandZones demand = demandOf(request, now);
		if (demand.update(request, candidates, (endpoint) -> this.accepts.test(request, endpoint), now)) {
			registerShares(demand);
		}
		EndpointCost forecast = demand.forecast(request);
		if (mayHaveRun || areNear(request, candidates)) {
			Optional<Endpoint> soonest = this.endpoints.choose(candidates, condition,
					(endpoint, nowMillis) -> forecast.of(endpoint, nowMillis) + costMillis(demand, endpoint));
			soonest.ifPresent((endpoint) -> count(endpoint, mayHaveRun ? LeaveReason.REPEATED : LeaveReason.NEAR));
			return soonest;
		}
		double draw = this.draws.getAsDouble();
		Optional<ZoneShare> destination = demand.decision().choose(draw);
		Optional<Endpoint> chosen = choose(candidates, condition, forecast, destination);
		if (chosen.isPresent()) {
			destination.ifPresent((share) -> count(chosen.get(), share.reason()));
			return chosen;
		}
		Optional<ZoneShare> overflow = demand.decision().chooseForRefused(draw);
		Optional<Endpoint> refuge = overflow.flatMap((share) -> choose(candidates, condition, forecast, overflow));
		refuge.ifPresent((endpoint) -> count(endpoint, overflow.get().reason().ofRefused()));
		return refuge;
	}

	// Callers don't notice the way to a near zone, so that its endpoints are candidates
	// like the others. The price of its traffic still keeps requests at home while the
	// forecasts are equal.
	private boolean areNear(RequestProfile request, List<Endpoint> candidates) {
		EngineProfile engine = request.service().engine().orElseThrow();
		double maxDelayMillis = NEAR_PART_OF_TARGET * request.route().targetLatencyMillis() / 2;
		return candidates.stream()
			.map((endpoint) -> endpoint.record().zone())
			.filter((zone) -> !zone.equals(this.endpoints.zone()))
			.distinct()
			.mapToDouble((zone) -> engine.delayMillis(this.endpoints.zone(), zone))
			.allMatch((delayMillis) -> delayMillis > 0 && delayMillis <= maxDelayMillis);
	}

	private Optional<Endpoint> choose(List<Endpoint> candidates, Predicate<Endpoint> condition, EndpointCost forecast,
			Optional<ZoneShare> destination) {
		String other = destination.map(ZoneShare::zone).orElse(this.endpoints.zone());
		double otherCostMillis = destination.map(ZoneShare::costMillis).orElse(0.0);
		return this.endpoints.choose(candidates, (endpoint) -> isIn(endpoint, other) && condition.test(endpoint),
				(endpoint, nowMillis) -> forecast.of(endpoint, nowMillis) + (isOwn(endpoint) ? 0 : otherCostMillis));
	}

	private static double costMillis(DemandZones demand, Endpoint endpoint) {
		return demand.decision().of(endpoint.record().zone()).map(ZoneShare::costMillis).orElse(0.0);
	}

	private boolean isIn(Endpoint endpoint, String other) {
		return isOwn(endpoint) || endpoint.record().zone().equals(other);
	}

	private boolean isOwn(Endpoint endpoint) {
		return endpoint.record().zone().equals(this.endpoints.zone());
	}

	private void count(Endpoint endpoint, LeaveReason reason) {
		if (!isOwn(endpoint)) {
			this.metrics.sentToZone(endpoint.record().zone(), reason);
		}
	}

	private DemandZones demandOf(RequestProfile request, long nowMillis) {
		ZoneDemand key = ZoneDemand.of(request);
		DemandZones known = this.demands.get(key);
		if (known != null) {
			return known;
		}
		this.demands.values().removeIf((demand) -> demand.idleMillis(nowMillis) > MAX_IDLE_MILLIS);
		DemandZones created = new DemandZones(key, this.endpoints, this.processCount, this.forecasts, this.log,
				nowMillis);
		this.demands.put(key, created);
		return created;
	}

	// The gauge of a demand shows the highest share among its targets.
	private void registerShares(DemandZones demand) {
		String name = demand.key().name();
		demand.decision()
			.shares()
			.stream()
			.map(ZoneShare::zone)
			.filter((zone) -> this.registeredShares.add(name + "." + zone))
			.forEach((zone) -> this.metrics.registerZoneShare(name, zone, () -> share(name, zone)));
	}

	private double share(String name, String zone) {
		return this.demands.values()
			.stream()
			.filter((demand) -> demand.key().name().equals(name))
			.mapToDouble((demand) -> demand.decision().of(zone).map(ZoneShare::share).orElse(0.0))
			.max()
			.orElse(0);
	}

}
