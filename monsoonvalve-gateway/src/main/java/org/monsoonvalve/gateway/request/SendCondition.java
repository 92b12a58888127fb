package org.monsoonvalve.gateway.request;

import org.monsoonvalve.admission.request.Verdict;
import org.monsoonvalve.gateway.connection.Endpoint;

/**
 * A condition under which an endpoint may get a request.
 *
 * @author monsoonvalve maintainers
 */
@FunctionalInterface
interface SendCondition {

	/**
	 * Tells whether the endpoint may get the request.
	 * @param request the request
	 * @param endpoint the endpoint
	 * @param nowMillis the time of the event loop, in milliseconds
	 * @return the verdict
	 */
	Verdict verdict(RequestProfile request, Endpoint endpoint, long nowMillis);

}
