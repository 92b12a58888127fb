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
 * Sends orders to engines, one at a time per engine. An unanswered order is sent again,
 * up to a limit, with the same expected count, so that at most one of the copies is
 * carried out and none after a newer order. Confined to the control thread.
 *
 * @author monsoonvalve maintainers
 */
final class OrderExecutor {

	/** Delay before an unanswered order is sent again. */
	private static final long RETRY_MILLIS = 300;

	/**
	 * Timeout for an engine's report, which takes milliseconds unless it is lost.
	 */
	static final long REPORT_TIMEOUT_MILLIS = 700;

	/**
	 * Unanswered attempts after which the executor gives up on the order and releases the
	 * endpoint.
	 */
	private static final int MAX_ATTEMPTS = 12;

	/**
	 * Time for an engine's new state to reach the store after the engine accepted an
	 * order.
	 */
	private static final long STATE_PROPAGATION_MILLIS = 1200;

	private final EngineControl engines;

	private final ScheduledExecutorService control;

	private final BooleanSupplier plansZone;

	private final DecisionLog log;

	private final Map<String, Long> orderCounts = new HashMap<>();

	private final Map<String, PendingOrder> pendingOrders = new HashMap<>();

	private final Map<String, PendingLoad> staging = new HashMap<>();

	/**
	 * Creates an executor.
	 * @param engines sends orders
	 * @param control the thread that the executor is confined to
	 * @param plansZone tells whether this process still plans the zone
	 * @param log receives the outcomes of orders
	 */
	OrderExecutor(EngineControl engines, ScheduledExecutorService control, BooleanSupplier plansZone, DecisionLog log) {
		this.engines = engines;
		this.control = control;
		this.plansZone = plansZone;
		this.log = log;
	}

	/**
	 * Tells whether an order to an endpoint is in progress. An accepted order is in
	 * progress until the endpoint's record reflects it, or until the time for that has
	 * passed.
	 * @param endpoint the endpoint's current record
	 * @return {@code true} if no other order may be sent
	 */
	boolean busy(EndpointRecord endpoint) {
		PendingOrder pending = this.pendingOrders.get(endpoint.incarnation());
		if (pending == null) {
			return false;
		}
		boolean completed = pending.accepted()
				&& (pending.order.reflectedIn(endpoint) || EventLoop.nowMillis() > pending.stateDeadlineMillis);
		if (completed) {
			this.pendingOrders.remove(endpoint.incarnation());
		}
		return !completed;
	}

	/**
	 * Returns the models whose weights are being loaded.
	 * @param endpoints the current records
	 * @return the models by incarnation
	 */
	Map<String, String> staging(Collection<EndpointRecord> endpoints) {
		Map<String, EndpointRecord> present = new HashMap<>();
		endpoints.forEach((endpoint) -> present.put(endpoint.incarnation(), endpoint));
		this.orderCounts.keySet().retainAll(present.keySet());
		this.staging.entrySet().removeIf((entry) -> {
			EndpointRecord endpoint = present.get(entry.getKey());
			return endpoint == null || endpoint.staged().contains(entry.getValue().model())
					|| EventLoop.nowMillis() > entry.getValue().deadlineMillis();
		});
		Map<String, String> models = new HashMap<>();
		this.staging.forEach((incarnation, load) -> models.put(incarnation, load.model()));
		return models;
	}

	void clear() {
		this.pendingOrders.clear();
		this.orderCounts.clear();
		this.staging.clear();
	}

