package org.monsoonvalve.review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Builds the operator's configurations. */
final class Configuration {

	private final List<String> routes = new ArrayList<>();

	Configuration route(String name, String prefix, String kind, String service, int timeoutMillis) {
		this.routes.add(Wire.template("route.json",
				Map.of("NAME", name, "PREFIX", prefix, "KIND", kind, "SERVICE", service, "TIMEOUT", timeoutMillis,
						"ATTEMPTS", "unsafe".equals(kind) ? 1 : 2, "RESUME", "streaming".equals(kind))));
		return this;
	}

	String version(int version, int groupSize) {
		return Wire.template("configuration.json",
				Map.of("VERSION", version, "ROUTES", String.join(",", this.routes), "SIZE", groupSize));
	}

}
