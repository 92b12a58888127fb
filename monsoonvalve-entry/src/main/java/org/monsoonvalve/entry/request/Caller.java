package org.monsoonvalve.entry.request;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.apache.commons.codec.digest.DigestUtils;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.core.version.Configuration;
import org.monsoonvalve.core.version.Inventory;
import org.monsoonvalve.core.version.Rules;

/**
 * Recognises callers by their key.
 *
 * @author monsoonvalve maintainers
 */
public final class Caller {

	private static final String BEARER = "Bearer ";

	private Caller() {
	}

	/**
	 * Finds the workspace of a request.
	 * @param headers the request's header fields
	 * @param configuration the configuration in force
	 * @return the workspace
	 * @throws ServingException with {@link FailureCode#UNAUTHENTICATED} for a missing or
	 * unknown key, or {@link FailureCode#NOT_READY} while there is no configuration
	 */
	public static Rules.Workspace workspace(Headers headers, Configuration configuration) {
		if (!configuration.ready()) {
			throw new ServingException(FailureCode.NOT_READY, "this entry has not received its configuration yet");
		}
		return key(headers).map((key) -> configuration.workspaces().get(sha256(key)))
			.orElseThrow(() -> new ServingException(FailureCode.UNAUTHENTICATED,
					"the Authorization header does not hold the key of a workspace"));
	}

	/**
	 * Checks that a workspace may use a pool.
	 * @param workspace the workspace
	 * @param pool the pool
	 * @throws ServingException with {@link FailureCode#FORBIDDEN} if it may not
	 */
	public static void checkPool(Rules.Workspace workspace, Inventory.Pool pool) {
		if (!workspace.pools().contains(pool.id())) {
			throw new ServingException(FailureCode.FORBIDDEN,
					"workspace '" + workspace.id() + "' may not use pool '" + pool.id() + "'");
		}
	}

	/**
	 * Reads the key of a request.
	 * @param headers the request's header fields
	 * @return the key in the {@code Authorization} field, if there is one
	 */
	public static Optional<String> key(Headers headers) {
		return headers.get("Authorization")
			.filter((value) -> value.startsWith(BEARER))
			.map((value) -> value.substring(BEARER.length()).trim());
	}

	/**
	 * Digests a key.
	 * @param key the key
	 * @return its SHA-256 in hexadecimal
	 */
	public static String sha256(String key) {
		return DigestUtils.sha256Hex(key.getBytes(StandardCharsets.UTF_8));
	}

}
