package org.monsoonvalve.gateway.process;

import java.util.concurrent.CompletableFuture;

import org.monsoonvalve.gateway.version.EngineAddress;
import org.monsoonvalve.gateway.version.GroupOrder;

/**
 * Sends orders to the engines of endpoints and requests how many orders they have begun.
 *
 * @author monsoonvalve maintainers
 */
public interface EngineControl {

	/**
	 * Sends an order to an engine.
	 * @param engine the engine
	 * @param order the order
	 * @param expectedCount the number of orders that the engine must have begun before
	 * this one; the engine refuses the order otherwise, so that a delayed order can't
	 * take effect after a newer one
	 * @return the outcome; never completes exceptionally, a missing answer is
	 * {@link GroupOrder.Outcome#UNANSWERED}
	 */
	CompletableFuture<GroupOrder.Outcome> order(EngineAddress engine, GroupOrder order, long expectedCount);

	/**
	 * Requests the number of orders that an engine has begun.
	 * @param engine the engine
	 * @param timeoutMillis the timeout, in milliseconds
	 * @return the count; completes exceptionally with a
	 * {@link org.monsoonvalve.core.request.ServingException} if the engine does not
	 * report it
	 */
	CompletableFuture<Long> orderCount(EngineAddress engine, long timeoutMillis);

}
