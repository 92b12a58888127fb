package org.monsoonvalve.gateway.request;

import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.monsoonvalve.admission.process.LeaveReason;
import org.monsoonvalve.admission.request.QueueExit;
import org.monsoonvalve.admission.request.Reason;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.gateway.version.Route;

/**
 * Counts the outcomes of requests and records their latencies. Metrics are named by kind
 * of request and outcome, so their number is bounded.
 *
 * @author monsoonvalve maintainers
 */
public final class RequestMetrics {

	private static final int STATUS_CLASS_DIVISOR = 100;

	private final MetricRegistry registry;

	/**
	 * Creates the request metrics.
	 * @param registry the registry that holds the metrics
	 */
	public RequestMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	void answered(Route route, int status, long firstByteMillis, long totalMillis) {
		String kind = kind(route);
		this.registry.counter("requests." + kind + ".answered." + status / STATUS_CLASS_DIVISOR + "xx").inc();
		this.registry.timer("first_byte." + kind).update(firstByteMillis, TimeUnit.MILLISECONDS);
		this.registry.timer("whole_answer." + kind).update(totalMillis, TimeUnit.MILLISECONDS);
	}

	// Models are those that endpoints serve, so their number is bounded.
	void forecastCompared(String service, String model, long errorMillis) {
		this.registry.histogram("forecast_error_millis." + service + "." + model).update(errorMillis);
	}

	void failed(Route route, FailureCode code) {
		this.registry.counter("requests." + kind(route) + ".failed." + code.code()).inc();
	}

	void refused(FailureCode code) {
		this.registry.counter("requests.unmatched." + code.code()).inc();
	}

	void abandoned(Route route) {
		this.registry.counter("requests." + kind(route) + ".abandoned").inc();
	}

	void responseLost() {
		this.registry.counter("responses.lost").inc();
	}

	void promptBlocked() {
		this.registry.counter("requests.prompt_blocked").inc();
	}

	// A request is counted if some endpoint could have got it but for this process's
	// share.
	void refusedEverywhere(Set<Reason> reasons) {
		if (reasons.contains(Reason.COLD_RATE)) {
			this.registry.counter("requests.refused_for_share").inc();
		}
	}

	void sentToZone(String zone, LeaveReason reason) {
		this.registry.counter("requests.sent_to_zone." + zone + "." + reason.label()).inc();
	}

	/**
	 * Registers the share of a demand's requests that another availability zone gets.
	 * @param demand the name of the demand
	 * @param zone the zone
	 * @param share returns the share, from 0 to 1
	 */
	void registerZoneShare(String demand, String zone, Gauge<Double> share) {
		this.registry.gauge("zone_share." + demand + "." + zone, () -> share);
	}

	void queueLength(IntSupplier length) {
		this.registry.gauge("requests_waiting", () -> length::getAsInt);
	}

	void leftQueue(Route route, QueueExit reason, long waitedMillis) {
		this.registry.counter("queue." + kind(route) + ".left." + reason.name().toLowerCase(Locale.ROOT)).inc();
		this.registry.timer("queue_wait." + kind(route)).update(waitedMillis, TimeUnit.MILLISECONDS);
	}

	private static String kind(Route route) {
		return route.kind().name().toLowerCase(Locale.ROOT);
	}

}
