package org.monsoonvalve.admission.process;

import java.util.Objects;

/**
 * A process that may hold shares of endpoints.
 *
 * @author monsoonvalve maintainers
 * @param name the process's name, unique in the system
 * @param zone its availability zone
 */
public record SharingProcess(String name, String zone) {

	/**
	 * Creates a process.
	 * @throws NullPointerException if a component is {@code null}
	 */
	public SharingProcess {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(zone, "zone");
	}

}
