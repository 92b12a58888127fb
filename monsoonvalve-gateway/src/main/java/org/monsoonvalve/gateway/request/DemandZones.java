package org.monsoonvalve.gateway.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.monsoonvalve.admission.process.ZoneDecision;
import org.monsoonvalve.admission.process.ZoneInputs;
import org.monsoonvalve.admission.process.ZoneShare;
import org.monsoonvalve.admission.process.ZoneState;
import org.monsoonvalve.admission.version.EngineTimings;
import org.monsoonvalve.admission.version.SteadyLoad;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.gateway.connection.Endpoint;
import org.monsoonvalve.gateway.connection.EndpointCost;
import org.monsoonvalve.gateway.connection.EndpointSet;
import org.monsoonvalve.gateway.process.DecisionLog;
import org.monsoonvalve.gateway.version.EngineProfile;

/**
 * The state of the availability zones for one demand and the decision that follows from
 * it. Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
final class DemandZones {

	/**
	 * Shortest time between two decisions; loads are reported at most some times per
	 * second, and examining all heads for each request would cost too much.
	 */
	static final long UPDATE_MILLIS = 50;

	/** Size of an event of a stream with some tokens of text and the framing. */
	private static final double BYTES_PER_EVENT = 120;

	private final ZoneDemand key;

	private final EndpointSet endpoints;

	private final IntSupplier processCount;

	private final RequestForecasts forecasts;

	private final DecisionLog log;

	private final Map<String, Double> meanOtherRequests = new HashMap<>();

	private ZoneDecision decision;

	private boolean decided;

	/**
	 * Creates a state without a share.
	 * @param key the demand
	 * @param endpoints the endpoints in use
	 * @param processCount returns the number of processes
	 * @param forecasts forecast the first event at an endpoint
	 * @param log receives the starts and ends of shares
	 * @param nowMillis the time of the event loop, in milliseconds
	 */
	DemandZones(ZoneDemand key, EndpointSet endpoints, IntSupplier processCount, RequestForecasts forecasts,
			DecisionLog log, long nowMillis) {
		this.key = key;
		this.endpoints = endpoints;
		this.processCount = processCount;
		this.forecasts = forecasts;
		this.log = log;
		this.decision = ZoneDecision.initial(nowMillis);
	}

	/**
	 * Decides anew if the last decision is old enough.
	 * @param request a request of the demand
	 * @param candidates the endpoints that serve the demand
	 * @param condition tells whether an endpoint accepts the request, whether or not it
	 * was sent there before
	 * @param nowMillis the time of the event loop, in milliseconds
	 * @return {@code true} if there is a new decision
	 */
	boolean update(RequestProfile request, List<Endpoint> candidates, Predicate<Endpoint> condition, long nowMillis) {
		if (this.decided && idleMillis(nowMillis) < UPDATE_MILLIS) {
			return false;
		}
		this.decided = true;
		Map<String, List<Endpoint>> byZone = candidates.stream()
			.collect(Collectors.groupingBy((endpoint) -> endpoint.record().zone()));
		this.meanOtherRequests.clear();
		byZone.forEach((zone, heads) -> this.meanOtherRequests.put(zone, meanOtherRequests(heads, nowMillis)));
		ZoneDecision before = this.decision;
		this.decision = before.next(inputs(request, byZone, condition, nowMillis));
		logChanges(before);
		return true;
	}

	private static double meanOtherRequests(List<Endpoint> heads, long nowMillis) {
		return heads.stream()
			.mapToInt((endpoint) -> endpoint.reportedOtherRequests(nowMillis))
			.filter((others) -> others >= 0)
			.average()
			.orElse(0);
	}

	private ZoneInputs inputs(RequestProfile request, Map<String, List<Endpoint>> byZone, Predicate<Endpoint> condition,
			long nowMillis) {
		EngineTimings timings = request.service().engine().orElseThrow().timings();
		SteadyLoad load = SteadyForecast.loadOf(request);
		double utilisation = load
			.inTimeUtilisation(Math.max(0, this.key.targetMillis() - this.forecasts.offsetMillis(request)));
		double events = Math.ceil((double) request.size().outputTokens() / timings.stepsPerPass());
		List<ZoneState> states = byZone.entrySet()
			.stream()
			.map((entry) -> state(entry.getKey(), entry.getValue(), request, condition, nowMillis))
			.toList();
		return new ZoneInputs(this.endpoints.zone(), states, excludedZones(byZone, nowMillis), this.key.targetMillis(),
				utilisation, load.durationMillis(utilisation * timings.slots()), events * BYTES_PER_EVENT, nowMillis);
	}

	// Another zone whose heads have all failed is taken for unreachable. The own zone is
	// not, as its heads may have failed requests because they are overloaded.
	private Set<String> excludedZones(Map<String, List<Endpoint>> byZone, long nowMillis) {
		Set<String> excluded = byZone.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(this.endpoints.zone()))
			.filter((entry) -> entry.getValue().stream().allMatch((endpoint) -> endpoint.suspected(nowMillis)))
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
		excluded.addAll(this.endpoints.view().evacuatedZones());
		return excluded;
	}

	private ZoneState state(String zone, List<Endpoint> heads, RequestProfile request, Predicate<Endpoint> condition,
			long nowMillis) {
		EngineProfile engine = request.service().engine().orElseThrow();
		EndpointCost forecast = forecast(request);
		List<Endpoint> reported = heads.stream()
			.filter((endpoint) -> endpoint.reportedOtherRequests(nowMillis) >= 0)
			.toList();
		List<Endpoint> open = heads.stream()
			.filter((endpoint) -> !endpoint.suspected(nowMillis) && condition.test(endpoint))
			.toList();
		double ageMillis = reported.stream()
			.mapToLong((endpoint) -> endpoint.reportAgeMillis(nowMillis))
			.average()
			.orElse(ZoneState.MAX_REPORT_AGE_MILLIS);
		OptionalDouble bestMillis = open.stream().mapToDouble((endpoint) -> forecast.of(endpoint, nowMillis)).min();
		return new ZoneState(zone, heads.size(), open.size(), slots(heads), slots(reported),
				heads.stream().mapToDouble((endpoint) -> expectedRequests(endpoint, nowMillis)).sum(),
				heads.stream().mapToInt(Endpoint::ownRequests).sum(), readers(zone),
				Math.round(ageMillis) + engine.timings().reportLagMillis(), bestMillis,
				engine.delayMillis(this.endpoints.zone(), zone));
	}

	private static int slots(List<Endpoint> heads) {
		return heads.stream().mapToInt((endpoint) -> endpoint.record().slots()).sum();
	}

	private int readers(String zone) {
		long members = this.endpoints.view()
			.members()
			.values()
			.stream()
			.filter((member) -> member.zone().equals(zone))
			.count();
		return (int) Math.max(1, this.processCount.getAsInt() - members);
	}

	private double expectedRequests(Endpoint endpoint, long nowMillis) {
		return endpoint.expectedLoad(this.meanOtherRequests.getOrDefault(endpoint.record().zone(), 0.0), nowMillis);
	}

	private void logChanges(ZoneDecision before) {
		this.decision.shares()
			.stream()
			.filter((share) -> share.share() > 0 && isEmpty(before, share.zone()))
			.forEach((share) -> log(LogEvent.ZONE_SHARE_STARTED, share));
		before.shares()
			.stream()
			.filter((share) -> share.share() > 0 && isEmpty(this.decision, share.zone()))
			.forEach((share) -> log(LogEvent.ZONE_SHARE_ENDED, share));
	}

	private static boolean isEmpty(ZoneDecision decision, String zone) {
		return decision.of(zone).filter((share) -> share.share() > 0).isEmpty();
	}

	private void log(LogEvent event, ZoneShare share) {
		this.log.record(event, "demand", this.key.name(), "target_ms", this.key.targetMillis(), "zone", share.zone(),
				"reason", share.reason().label(), "share", share.share(), "cost_ms", share.costMillis(), "view",
				this.endpoints.view().position());
	}

	/**
	 * Returns the forecast of a request, which doesn't include the cost of another zone.
	 * @param request the request
	 * @return the time to the first event at an endpoint, in milliseconds
	 */
	EndpointCost forecast(RequestProfile request) {
		EndpointForecast forecast = this.forecasts.of(request);
		return (endpoint, nowMillis) -> forecast.firstEventMillis(endpoint, expectedRequests(endpoint, nowMillis),
				nowMillis);
	}

	/**
	 * Returns the time since the last decision.
	 * @param nowMillis the time of the event loop, in milliseconds
	 * @return the time in milliseconds
	 */
	long idleMillis(long nowMillis) {
		return nowMillis - this.decision.decidedMillis();
	}

	ZoneDecision decision() {
		return this.decision;
	}

	ZoneDemand key() {
		return this.key;
	}

}
