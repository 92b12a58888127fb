package org.monsoonvalve.gateway.version;

import java.util.List;
import java.util.Optional;

import org.monsoonvalve.admission.request.WorkSize;
import org.monsoonvalve.admission.version.EngineTimings;

/**
 * A service's inference engines and the models that they serve.
 *
 * @author monsoonvalve maintainers
 * @param timings the capacity and timing of one replica group
 * @param models the models
 * @param loadsPerSecond the maximum number of weight loads started per second, over all
 * VMs
 * @param concurrentLoads the number of concurrent weight loads that don't slow one
 * another
 * @param formMillis the time from opening a group to its first request, in milliseconds
 * @param usualSize the mean size of a request
 * @param zoneDelays the delays between availability zones
 */
public record EngineProfile(EngineTimings timings, List<ModelProfile> models, double loadsPerSecond,
		int concurrentLoads, long formMillis, WorkSize usualSize, List<ZoneDelay> zoneDelays) {

	/**
	 * Creates a profile with copies of the lists.
	 */
	public EngineProfile {
		models = List.copyOf(models);
		zoneDelays = List.copyOf(zoneDelays);
	}

	/**
	 * Finds a model.
	 * @param name the model's name
	 * @return the model, empty if the service does not serve it
	 */
	public Optional<ModelProfile> model(String name) {
		return this.models.stream().filter((model) -> model.name().equals(name)).findFirst();
	}

	/**
	 * Returns the delay between two availability zones.
	 * @param one a zone
	 * @param other another zone
	 * @return the delay one way in milliseconds, 0 if it isn't known
	 */
	public double delayMillis(String one, String other) {
		return this.zoneDelays.stream()
			.filter((delay) -> delay.isBetween(one, other))
			.mapToDouble(ZoneDelay::delayMillis)
			.findFirst()
			.orElse(0);
	}

	/**
	 * The delay between two availability zones, which is the same in both directions.
	 *
	 * @param one a zone
	 * @param other the other zone
	 * @param delayMillis the delay one way, in milliseconds
	 */
	public record ZoneDelay(String one, String other, double delayMillis) {

		private boolean isBetween(String first, String second) {
			return (this.one.equals(first) && this.other.equals(second))
					|| (this.one.equals(second) && this.other.equals(first));
		}

	}

}
