package org.monsoonvalve.core.connection;

import org.monsoonvalve.core.process.Codec;

/**
 * An HTTP request to send.
 *
 * @author monsoonvalve maintainers
 * @param method the method, such as {@code POST}
 * @param target the path and query
 * @param headers the header fields, without {@code Content-Length}; {@code Host} defaults
 * to the address of the connection
 * @param body the content, empty if there is none
 */
public record HttpRequest(String method, String target, Headers headers, byte[] body) {

	private static final byte[] EMPTY_BODY = new byte[0];

	/**
	 * Creates a request without content.
	 * @param target the path and query
	 * @return the request
	 */
	public static HttpRequest get(String target) {
		return new HttpRequest("GET", target, Headers.empty(), EMPTY_BODY);
	}

	/**
	 * Creates a request with JSON content.
	 * @param method the method
	 * @param target the path and query
	 * @param value the value to encode
	 * @return the request
	 */
	public static HttpRequest json(String method, String target, Object value) {
		return new HttpRequest(method, target, Headers.of("Content-Type", "application/json"),
				Codec.JSON.encode(value));
	}

	/**
	 * Adds a header field.
	 * @param name the field's name
	 * @param value the field's value
	 * @return the new request
	 */
	public HttpRequest withHeader(String name, String value) {
		return new HttpRequest(this.method, this.target, this.headers.with(name, value), this.body);
	}

}
