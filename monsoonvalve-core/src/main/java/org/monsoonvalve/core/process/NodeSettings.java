package org.monsoonvalve.core.process;

import java.util.List;

import org.monsoonvalve.core.connection.Address;

/**
 * The settings that entries and controllers share.
 *
 * @author monsoonvalve maintainers
 * @param id the identifier of the process
 * @param zone the availability zone of the process
 * @param httpListen the address on which it listens for HTTP
 * @param peerListen the address on which it listens for peers
 * @param platform the address of the platform
 * @param peers the addresses of seed peers
 * @param logFormat the format of log output
 */
public record NodeSettings(NodeId id, String zone, Address httpListen, Address peerListen, Address platform,
		List<Address> peers, LogFormat logFormat) {

	private static final Setting<String> NODE_ID = Setting.name("node-id", "unique name of this process");

	private static final Setting<String> ZONE = Setting.name("availability-zone", "availability zone of this process");

	private static final Setting<Address> LISTEN = Setting.address("listen", "HTTP listen address, IP:port");

	private static final Setting<Address> PEER_LISTEN = Setting.address("peer-listen", "peer listen address, IP:port");

	private static final Setting<Address> PLATFORM = Setting.address("platform", "address of the platform, IP:port");

	private static final Setting<List<Address>> PEERS = Setting.addresses("peers",
			"addresses of seed peers, separated by commas");

	private static final Setting<LogFormat> LOG_FORMAT = Setting.choice("log-format", "format of log output",
			LogFormat.class, LogFormat.TEXT);

	/**
	 * Returns the definitions of the settings.
	 * @return the settings
	 */
	public static List<Setting<?>> all() {
		return List.of(NODE_ID, ZONE, LISTEN, PEER_LISTEN, PLATFORM, PEERS, LOG_FORMAT);
	}

	/**
	 * Creates the node settings from parsed settings.
	 * @param settings the parsed settings
	 * @return the node settings
	 */
	public static NodeSettings of(Settings settings) {
		return new NodeSettings(NodeId.of(settings.get(NODE_ID)), settings.get(ZONE), settings.get(LISTEN),
				settings.get(PEER_LISTEN), settings.get(PLATFORM), settings.get(PEERS), settings.get(LOG_FORMAT));
	}

}
