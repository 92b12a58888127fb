package org.monsoonvalve.core.connection;

/**
 * Size limits of an HTTP server.
 *
 * @author monsoonvalve maintainers
 * @param headerBytes the maximum size of the header section, in bytes
 * @param bodyBytes the maximum size of the request content, in bytes
 * @param pendingBytes the response content that may be buffered for a slow client, in
 * bytes
 * @param totalBytes the memory that the requests of all clients may take, in bytes; the
 * responses that clients have not read may take half as much
 */
public record HttpLimits(int headerBytes, int bodyBytes, int pendingBytes, long totalBytes) {

	private static final int KIB = 1024;

	private static final int DEFAULT_HEADER_BYTES = 16 * KIB;

	private static final int DEFAULT_BODY_BYTES = 1024 * KIB;

	private static final int DEFAULT_PENDING_BYTES = 1024 * KIB;

	/** Part of the largest heap that the requests may take. */
	private static final int TOTAL_HEAP_DIVISOR = 5;

	/**
	 * Creates limits whose total is a part of the largest heap of this process.
	 * @param headerBytes the maximum size of the header section, in bytes
	 * @param bodyBytes the maximum size of the request content, in bytes
	 * @param pendingBytes the response content that may be buffered for a slow client, in
	 * bytes
	 */
	public HttpLimits(int headerBytes, int bodyBytes, int pendingBytes) {
		this(headerBytes, bodyBytes, pendingBytes, Runtime.getRuntime().maxMemory() / TOTAL_HEAP_DIVISOR);
	}

	/**
	 * Returns the default limits.
	 * @return the limits
	 */
	public static HttpLimits defaults() {
		return new HttpLimits(DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES, DEFAULT_PENDING_BYTES);
	}

}
