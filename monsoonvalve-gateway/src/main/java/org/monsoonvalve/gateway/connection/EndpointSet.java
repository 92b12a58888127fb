package org.monsoonvalve.gateway.connection;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.gateway.process.DecisionLog;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.GroupMembership;

/**
 * Tracks the endpoints in use and selects one for each request. Confined to the event
 * loop.
 *
 * @author monsoonvalve maintainers
 */
public final class EndpointSet {

	/**
	 * Requests added to the load of an endpoint in another availability zone; links
	 * between zones are slower and cost money.
	 */
	private static final int OTHER_ZONE_PENALTY = 3;

	/**
	 * Time without response data, while requests are in progress, after which other
	 * endpoints are preferred; the first event of a stream takes up to this long.
	 */
	private static final long SILENCE_THRESHOLD_MILLIS = 350;

	private final String zone;

	private final Function<EndpointRecord, Endpoint> endpointFactory;

	private final DecisionLog log;

	private final Map<String, Endpoint> byId = new HashMap<>();

	private final Set<Endpoint> eligible = new LinkedHashSet<>();

	private final Map<Demand, List<Endpoint>> eligibleByDemand = new HashMap<>();

	private FleetView view = FleetView.empty();

	/**
	 * Creates an empty set.
	 * @param zone the availability zone of this process
	 * @param endpointFactory creates the endpoint of a new incarnation
	 * @param log receives an event for each endpoint that joins or leaves
	 */
	public EndpointSet(String zone, Function<EndpointRecord, Endpoint> endpointFactory, DecisionLog log) {
		this.zone = zone;
		this.endpointFactory = endpointFactory;
		this.log = log;
	}

	/**
	 * Replaces the view of the fleet by a newer one. Only endpoints that the difference
	 * of the two affects are examined.
	 * @param newer the newer view
	 */
	public void update(FleetView newer) {
		FleetView older = this.view;
		this.view = newer;
		Set<String> changed = newer.endpointsChangedSince(older);
		changed.forEach((id) -> replaceRecord(id, newer.endpoints().get(id)));
		Set<String> affected = new HashSet<>(changed);
		Stream.of(older, newer)
			.flatMap((each) -> changed.stream().flatMap((id) -> each.headOf(id).stream()))
			.forEach(affected::add);
		newer.zonesChangedSince(older)
			.forEach((changedZone) -> this.byId.values()
				.stream()
				.map(Endpoint::record)
				.filter((record) -> record.zone().equals(changedZone))
				.forEach((record) -> affected.add(record.id())));
		if (!affected.isEmpty()) {
			affected.forEach(this::updateEligibility);
			this.eligibleByDemand.clear();
		}
	}

	private void replaceRecord(String id, EndpointRecord record) {
		Endpoint known = this.byId.get(id);
		if (known != null && (record == null || known.record().bornMillis() != record.bornMillis())) {
			this.byId.remove(id);
			this.eligible.remove(known);
			known.remove();
			logChange(LogEvent.ENDPOINT_LEFT, known.record());
		}
		if (record != null) {
			this.byId.computeIfAbsent(id, (absent) -> create(record)).update(record);
		}
	}

	private void updateEligibility(String id) {
		Endpoint endpoint = this.byId.get(id);
		if (endpoint != null && isEligible(endpoint.record())) {
			this.eligible.add(endpoint);
		}
		else {
			this.eligible.remove(endpoint);
		}
	}

	private boolean isEligible(EndpointRecord record) {
		return !record.draining() && !this.view.evacuatedZones().contains(record.zone())
				&& (record.membership().isEmpty() || this.view.servesWholeGroup(record));
	}

	private Endpoint create(EndpointRecord record) {
		logChange(LogEvent.ENDPOINT_JOINED, record);
		return this.endpointFactory.apply(record);
	}

	private void logChange(LogEvent event, EndpointRecord record) {
		this.log.record(event, "endpoint", record.id(), "service", record.service(), "address", record.address(),
				"zone", record.zone(), "staged", record.staged(), "models", record.models(), "group",
				record.membership().map(GroupMembership::group).orElse(""), "record", record.position(), "view",
				this.view.position());
	}

	/**
	 * Returns the view that the endpoints are derived from.
	 * @return the view
	 */
	public FleetView view() {
		return this.view;
	}

