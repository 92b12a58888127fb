package org.monsoonvalve.gateway.process;

import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import com.codahale.metrics.MetricRegistry;
import org.monsoonvalve.admission.process.EndpointShares;
import org.monsoonvalve.admission.process.LoanQuestion;
import org.monsoonvalve.admission.process.ShareDivision;
import org.monsoonvalve.admission.process.ShareLoans;
import org.monsoonvalve.admission.process.SharedEndpoint;
import org.monsoonvalve.admission.process.SharingProcess;
import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.ServiceProfile;

/**
 * Keeps this process's shares of endpoints up to date with the view of the fleet, and
 * carries questions and grants of loans between processes. Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
final class ShareExchange {

	private final GatewaySettings.Bounds bounds;

	private final IntSupplier processCount;

	private final LongSupplier clock;

	private final MetricRegistry registry;

	private final FleetGossip.Sender sender;

	private final ShareLoans loans;

	private FleetView view = FleetView.empty();

	/**
	 * Creates an exchange without members.
	 * @param settings the settings of this process
	 * @param processCount returns the number of processes that share the limits
	 * @param clock returns the time of the event loop, in milliseconds
	 * @param registry holds the metrics
	 * @param sender sends frames to peers
	 * @param random chooses among lenders
	 */
	ShareExchange(GatewaySettings settings, IntSupplier processCount, LongSupplier clock, MetricRegistry registry,
			FleetGossip.Sender sender, RandomGenerator random) {
		this.bounds = settings.limits();
		this.processCount = processCount;
		this.clock = clock;
		this.registry = registry;
		this.sender = sender;
		this.loans = new ShareLoans(new EndpointShares(settings.name()), random, this::ask);
	}

	/**
	 * Returns the shares of this process and what it borrows.
	 * @return the loans
	 */
	ShareLoans loans() {
		return this.loans;
	}

	/**
	 * Replaces the view of the fleet by a newer one.
	 * @param newer the newer view
	 */
	void update(FleetView newer) {
		long now = this.clock.getAsLong();
		FleetView older = this.view;
		this.view = newer;
		if (newer.members() != older.members()) {
			this.loans.shares()
				.update(newer.members()
					.values()
					.stream()
					.map((member) -> new SharingProcess(member.name(), member.zone()))
					.toList(), now);
		}
		if (newer.endpoints() != older.endpoints()) {
			this.loans.shares()
				.retain(newer.endpoints().values().stream().map(EndpointRecord::shared).collect(Collectors.toSet()),
						now);
		}
	}

	/**
	 * Shortens the wait of this process, as its registration had not expired when it
	 * started.
	 * @param startMillis the time at which this process started, in milliseconds
	 */
	void rejoined(long startMillis) {
		this.loans.shares().rejoined(startMillis, this.clock.getAsLong());
	}

	private void ask(LoanQuestion question) {
		Optional.ofNullable(this.view.members().get(question.lender())).ifPresent((lender) -> {
			this.registry.counter("loans.asked").inc();
			this.sender.send(lender, new PeerFrame.LoanQuestion(question.service(),
					question.endpoints().stream().map(SharedEndpoint::incarnation).toList(), question.requests()),
					(reply) -> {
						if (reply instanceof PeerFrame.LoanGrant grant) {
							this.registry.counter("loans.granted")
								.inc(this.loans.answered(question, grant.requests(), this.clock.getAsLong()));
						}
					});
		});
	}

	/**
	 * Handles a frame of a peer.
	 * @param frame the frame
	 * @return the reply, empty if the frame isn't about loans
	 */
	Optional<PeerFrame> handle(PeerFrame frame) {
		return (frame instanceof PeerFrame.LoanQuestion question) ? Optional.of(lend(question)) : Optional.empty();
	}

	// Nothing is lent if this process doesn't know one of the endpoints, or has other
	// rules for the service in force than the borrower.
	private PeerFrame lend(PeerFrame.LoanQuestion question) {
		List<SharedEndpoint> endpoints = question.endpoints()
			.stream()
			.flatMap((incarnation) -> known(incarnation, question.service()).stream())
			.toList();
		List<Integer> lent = this.view.configuration()
			.flatMap((configuration) -> configuration.service(question.service()))
			.map(ServiceProfile::coldRequestsPerSecond)
			.filter((perSecond) -> perSecond > 0 && endpoints.size() == question.endpoints().size())
			.map(this.bounds::coldRequestsPerSecond)
			.filter((bound) -> ShareDivision.appliesTo(bound, this.processCount.getAsInt()))
			.map((bound) -> this.loans.lend(endpoints, question.requests(), bound, this.clock.getAsLong()))
			.orElse(List.of());
		this.registry.counter("loans.lent").inc(lent.stream().mapToInt(Integer::intValue).sum());
		return new PeerFrame.LoanGrant(lent);
	}

	private Optional<SharedEndpoint> known(String incarnation, String service) {
		String id = incarnation.substring(0, Math.max(0, incarnation.lastIndexOf('@')));
		return Optional.ofNullable(this.view.endpoints().get(id))
			.filter((record) -> record.service().equals(service) && !record.draining())
			.map(EndpointRecord::shared)
			.filter((endpoint) -> endpoint.incarnation().equals(incarnation));
	}

}
