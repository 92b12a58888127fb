package org.monsoonvalve.gateway.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.GroupOrder;

/**
 * Gives orders one at a time to each engine. An order without an answer is given again
 * under the same expected count until an answer comes, so that at most one of the copies
 * is carried out and none after a newer order. Confined to the control thread.
 *
 * @author monsoonvalve maintainers
 */
final class OrderExecutor {

	/** Pause before an order without an answer is given again. */
	private static final long RETRY_MILLIS = 300;

	/**
	 * Longest wait for an engine's report, which takes milliseconds unless it is lost.
	 */
	static final long REPORT_TIMEOUT_MILLIS = 700;

	/** Answers that may fail to come before the executor lets go of the endpoint. */
	private static final int MAX_TRIES = 12;

	/** Time for an engine's new state to reach the store after it took an order. */
	private static final long SETTLE_MILLIS = 1200;

	private final EngineControl engines;

	private final ScheduledExecutorService control;

	private final BooleanSupplier mayGive;

	private final DecisionLog log;

	private final Map<String, Long> counts = new HashMap<>();

	private final Map<String, Job> jobs = new HashMap<>();

	private final Map<String, Staging> staging = new HashMap<>();

	/**
	 * Creates an executor.
	 * @param engines gives orders
	 * @param control the thread that the executor is confined to
	 * @param mayGive tells whether this process still plans the zone
	 * @param log receives outcomes
	 */
	OrderExecutor(EngineControl engines, ScheduledExecutorService control, BooleanSupplier mayGive, DecisionLog log) {
		this.engines = engines;
		this.control = control;
		this.mayGive = mayGive;
		this.log = log;
	}

	boolean busy(EndpointRecord endpoint) {
		Job job = this.jobs.get(endpoint.incarnation());
		if (job == null) {
			return false;
		}
		boolean settled = job.settled() && (job.order.reflectedIn(endpoint) || EventLoop.nowMillis() > job.untilMillis);
		if (settled) {
			this.jobs.remove(endpoint.incarnation());
		}
		return !settled;
	}

	/**
	 * Tells which models are being loaded.
	 * @param endpoints the present records
	 * @return the models by incarnation
	 */
	Map<String, String> staging(Collection<EndpointRecord> endpoints) {
		Map<String, EndpointRecord> present = new HashMap<>();
		endpoints.forEach((endpoint) -> present.put(endpoint.incarnation(), endpoint));
		this.counts.keySet().retainAll(present.keySet());
		this.staging.entrySet().removeIf((entry) -> {
			EndpointRecord endpoint = present.get(entry.getKey());
			return endpoint == null || endpoint.staged().contains(entry.getValue().model())
					|| EventLoop.nowMillis() > entry.getValue().untilMillis();
		});
		Map<String, String> models = new HashMap<>();
		this.staging.forEach((incarnation, one) -> models.put(incarnation, one.model()));
		return models;
	}

	void forget() {
		this.jobs.clear();
		this.counts.clear();
		this.staging.clear();
	}

	void give(EndpointRecord endpoint, GroupOrder order, long loadMillis) {
		if (busy(endpoint)) {
			return;
		}
		if (order.action() == GroupOrder.Action.STAGE) {
			this.staging.put(endpoint.incarnation(),
					new Staging(order.model(), EventLoop.nowMillis() + loadMillis + SETTLE_MILLIS));
		}
		Job job = new Job(endpoint, order);
		this.jobs.put(endpoint.incarnation(), job);
		Long known = this.counts.get(endpoint.incarnation());
		boolean untouched = endpoint.staged().isEmpty() && endpoint.membership().isEmpty();
		if (known != null || untouched) {
			job.expected = (known != null) ? known : 0;
			send(job);
		}
		else {
			refreshCount(job);
		}
	}

	private void send(Job job) {
		if (!this.mayGive.getAsBoolean()) {
			this.jobs.remove(job.endpoint.incarnation());
			return;
		}
		job.tries++;
		this.engines.order(job.endpoint, job.order, job.expected)
			.whenCompleteAsync((outcome, failure) -> answered(job, outcome), this.control);
	}

	private void answered(Job job, GroupOrder.Outcome outcome) {
		LogEvent event = (outcome == GroupOrder.Outcome.UNANSWERED) ? LogEvent.ORDER_UNANSWERED
				: LogEvent.ORDER_ANSWERED;
		this.log.record(event, "endpoint", job.endpoint.id(), "action", job.order.action(), "group", job.order.group(),
				"model", job.order.model(), "expected", job.expected, "outcome", outcome, "tries", job.tries);
		switch (outcome) {
			case BEGUN -> {
				this.counts.put(job.endpoint.incarnation(), job.expected + 1);
				settle(job);
			}
			case DONE -> settle(job);
			case UNFIT -> refreshCount(job);
			case MOVED -> this.jobs.remove(job.endpoint.incarnation());
			case UNANSWERED -> {
				if (job.tries < MAX_TRIES) {
					this.control.schedule(() -> send(job), RETRY_MILLIS, TimeUnit.MILLISECONDS);
				}
				else {
					refreshCount(job);
				}
			}
		}
	}

	private void settle(Job job) {
		job.untilMillis = EventLoop.nowMillis() + SETTLE_MILLIS;
	}

	// The next plan gives the order again, with the count that the engine tells.
	private void refreshCount(Job job) {
		this.staging.remove(job.endpoint.incarnation());
		this.engines.orderCount(job.endpoint, REPORT_TIMEOUT_MILLIS).whenCompleteAsync((count, failure) -> {
			if (failure == null) {
				this.counts.put(job.endpoint.incarnation(), count);
			}
			else {
				this.log.record(LogEvent.ORDER_UNANSWERED, "endpoint", job.endpoint.id(), "action", "report", "reason",
						ServingException.from(failure).getMessage());
			}
			this.jobs.remove(job.endpoint.incarnation());
		}, this.control);
	}

	private record Staging(String model, long untilMillis) {

	}

	/**
	 * An order under way.
	 */
	private static final class Job {

		private final EndpointRecord endpoint;

		private final GroupOrder order;

		private long expected;

		private int tries;

		private long untilMillis;

		private Job(EndpointRecord endpoint, GroupOrder order) {
			this.endpoint = endpoint;
			this.order = order;
		}

		private boolean settled() {
			return this.untilMillis > 0;
		}

	}

}