	/**
	 * Returns the requests in progress at the endpoints that may receive requests.
	 * @return the number of requests by the endpoint's identifier
	 */
	public Map<String, Integer> requestsAtHeads() {
		long now = EventLoop.nowMillis();
		return this.eligible.stream()
			.collect(Collectors.toMap((endpoint) -> endpoint.record().id(), (endpoint) -> endpoint.load(now),
					(first, second) -> first));
	}

	/**
	 * Lists the endpoints of a service that may receive requests.
	 * @param service the service's name
	 * @param model the model that a group must serve, empty for a service without engines
	 * @return the endpoints, in no particular order
	 */
	public List<Endpoint> eligible(String service, Optional<String> model) {
		Demand demand = new Demand(service, model);
		List<Endpoint> known = this.eligibleByDemand.get(demand);
		if (known != null) {
			return known;
		}
		List<Endpoint> found = this.eligible.stream().filter((endpoint) -> demand.isMetBy(endpoint.record())).toList();
		// Callers name models freely; only those that exist are kept.
		if (!found.isEmpty()) {
			this.eligibleByDemand.put(demand, found);
		}
		return found;
	}

	/**
	 * Returns the availability zone of this process.
	 * @return the zone
	 */
	public String zone() {
		return this.zone;
	}

	/**
	 * Returns the number of demands whose endpoints are cached.
	 * @return the number of demands
	 */
	int cachedDemands() {
		return this.eligibleByDemand.size();
	}

	/**
	 * Selects the endpoint that is expected to respond soonest, by its expected load.
	 * Suspect and silent endpoints are selected only if there is no other; endpoints in
	 * other availability zones are ranked as if they had more load.
	 * @param candidates the endpoints that may receive the request
	 * @param condition a further condition
	 * @return the endpoint, empty if none meets the condition
	 */
	public Optional<Endpoint> choose(List<Endpoint> candidates, Predicate<Endpoint> condition) {
		long now = EventLoop.nowMillis();
		double meanOtherRequests = meanOtherRequests(candidates, now);
		return choose(candidates, condition,
				(endpoint, nowMillis) -> endpoint.expectedLoad(meanOtherRequests, nowMillis)
						+ (endpoint.record().zone().equals(this.zone) ? 0 : OTHER_ZONE_PENALTY));
	}

	/**
	 * Averages the number of other processes' requests over the endpoints that reported
	 * their load recently.
	 * @param candidates the endpoints
	 * @param nowMillis the current time of the event loop, in milliseconds
	 * @return the mean number of requests, 0 if no endpoint reported its load
	 */
	public static double meanOtherRequests(List<Endpoint> candidates, long nowMillis) {
		return candidates.stream()
			.mapToInt((endpoint) -> endpoint.reportedOtherRequests(nowMillis))
			.filter((others) -> others >= 0)
			.average()
			.orElse(0);
	}

	/**
	 * Selects the endpoint with the lowest cost. Suspect and silent endpoints are
	 * selected only if there is no other.
	 * @param candidates the endpoints that may receive the request
	 * @param condition a further condition
	 * @param cost the cost of each endpoint
	 * @return the endpoint, empty if none meets the condition
	 */
	public Optional<Endpoint> choose(List<Endpoint> candidates, Predicate<Endpoint> condition, EndpointCost cost) {
		long now = EventLoop.nowMillis();
		return candidates.stream()
			.filter(condition)
			.map((endpoint) -> new Ranked(endpoint, isAvoided(endpoint, now), cost.of(endpoint, now),
					ThreadLocalRandom.current().nextDouble()))
			.min(Comparator.comparing(Ranked::avoided)
				.thenComparingDouble(Ranked::cost)
				.thenComparingDouble(Ranked::tieBreak))
			.map(Ranked::endpoint);
	}

	private static boolean isAvoided(Endpoint endpoint, long nowMillis) {
		return endpoint.suspected(nowMillis) || endpoint.silentMillis(nowMillis) > SILENCE_THRESHOLD_MILLIS;
	}

	// Ties are broken at random, as many processes select an endpoint at the same time.
	private record Ranked(Endpoint endpoint, boolean avoided, double cost, double tieBreak) {

	}

	private record Demand(String service, Optional<String> model) {

		private boolean isMetBy(EndpointRecord record) {
			return record.service().equals(this.service) && (this.model.isEmpty()
					|| (record.membership().isPresent() && record.models().contains(this.model.get())));
		}

	}

}
