package org.monsoonvalve.gateway.process;

import java.util.function.Consumer;
import java.util.function.LongConsumer;

import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.gateway.request.HeaderNames;

/**
 * Provides the platform-specific parts of a gateway.
 *
 * @author monsoonvalve maintainers
 */
public interface PlatformBinding {

	/**
	 * Reads the settings, at startup and on every reload.
	 * @return the settings
	 * @throws org.monsoonvalve.core.request.ServingException with
	 * {@link org.monsoonvalve.core.request.FailureCode#INVALID_SETTING} if they are
	 * invalid
	 */
	GatewaySettings settings();

	/**
	 * Creates a client of the platform's store.
	 * @param client the HTTP client to use
	 * @param settings the settings
	 * @param onCall receives the name of each call, to count it
	 * @param onEra receives the era that each response of the store states, 0 if none; on
	 * any thread
	 * @return the store's client
	 */
	WatchableStore store(HttpClient client, GatewaySettings settings, Consumer<String> onCall, LongConsumer onEra);

	/**
	 * Creates a client of the engines.
	 * @param client the HTTP client to use
	 * @param onCall receives the name of each order or report call, to count it
	 * @return the engines' client
	 */
	EngineControl engines(HttpClient client, Consumer<String> onCall);

	/**
	 * Returns the decoder of the values that operators and endpoints write to the store.
	 * @return the decoder
	 */
	EntryDecoder decoder();

	/**
	 * Returns the names of the header fields that the platform defines.
	 * @return the names
	 */
	HeaderNames headerNames();

	/**
	 * Returns the path that the platform's readiness checks request.
	 * @return the path
	 */
	String readinessPath();

}
