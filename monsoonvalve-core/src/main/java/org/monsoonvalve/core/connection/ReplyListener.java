package org.monsoonvalve.core.connection;

import org.monsoonvalve.core.request.ServingException;

/**
 * Receives one HTTP response as it arrives. Calls come one after another, and the last is
 * either {@link #onComplete()} or {@link #onFailure(ServingException)}, once.
 *
 * @author monsoonvalve maintainers
 */
public interface ReplyListener {

	/**
	 * Called when the status and header fields have arrived.
	 * @param status the status
	 * @param headers the header fields
	 */
	void onHeaders(int status, Headers headers);

	/**
	 * Called for each piece of content.
	 * @param chunk the bytes
	 */
	void onBody(byte[] chunk);

	/**
	 * Called when the whole response has arrived.
	 */
	void onComplete();

	/**
	 * Called when the connection ended or timed out before the whole response arrived.
	 * @param failure the failure
	 */
	void onFailure(ServingException failure);

}
