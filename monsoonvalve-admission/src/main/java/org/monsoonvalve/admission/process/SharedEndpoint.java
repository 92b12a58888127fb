package org.monsoonvalve.admission.process;

import java.util.Objects;

/**
 * An endpoint whose request rate is divided among processes.
 *
 * @author monsoonvalve maintainers
 * @param incarnation identifies the endpoint and its start
 * @param zone its availability zone
 */
public record SharedEndpoint(String incarnation, String zone) {

	/**
	 * Creates an endpoint.
	 * @throws NullPointerException if a component is {@code null}
	 */
	public SharedEndpoint {
		Objects.requireNonNull(incarnation, "incarnation");
		Objects.requireNonNull(zone, "zone");
	}

}
