package org.monsoonvalve.core.connection;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonvalve.core.process.Codec;

/**
 * A whole HTTP response.
 *
 * @author monsoonvalve maintainers
 * @param status the status
 * @param headers the header fields
 * @param body the content
 */
public record HttpReply(int status, Headers headers, byte[] body) {

	private static final int FIRST_NON_SUCCESS = 300;

	private static final int FIRST_SUCCESS = 200;

	/**
	 * Tells whether the status is of the 2xx class.
	 * @return {@code true} on success
	 */
	public boolean successful() {
		return this.status >= FIRST_SUCCESS && this.status < FIRST_NON_SUCCESS;
	}

	/**
	 * Decodes the content as JSON.
	 * @return the tree
	 */
	public JsonNode json() {
		return Codec.JSON.tree(this.body);
	}

}
