package org.monsoonvalve.entry.process;

import java.util.ArrayList;
import java.util.List;

import org.monsoonvalve.core.process.Mechanism;
import org.monsoonvalve.core.process.NodeSettings;
import org.monsoonvalve.core.process.Setting;
import org.monsoonvalve.core.process.Settings;
import org.monsoonvalve.entry.request.RequestLimits;

/**
 * The settings of an entry.
 *
 * @author monsoonvalve maintainers
 * @param node the settings shared with controllers
 * @param adminKey the key of the administration API
 * @param limits the time limits of requests
 * @param lingerMillis how long an entry goes on accepting requests after its readiness
 * failed, in milliseconds
 * @param drainMillis the longest wait for requests in progress at shutdown, in
 * milliseconds
 */
public record EntrySettings(NodeSettings node, String adminKey, RequestLimits limits, long lingerMillis,
		long drainMillis) {

	private static final int MAX_MILLIS = 3_600_000;

	private static final int MAX_SERVICE_MILLIS = 25_000;

	private static final Setting<String> ADMIN_KEY = Setting.text("admin-key", "key of the administration API");

	private static final Setting<Integer> ADMISSION = Setting.number("admission-timeout-millis",
			"longest wait for admission, in milliseconds", 1, MAX_MILLIS, 20_000);

	private static final Setting<Integer> SEARCH = Setting.number("search-timeout-millis",
			"longest search for an endpoint that is ready, in milliseconds", 1, MAX_MILLIS, 5000);

	private static final Setting<Integer> SILENCE = Setting.number("stream-silence-millis",
			"longest silence of a model's stream, in milliseconds", 1, MAX_MILLIS, 4000);

	private static final Setting<Integer> SERVICE = Setting.number("service-timeout-millis",
			"longest time for a plain service's answer, in milliseconds", 1, MAX_SERVICE_MILLIS, 20_000);

	private static final Setting<Integer> LINGER = Setting.number("linger-millis",
			"how long to go on accepting requests after readiness failed, in milliseconds", 0, MAX_MILLIS, 5000);

	private static final Setting<Integer> DRAIN = Setting.number("drain-millis",
			"longest wait for requests in progress at shutdown, in milliseconds", 0, MAX_MILLIS, 600_000);

	private static final Setting<String> MECHANISMS_OFF = Setting
		.text("test-mechanisms-off", "for tests only: mechanisms to switch off, separated by commas")
		.orElse(",");

	/**
	 * Returns the settings to be parsed.
	 * @return the settings
	 */
	public static List<Setting<?>> all() {
		List<Setting<?>> all = new ArrayList<>(NodeSettings.all());
		all.addAll(List.of(ADMIN_KEY, ADMISSION, SEARCH, SILENCE, SERVICE, LINGER, DRAIN, MECHANISMS_OFF));
		return List.copyOf(all);
	}

	/**
	 * Reads the parsed settings and applies the test switches among them.
	 * @param settings the settings
	 * @return their values
	 */
	public static EntrySettings of(Settings settings) {
		Mechanism.switchOff(settings.get(MECHANISMS_OFF));
		RequestLimits limits = new RequestLimits(settings.get(ADMISSION), settings.get(SEARCH), settings.get(SILENCE),
				settings.get(SERVICE));
		return new EntrySettings(NodeSettings.of(settings), settings.get(ADMIN_KEY), limits, settings.get(LINGER),
				settings.get(DRAIN));
	}

}
