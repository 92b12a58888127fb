package org.monsoonvalve.core.process;

import java.util.List;

import org.monsoonvalve.core.connection.Address;

/**
 * The settings that entries and controllers share.
 *
 * @author monsoonvalve maintainers
 * @param id this process
 * @param zone its availability zone
 * @param httpListen where it listens for HTTP
 * @param peerListen where it listens for peers
 * @param platform the platform's address
 * @param peers addresses of peers to start from
 * @param logFormat the format of log lines
 */
public record NodeSettings(NodeId id, String zone, Address httpListen, Address peerListen, Address platform,
		List<Address> peers, LogFormat logFormat) {

	private static final Setting<String> NODE_ID = Setting.name("node-id", "name of this process, unique");

	private static final Setting<String> ZONE = Setting.name("availability-zone", "availability zone of this process");

	private static final Setting<Address> LISTEN = Setting.address("listen", "address for HTTP, IP:port");

	private static final Setting<Address> PEER_LISTEN = Setting.address("peer-listen", "address for peers, IP:port");

	private static final Setting<Address> PLATFORM = Setting.address("platform", "address of the platform, IP:port");

	private static final Setting<List<Address>> PEERS = Setting.addresses("peers",
			"addresses of some peers, separated by commas");

	private static final Setting<LogFormat> LOG_FORMAT = Setting.choice("log-format", "format of log lines",
			LogFormat.class, LogFormat.TEXT);

	/**
	 * Returns the settings to be parsed.
	 * @return the settings
	 */
	public static List<Setting<?>> all() {
		return List.of(NODE_ID, ZONE, LISTEN, PEER_LISTEN, PLATFORM, PEERS, LOG_FORMAT);
	}

	/**
	 * Reads the parsed settings.
	 * @param settings the settings
	 * @return their values
	 */
	public static NodeSettings of(Settings settings) {
		return new NodeSettings(NodeId.of(settings.get(NODE_ID)), settings.get(ZONE), settings.get(LISTEN),
				settings.get(PEER_LISTEN), settings.get(PLATFORM), settings.get(PEERS), settings.get(LOG_FORMAT));
	}

}
