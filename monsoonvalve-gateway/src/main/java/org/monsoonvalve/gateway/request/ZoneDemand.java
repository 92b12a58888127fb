package org.monsoonvalve.gateway.request;

/**
 * The requests that share a decision to leave the availability zone: those of a service
 * and model with the same target.
 *
 * @author monsoonvalve maintainers
 * @param service the service's name
 * @param model the model's name, empty if requests name none
 * @param targetMillis the target for the first event, in milliseconds
 */
record ZoneDemand(String service, String model, long targetMillis) {

	/**
	 * Returns the demand of a request. A route without a target is served in time within
	 * its timeout.
	 * @param request the request
	 * @return the demand
	 */
	static ZoneDemand of(RequestProfile request) {
		long target = request.route().targetLatencyMillis();
		return new ZoneDemand(request.service().name(), request.model().orElse(""),
				Math.max(1, (target > 0) ? target : request.route().timeoutMillis()));
	}

	/**
	 * Returns the name of the service and model for metrics and logs.
	 * @return the name
	 */
	String name() {
		return this.service + "." + this.model;
	}

}