	/**
	 * Sends an order, unless another one to the same endpoint is in progress. An endpoint
	 * without staged weights and without a membership is assumed to have begun no order;
	 * if the count of any other endpoint is not known, the count is requested instead,
	 * and a later submission sends the order.
	 * @param endpoint the endpoint's current record
	 * @param order the order
	 * @param loadMillis the time to load the order's model, in milliseconds
	 */
	void submit(EndpointRecord endpoint, GroupOrder order, long loadMillis) {
		if (busy(endpoint)) {
			return;
		}
		if (order.action() == GroupOrder.Action.STAGE) {
			this.staging.put(endpoint.incarnation(),
					new PendingLoad(order.model(), EventLoop.nowMillis() + loadMillis + STATE_PROPAGATION_MILLIS));
		}
		PendingOrder pending = new PendingOrder(endpoint, order);
		this.pendingOrders.put(endpoint.incarnation(), pending);
		Long knownCount = this.orderCounts.get(endpoint.incarnation());
		boolean neverOrdered = endpoint.staged().isEmpty() && endpoint.membership().isEmpty();
		if (knownCount != null || neverOrdered) {
			pending.expectedCount = (knownCount != null) ? knownCount : 0;
			send(pending);
		}
		else {
			refreshCount(pending);
		}
	}

	private void send(PendingOrder pending) {
		if (!this.plansZone.getAsBoolean()) {
			this.pendingOrders.remove(pending.endpoint.incarnation());
			return;
		}
		pending.attempts++;
		this.engines.order(pending.endpoint.engine(), pending.order, pending.expectedCount)
			.whenCompleteAsync((outcome, failure) -> orderAnswered(pending, outcome), this.control);
	}

	private void orderAnswered(PendingOrder pending, GroupOrder.Outcome outcome) {
		LogEvent event = (outcome == GroupOrder.Outcome.UNANSWERED) ? LogEvent.ORDER_UNANSWERED
				: LogEvent.ORDER_ANSWERED;
		this.log.record(event, "endpoint", pending.endpoint.id(), "action", pending.order.action(), "group",
				pending.order.group(), "model", pending.order.model(), "expected", pending.expectedCount, "outcome",
				outcome, "tries", pending.attempts);
		switch (outcome) {
			case BEGUN -> {
				this.orderCounts.put(pending.endpoint.incarnation(), pending.expectedCount + 1);
				awaitState(pending);
			}
			case DONE -> awaitState(pending);
			case UNFIT -> refreshCount(pending);
			case MOVED -> this.pendingOrders.remove(pending.endpoint.incarnation());
			case UNANSWERED -> {
				if (pending.attempts < MAX_ATTEMPTS) {
					this.control.schedule(() -> send(pending), RETRY_MILLIS, TimeUnit.MILLISECONDS);
				}
				else {
					refreshCount(pending);
				}
			}
		}
	}

	private void awaitState(PendingOrder pending) {
		pending.stateDeadlineMillis = EventLoop.nowMillis() + STATE_PROPAGATION_MILLIS;
	}

	// The next planning step submits the order again, with the count that the engine
	// reports.
	private void refreshCount(PendingOrder pending) {
		this.staging.remove(pending.endpoint.incarnation());
		this.engines.orderCount(pending.endpoint.engine(), REPORT_TIMEOUT_MILLIS)
			.whenCompleteAsync((count, failure) -> {
				if (failure == null) {
					this.orderCounts.put(pending.endpoint.incarnation(), count);
				}
				else {
					this.log.record(LogEvent.ORDER_UNANSWERED, "endpoint", pending.endpoint.id(), "action", "report",
							"reason", ServingException.from(failure).getMessage());
				}
				this.pendingOrders.remove(pending.endpoint.incarnation());
			}, this.control);
	}

	private record PendingLoad(String model, long deadlineMillis) {

	}

	/**
	 * An order whose effect the endpoint's record doesn't show yet.
	 */
	private static final class PendingOrder {

		private final EndpointRecord endpoint;

		private final GroupOrder order;

		private long expectedCount;

		private int attempts;

		private long stateDeadlineMillis;

		private PendingOrder(EndpointRecord endpoint, GroupOrder order) {
			this.endpoint = endpoint;
			this.order = order;
		}

		private boolean accepted() {
			return this.stateDeadlineMillis > 0;
		}

	}

}
