package org.monsoonvalve.core.connection;

import java.util.List;

/**
 * An order to a model engine, sent as {@code POST /orders}.
 *
 * @author monsoonvalve maintainers
 * @param order {@code load}, {@code hold} or {@code unload}
 * @param group the replica group
 * @param fence the fencing token; engines that honour fencing reject lower tokens
 * @param model the model and version to load
 * @param members the addresses of the group's members, the leader first
 */
public record EngineOrder(String order, String group, long fence, String model, List<Address> members) {

	/** Orders an engine to load a model and join a group. */
	public static final String LOAD = "load";

	/**
	 * Orders an engine to leave its group and keep the model's weights, loading them if
	 * absent.
	 */
	public static final String HOLD = "hold";

	/** Orders an engine to leave its group and free its memory. */
	public static final String UNLOAD = "unload";

}
