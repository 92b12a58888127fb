package org.monsoonvalve.gateway.connection;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.gateway.process.DecisionLog;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.GroupMembership;

/**
 * The endpoints in use, and the choice among them. Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
public final class EndpointSet {

	/**
	 * Requests by which an endpoint of the own zone may be busier than one elsewhere;
	 * links between zones are slower and cost money.
	 */
	private static final int ZONE_PREFERENCE = 3;

	/**
	 * Silence of an endpoint with requests at it after which others are tried first;
	 * first events take up to this long.
	 */
	private static final long SILENCE_MILLIS = 350;

	private final String zone;

	private final Function<EndpointRecord, Endpoint> factory;

	private final DecisionLog log;

	private final Map<String, Endpoint> byIncarnation = new HashMap<>();

	private FleetView view = FleetView.empty();

	// The endpoints that may take requests, by service; found once for each view.
	private Map<String, List<Endpoint>> usable = Map.of();

	/**
	 * Creates a set without endpoints.
	 * @param zone the availability zone of this process
	 * @param factory creates the state of a new incarnation
	 * @param log is told of endpoints that come and go
	 */
	public EndpointSet(String zone, Function<EndpointRecord, Endpoint> factory, DecisionLog log) {
		this.zone = zone;
		this.factory = factory;
		this.log = log;
	}

	/**
	 * Takes a newer view of the fleet.
	 * @param newer the view
	 */
	public void update(FleetView newer) {
		this.view = newer;
		Map<String, EndpointRecord> present = new HashMap<>();
		newer.endpoints().values().forEach((record) -> present.put(record.incarnation(), record));
		this.byIncarnation.entrySet().removeIf((entry) -> {
			boolean left = !present.containsKey(entry.getKey());
			if (left) {
				entry.getValue().remove();
				record(LogEvent.ENDPOINT_LEFT, entry.getValue().record());
			}
			return left;
		});
		present.forEach((incarnation,
				record) -> this.byIncarnation.computeIfAbsent(incarnation, (absent) -> joined(record)).update(record));
		this.usable = this.byIncarnation.values()
			.stream()
			.filter((endpoint) -> usable(endpoint.record()))
			.collect(Collectors.groupingBy((endpoint) -> endpoint.record().service()));
	}

	private boolean usable(EndpointRecord record) {
		return !record.draining() && !this.view.evacuatedZones().contains(record.zone())
				&& (record.membership().isEmpty() || this.view.servesWholeGroup(record));
	}

	private Endpoint joined(EndpointRecord record) {
		record(LogEvent.ENDPOINT_JOINED, record);
		return this.factory.apply(record);
	}

	private void record(LogEvent event, EndpointRecord record) {
		this.log.record(event, "endpoint", record.id(), "service", record.service(), "address", record.address(),
				"zone", record.zone(), "staged", record.staged(), "models", record.models(), "group",
				record.membership().map(GroupMembership::group).orElse(""), "record", record.revision(), "view",
				this.view.revision());
	}

	/**
	 * Returns the view that the endpoints were taken from.
	 * @return the view
	 */
	public FleetView view() {
		return this.view;
	}

	/**
	 * Lists the endpoints of a service that may take requests.
	 * @param service the service's name
	 * @param model the model that a group must carry, empty for a plain service
	 * @return the endpoints, in no order
	 */
	public List<Endpoint> eligible(String service, Optional<String> model) {
		List<Endpoint> all = this.usable.getOrDefault(service, List.of());
		return model.isEmpty() ? all
				: all.stream().filter((endpoint) -> serves(endpoint.record(), model.get())).toList();
	}

	private static boolean serves(EndpointRecord record, String model) {
		return record.models().contains(model) && record.membership().isPresent();
	}

	/**
	 * Chooses the endpoint that will answer soonest.
	 * @param candidates endpoints that may take the request
	 * @param usable a further condition
	 * @return the endpoint, empty if none is usable
	 */
	public Optional<Endpoint> choose(List<Endpoint> candidates, Predicate<Endpoint> usable) {
		long now = EventLoop.nowMillis();
		double meanOthers = candidates.stream()
			.mapToInt((endpoint) -> endpoint.reportedOthers(now))
			.filter((others) -> others >= 0)
			.average()
			.orElse(0);
		return candidates.stream()
			.filter(usable)
			.map((endpoint) -> ranked(endpoint, meanOthers, now))
			.min(Comparator.comparing(Ranked::avoided)
				.thenComparingDouble(Ranked::cost)
				.thenComparingDouble(Ranked::tieBreak))
			.map(Ranked::endpoint);
	}

	private Ranked ranked(Endpoint endpoint, double meanOthers, long nowMillis) {
		boolean avoided = endpoint.suspected(nowMillis) || endpoint.silentMillis(nowMillis) > SILENCE_MILLIS;
		double cost = endpoint.expectedLoad(meanOthers, nowMillis)
				+ (endpoint.record().zone().equals(this.zone) ? 0 : ZONE_PREFERENCE);
		return new Ranked(endpoint, avoided, cost, ThreadLocalRandom.current().nextDouble());
	}

	// Equals are tried in random order, as many processes choose at the same moment.
	private record Ranked(Endpoint endpoint, boolean avoided, double cost, double tieBreak) {

	}

}
