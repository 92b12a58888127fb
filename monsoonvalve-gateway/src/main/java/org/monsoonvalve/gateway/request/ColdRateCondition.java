package org.monsoonvalve.gateway.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.WeakHashMap;
import java.util.function.IntSupplier;

import org.monsoonvalve.admission.process.EndpointShare;
import org.monsoonvalve.admission.process.ShareDivision;
import org.monsoonvalve.admission.process.ShareLoans;
import org.monsoonvalve.admission.request.Reason;
import org.monsoonvalve.admission.request.Verdict;
import org.monsoonvalve.gateway.connection.Endpoint;
import org.monsoonvalve.gateway.process.GatewaySettings;
import org.monsoonvalve.gateway.version.ServiceProfile;

/**
 * Keeps the requests of all processes to an endpoint within the rate that it can bear
 * while it is cold. The rate always applies, as an endpoint may become cold unannounced.
 * A few processes divide it equally; among many, only some hold shares of an endpoint.
 *
 * @author monsoonvalve maintainers
 */
final class ColdRateCondition implements SendCondition {

	private final GatewaySettings.Bounds bounds;

	private final IntSupplier processCount;

	private final ShareLoans loans;

	// Spares the key of the endpoint's incarnation for each candidate of a request.
	private final Map<Endpoint, EndpointShare> shareByEndpoint = new WeakHashMap<>();

	// Reused, as it grows with the fleet.
	private final List<EndpointShare> candidateShares = new ArrayList<>();

	/**
	 * Creates the condition.
	 * @param bounds the limits set by the operators
	 * @param processCount returns the number of processes that share the limits
	 * @param loans this process's shares of endpoints and what it borrows
	 */
	ColdRateCondition(GatewaySettings.Bounds bounds, IntSupplier processCount, ShareLoans loans) {
		this.bounds = bounds;
		this.processCount = processCount;
		this.loans = loans;
	}

	@Override
	public Verdict verdict(RequestProfile request, Endpoint endpoint, long nowMillis) {
		if (!limits(request.service())) {
			return Verdict.admitted();
		}
		double boundPerSecond = this.bounds.coldRequestsPerSecond(request.service().coldRequestsPerSecond());
		int processes = this.processCount.getAsInt();
		if (endpoint.knownCold(nowMillis) && ShareDivision.appliesTo(boundPerSecond, processes)) {
			return shareOf(endpoint).verdict(boundPerSecond, nowMillis);
		}
		double share = Math.max(1, Math.floor(boundPerSecond / processes));
		return (endpoint.sentInLastSecond(nowMillis) < share) ? Verdict.admitted() : Verdict.refused(Reason.COLD_RATE);
	}

	/**
	 * Records that a request is sent to an endpoint. It also counts when the fleet grows
	 * beyond the equal division a moment later.
	 * @param request the request
	 * @param endpoint the endpoint
	 * @param nowMillis the time of the event loop, in milliseconds
	 */
	void taken(RequestProfile request, Endpoint endpoint, long nowMillis) {
		if (limits(request.service())) {
			shareOf(endpoint).sent(nowMillis);
		}
	}

	/**
	 * Borrows requests of other processes if this process's shares are nearly used up. A
	 * request that is about to be sent doesn't wait for them.
	 * @param request the request
	 * @param candidates the endpoints that may serve it
	 * @param nowMillis the time of the event loop, in milliseconds
	 */
	void seek(RequestProfile request, List<Endpoint> candidates, long nowMillis) {
		if (!limits(request.service()) || !this.loans.mayAsk(nowMillis)) {
			return;
		}
		double boundPerSecond = this.bounds.coldRequestsPerSecond(request.service().coldRequestsPerSecond());
		if (ShareDivision.appliesTo(boundPerSecond, this.processCount.getAsInt())) {
			this.candidateShares.clear();
			candidates.stream()
				.filter((endpoint) -> endpoint.knownCold(nowMillis))
				.forEach((endpoint) -> this.candidateShares.add(shareOf(endpoint)));
			this.loans.seek(request.service().name(), this.candidateShares, boundPerSecond, nowMillis);
		}
	}

	private static boolean limits(ServiceProfile service) {
		return service.coldRequestsPerSecond() > 0;
	}

	private EndpointShare shareOf(Endpoint endpoint) {
		return this.shareByEndpoint.computeIfAbsent(endpoint,
				(absent) -> this.loans.shares().of(absent.record().shared()));
	}

}
