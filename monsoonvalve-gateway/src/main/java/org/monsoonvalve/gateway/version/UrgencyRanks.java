package org.monsoonvalve.gateway.version;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.monsoonvalve.admission.request.Urgency;

/**
 * The ranks of the urgencies that the requests of a service can have, for engines, which
 * know ten of them.
 *
 * @author monsoonvalve maintainers
 */
final class UrgencyRanks {

	private static final int RANKS = 10;

	private final Map<String, List<Urgency>> urgenciesByService;

	private UrgencyRanks(Map<String, List<Urgency>> urgenciesByService) {
		this.urgenciesByService = urgenciesByService;
	}

	/**
	 * Creates the ranks of one version of the configuration.
	 * @param routes the routes
	 * @param workspaces the workspaces
	 * @param keysRequired whether requests need an API key on routes that are not open
	 * @return the ranks
	 */
	static UrgencyRanks of(List<Route> routes, Collection<Workspace> workspaces, boolean keysRequired) {
		int[] priorities = workspaces.stream().mapToInt(Workspace::priority).distinct().toArray();
		Map<String, List<Urgency>> urgencies = new HashMap<>();
		routes.forEach((route) -> {
			List<Urgency> ofRoute = urgenciesOf(route, priorities, !keysRequired || route.open());
			route.targets()
				.forEach((target) -> urgencies.merge(target.service(), ofRoute,
						(some, others) -> Stream.concat(some.stream(), others.stream()).sorted().distinct().toList()));
		});
		return new UrgencyRanks(urgencies);
	}

	// A request without a workspace has the workspace priority 0.
	private static List<Urgency> urgenciesOf(Route route, int[] priorities, boolean withoutWorkspace) {
		return IntStream.concat(IntStream.of(priorities), withoutWorkspace ? IntStream.of(0) : IntStream.empty())
			.mapToObj((priority) -> new Urgency(priority, route.priority()))
			.sorted()
			.distinct()
			.toList();
	}

	/**
	 * Ranks an urgency among those of a service.
	 * @param service the service's name
	 * @param urgency the urgency; one of an earlier configuration is ranked by the more
	 * urgent ones
	 * @return the rank from 0 (most urgent) to 9, empty if all urgencies of the service
	 * are the same
	 */
	OptionalInt rank(String service, Urgency urgency) {
		List<Urgency> all = this.urgenciesByService.getOrDefault(service, List.of());
		if (all.size() <= 1) {
			return OptionalInt.empty();
		}
		int moreUrgent = (int) all.stream().filter((other) -> other.compareTo(urgency) < 0).count();
		int rank = (all.size() <= RANKS) ? moreUrgent : moreUrgent * RANKS / all.size();
		return OptionalInt.of(Math.min(RANKS - 1, rank));
	}

}
