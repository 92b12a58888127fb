package org.monsoonvalve.gateway.process;

import java.util.function.Consumer;

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
	 * @param onCall receives the name of each call
	 * @return the store's client
	 */
	WatchableStore store(HttpClient client, GatewaySettings settings, Consumer<String> onCall);

	/**
	 * Creates a client of the engines.
	 * @param client the HTTP client to use
	 * @param onCall receives the name of each order or report call
	 * @return the engines' client
	 */
	EngineControl engines(HttpClient client, Consumer<String> onCall);

	/**
	 * Returns the decoder of the store's values.
	 * @return the decoder
	 */
	EntryDecoder decoder();

	/**
	 * Returns the names of the platform's header fields.
	 * @return the names
	 */
	HeaderNames headerNames();

	/**
	 * Returns the path of the platform's readiness checks.
	 * @return the path
	 */
	String readinessPath();

}
