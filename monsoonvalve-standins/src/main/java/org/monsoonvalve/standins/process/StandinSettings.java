package org.monsoonvalve.standins.process;

import java.util.List;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.process.Setting;

/**
 * The settings of the stand-ins.
 *
 * @author monsoonvalve maintainers
 */
public final class StandinSettings {

	/** Where a stand-in listens. */
	public static final Setting<Address> LISTEN = Setting.address("listen", "address for HTTP, IP:port");

	/** The VM that an endpoint stands on. */
	public static final Setting<String> VM = Setting.name("vm", "name of the VM");

	/** The availability zone of the VM. */
	public static final Setting<String> ZONE = Setting.name("availability-zone", "availability zone of the VM");

	/** How many requests a cold endpoint takes at once. */
	public static final Setting<Integer> COLD_CAPACITY = Setting.number("cold-capacity",
			"how many requests a cold endpoint takes at once", 1, 1000, 2);

	/** How many requests make an endpoint warm. */
	public static final Setting<Integer> WARM_REQUESTS = Setting.number("warm-requests",
			"how many requests a cold endpoint runs before it is warm", 0, 1_000_000, 4);

	/** How long loading a model takes. */
	public static final Setting<Integer> LOAD_MILLIS = Setting.number("load-millis",
			"how long loading a model takes, in milliseconds", 0, 600_000, 300);

	/** The time between two tokens. */
	public static final Setting<Integer> TOKEN_MILLIS = Setting.number("token-millis",
			"time between two tokens, in milliseconds", 0, 60_000, 10);

	/** The time for a prompt that is not cached. */
	public static final Setting<Integer> PREFILL_MILLIS = Setting.number("prefill-millis",
			"time for a prompt whose prefix is not cached, in milliseconds", 0, 60_000, 20);

	/** The time for a call of a plain service. */
	public static final Setting<Integer> SERVICE_MILLIS = Setting.number("service-millis",
			"time for a call of a plain service, in milliseconds", 0, 60_000, 5);

	/** Whether an engine refuses orders with old fencing numbers. */
	public static final Setting<Integer> HONOURS_FENCING = Setting.number("honours-fencing",
			"1 if the engine refuses orders with an old fencing number, 0 if not", 0, 1, 1);

	private StandinSettings() {
	}

	/**
	 * Returns the settings of an endpoint stand-in.
	 * @return the settings
	 */
	public static List<Setting<?>> endpoint() {
		return List.of(LISTEN, VM, ZONE, COLD_CAPACITY, WARM_REQUESTS, LOAD_MILLIS, TOKEN_MILLIS, PREFILL_MILLIS,
				SERVICE_MILLIS, HONOURS_FENCING);
	}

}
