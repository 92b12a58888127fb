package org.monsoonvalve.gateway.process;

import java.util.concurrent.CompletableFuture;

import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.GroupOrder;

/**
 * Gives orders to engines.
 *
 * @author monsoonvalve maintainers
 */
public interface EngineControl {

	/**
	 * Gives an order to the engine of an endpoint.
	 * @param endpoint the endpoint
	 * @param order the order
	 * @param expectedCount the orders that the engine must have begun before this one; it
	 * refuses otherwise, so that an order carried out late can't follow a newer one
	 * @return the outcome, which never fails
	 */
	CompletableFuture<GroupOrder.Outcome> order(EndpointRecord endpoint, GroupOrder order, long expectedCount);

	/**
	 * Asks an engine how many orders it has begun.
	 * @param endpoint the endpoint
	 * @param timeoutMillis the longest wait for the answer, in milliseconds
	 * @return the count, or a {@link org.monsoonvalve.core.request.ServingException}
	 */
	CompletableFuture<Long> orderCount(EndpointRecord endpoint, long timeoutMillis);

}
