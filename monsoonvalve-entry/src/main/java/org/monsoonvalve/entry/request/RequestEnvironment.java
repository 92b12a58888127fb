package org.monsoonvalve.entry.request;

import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Function;

import org.monsoonvalve.core.connection.Member;
import org.monsoonvalve.core.process.Node;
import org.monsoonvalve.core.version.Inventory;
import org.monsoonvalve.entry.connection.Endpoint;
import org.monsoonvalve.entry.connection.Endpoints;
import org.monsoonvalve.entry.process.SloRecorder;
import org.monsoonvalve.entry.version.Target;

/**
 * What all requests of an entry share.
 *
 * @author monsoonvalve maintainers
 */
public final class RequestEnvironment {

	private static final double CAPACITY_SLACK = 1.25;

	private static final String ENTRY_ROLE = "entry";

	private final Node node;

	private final Endpoints endpoints;

	private final Preparer preparer;

	private final SloRecorder slo;

	private final RequestLimits limits;

	private final ConcurrentMap<String, Admission> admissions = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, RetryBudget> budgets = new ConcurrentHashMap<>();

	private RequestEnvironment(Node node, Endpoints endpoints, Preparer preparer, SloRecorder slo,
			RequestLimits limits) {
		this.node = node;
		this.endpoints = endpoints;
		this.preparer = preparer;
		this.slo = slo;
		this.limits = limits;
	}

	/**
	 * Creates the environment.
	 * @param node this process
	 * @param endpoints the endpoints
	 * @param preparer makes targets ready
	 * @param slo records how requests went
	 * @param limits the time limits
	 * @return the environment
	 */
	public static RequestEnvironment of(Node node, Endpoints endpoints, Preparer preparer, SloRecorder slo,
			RequestLimits limits) {
		return new RequestEnvironment(node, endpoints, preparer, slo, limits);
	}

	/**
	 * Returns this process.
	 * @return the node
	 */
	public Node node() {
		return this.node;
	}

	/**
	 * Returns what makes targets ready.
	 * @return the preparer
	 */
	public Preparer preparer() {
		return this.preparer;
	}

	/**
	 * Returns what records how requests went.
	 * @return the recorder
	 */
	public SloRecorder slo() {
		return this.slo;
	}

	/**
	 * Returns the time limits.
	 * @return the limits
	 */
	public RequestLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the longest search for a target.
	 * @return the limit in milliseconds
	 */
	public long searchMillis() {
		return this.limits.searchMillis();
	}

	/**
	 * Returns the admission of a pool.
	 * @param pool the pool
	 * @return its admission
	 */
	public Admission admission(Inventory.Pool pool) {
		return this.admissions.computeIfAbsent(pool.id(),
				(id) -> Admission.of(() -> limitOf(id), this.limits.admissionMillis()));
	}

	/**
	 * Returns the retry budget of a pool.
	 * @param pool the pool
	 * @return its budget
	 */
	public RetryBudget budget(Inventory.Pool pool) {
		return this.budgets.computeIfAbsent(pool.id(), (id) -> RetryBudget.create());
	}

	/**
	 * Orders the targets of a pool for a request.
	 * @param pool the pool
	 * @param affinity what requests that should meet the same target have in common
	 * @return the targets, most preferred first
	 */
	public List<Target> candidates(Inventory.Pool pool, String affinity) {
		Function<Target, Integer> capacity = capacities();
		List<Candidate> candidates = this.preparer.targets()
			.inService(pool.id(), this.preparer::leaving)
			.stream()
			.map((target) -> candidate(target, capacity.apply(target)))
			.toList();
		return Router.order(candidates, this.node.settings().zone(), affinity);
	}

	/**
	 * Lets waiting requests in where the configuration has made room, and forgets
	 * endpoints that the inventory no longer has.
	 */
	public void refresh() {
		this.admissions.values().forEach(Admission::admitWaiting);
		this.endpoints.retain(this.node.configuration().inventory().vms());
	}

	private Candidate candidate(Target target, int capacity) {
		Endpoint endpoint = this.endpoints.get(target.leader());
		return new Candidate(target, endpoint.outstanding().get(), capacity, endpoint.penalised(),
				endpoint.knownCold());
	}

	private int limitOf(String pool) {
		Function<Target, Integer> capacity = capacities();
		int sum = this.preparer.targets()
			.inService(pool, this.preparer::leaving)
			.stream()
			.mapToInt(capacity::apply)
			.sum();
		return Math.max(1, sum);
	}

	private Function<Target, Integer> capacities() {
		String zone = this.node.settings().zone();
		List<Member> entries = this.node.membership()
			.live()
			.stream()
			.filter((member) -> ENTRY_ROLE.equals(member.role()) && !member.leaving())
			.toList();
		long all = 1 + entries.size();
		long own = 1 + entries.stream().filter((member) -> member.zone().equals(zone)).count();
		return (target) -> {
			long sharers = target.zone().equals(zone) ? own : all;
			return (int) Math.max(1, Math.ceil(CAPACITY_SLACK * target.pool().maxConcurrent() / sharers));
		};
	}

}
