package org.monsoonvalve.gateway.version;

import java.util.List;
import java.util.Optional;

/**
 * Capacity and timing of a service's inference engines.
 *
 * @author monsoonvalve maintainers
 * @param slots the maximum number of concurrent requests per group
 * @param memoryTokens the capacity of a group's KV cache, in tokens
 * @param stepMillis the base duration of an engine step, in milliseconds
 * @param stepMillisPerSequence the time that each running request adds to a step, in
 * milliseconds
 * @param tokensPerEvent the number of tokens in an event of a stream, which is also the
 * number of steps in a pass
 * @param prefillTokensPerMillis the prompt tokens processed per millisecond
 * @param models the models
 * @param loadsPerSecond the maximum number of weight loads started per second, over all
 * VMs
 * @param concurrentLoads the number of concurrent weight loads that don't slow one
 * another
 * @param formMillis the time from opening a group to its first request, in milliseconds
 */
public record EngineProfile(int slots, long memoryTokens, double stepMillis, double stepMillisPerSequence,
		int tokensPerEvent, double prefillTokensPerMillis, List<ModelProfile> models, double loadsPerSecond,
		int concurrentLoads, long formMillis) {

	/**
	 * Creates a profile with a copy of the models.
	 */
	public EngineProfile {
		models = List.copyOf(models);
	}

	/**
	 * Finds a model.
	 * @param name the model's name
	 * @return the model, empty if the service does not serve it
	 */
	public Optional<ModelProfile> model(String name) {
		return this.models.stream().filter((model) -> model.name().equals(name)).findFirst();
	}

}
