package org.monsoonvalve.core.connection;

import org.monsoonvalve.core.request.ServingException;

/**
 * Receives one HTTP response as it arrives. Methods are called sequentially, and the last
 * call is exactly one of {@link #onComplete()} and {@link #onFailure(ServingException)}.
 *
 * @author monsoonvalve maintainers
 */
public interface ResponseListener {

	/**
	 * Called when the status and header fields have arrived.
	 * @param status the status code
	 * @param headers the header fields
	 */
	void onHeaders(int status, Headers headers);

	/**
	 * Called for each chunk of content.
	 * @param chunk the bytes
	 */
	void onBody(byte[] chunk);

	/**
	 * Called when the complete response has arrived.
	 */
	void onComplete();

	/**
	 * Called when the connection closed or timed out before the response was complete.
	 * @param failure the failure
	 */
	void onFailure(ServingException failure);

}
