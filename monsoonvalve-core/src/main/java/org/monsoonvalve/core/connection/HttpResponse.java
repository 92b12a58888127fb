package org.monsoonvalve.core.connection;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonvalve.core.process.Codec;

/**
 * A complete HTTP response.
 *
 * @author monsoonvalve maintainers
 * @param status the status code
 * @param headers the header fields
 * @param body the content
 */
public record HttpResponse(int status, Headers headers, byte[] body) {

	private static final int MIN_REDIRECTION_STATUS = 300;

	private static final int MIN_SUCCESS_STATUS = 200;

	/**
	 * Tells whether the request succeeded.
	 * @return {@code true} for a 2xx status
	 */
	public boolean successful() {
		return this.status >= MIN_SUCCESS_STATUS && this.status < MIN_REDIRECTION_STATUS;
	}

	/**
	 * Decodes the content as JSON.
	 * @return the JSON tree
	 * @throws org.monsoonvalve.core.request.ServingException with
	 * {@link org.monsoonvalve.core.request.FailureCode#MALFORMED_CONTENT} if the content
	 * is not JSON
	 */
	public JsonNode json() {
		return Codec.JSON.tree(this.body);
	}

}
