package org.monsoonvalve.gateway.request;

import org.monsoonvalve.admission.request.RequestQueue;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Thrown when a waiting request is refused, with the time at which a place is forecast.
 *
 * @author monsoonvalve maintainers
 */
final class QueueRefusedException extends ServingException {

	private static final double MILLIS_PER_SECOND = 1000;

	private final double returnSeconds;

	/**
	 * Creates an exception.
	 * @param refusal the refusal
	 */
	QueueRefusedException(RequestQueue.Refusal<?> refusal) {
		super(FailureCode.NO_CAPACITY,
				refusal.reason().explanation() + " after a wait of " + refusal.waitedMillis() + " ms");
		this.returnSeconds = refusal.returnMillis() / MILLIS_PER_SECOND;
	}

	/**
	 * Returns the delay after which the caller shall return.
	 * @return the delay in seconds
	 */
	double returnSeconds() {
		return this.returnSeconds;
	}

}
