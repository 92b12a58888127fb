package org.monsoonvalve.core.connection;

/**
 * Size limits of an HTTP server.
 *
 * @author monsoonvalve maintainers
 * @param headerBytes the maximum size of the header section, in bytes
 * @param bodyBytes the maximum size of the request content, in bytes
 * @param pendingBytes the response content that may be buffered for a slow client, in
 * bytes
 */
public record HttpLimits(int headerBytes, int bodyBytes, int pendingBytes) {

	private static final int KIB = 1024;

	private static final int DEFAULT_HEADER_BYTES = 16 * KIB;

	private static final int DEFAULT_BODY_BYTES = 1024 * KIB;

	private static final int DEFAULT_PENDING_BYTES = 1024 * KIB;

	/**
	 * Returns the default limits.
	 * @return the limits
	 */
	public static HttpLimits defaults() {
		return new HttpLimits(DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES, DEFAULT_PENDING_BYTES);
	}

}
