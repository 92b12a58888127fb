package org.monsoonvalve.gateway.request;

import java.util.Optional;
import java.util.OptionalLong;

import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.IncomingCall;

/**
 * The response that the caller of one request receives, regardless of which endpoints it
 * comes from. A stream uses the headers of its first endpoint and contains each event
 * once. Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
final class CallerResponse {

	private static final int OK = 200;

	private final IncomingCall call;

	private Headers streamHeaders;

	private boolean started;

	private Optional<String> lastEventId;

	private long firstByteMillis;

	private long lastEventMillis;

	private long longestGapMillis;

	private CallerResponse(IncomingCall call, Optional<String> lastEventId) {
		this.call = call;
		this.lastEventId = lastEventId;
	}

	/**
	 * Creates a response that has not started.
	 * @param call the caller's request
	 * @param lastEventId the last event that the caller received, if it resumes a stream
	 * @return the response
	 */
	static CallerResponse of(IncomingCall call, Optional<String> lastEventId) {
		return new CallerResponse(call, lastEventId);
	}

	/**
	 * Returns whether the response has been started with {@link #start} or
	 * {@link #startStream}.
	 * @return {@code true} once the status and headers were written
	 */
	boolean started() {
		return this.started;
	}

	/**
	 * Returns the last event that the caller received.
	 * @return its identifier, empty if there is none
	 */
	Optional<String> lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns when the response was started.
	 * @return the time of the event loop in milliseconds, empty if it was not started or
	 * was written as a whole by {@link #reply}
	 */
	OptionalLong firstByteMillis() {
		return this.started ? OptionalLong.of(this.firstByteMillis) : OptionalLong.empty();
	}

	/**
	 * Returns the longest gap between two consecutive events, including gaps while the
	 * stream was resumed at another endpoint.
	 * @return the gap in milliseconds, 0 with fewer than two events
	 */
	long longestGapMillis() {
		return this.longestGapMillis;
	}

	/**
	 * Sets the headers of a stream; those of the first endpoint are kept.
	 * @param headers the headers for the caller
	 */
	void offerStreamHeaders(Headers headers) {
		if (this.streamHeaders == null) {
			this.streamHeaders = headers;
		}
	}

	/**
	 * Relays an event of a stream unless the caller has already received it.
	 * @param event the event
	 * @return {@code true} if it was relayed
	 */
	boolean relay(EventSplitter.Event event) {
		if (alreadySent(event)) {
			return false;
		}
		startStream();
		recordGap();
		this.call.write(event.bytes());
		event.id().ifPresent((id) -> this.lastEventId = Optional.of(String.valueOf(id)));
		return true;
	}

	private boolean alreadySent(EventSplitter.Event event) {
		return this.started && event.id().isPresent()
				&& this.lastEventId.filter((last) -> event.id().get() <= Long.parseLong(last)).isPresent();
	}

	private void recordGap() {
		long now = EventLoop.nowMillis();
		if (this.lastEventMillis > 0) {
			this.longestGapMillis = Math.max(this.longestGapMillis, now - this.lastEventMillis);
		}
		this.lastEventMillis = now;
	}

	/**
	 * Starts a stream if it has not been started.
	 */
	void startStream() {
		if (!this.started) {
			start(OK, this.streamHeaders.without("Content-Length"));
		}
	}

	/**
	 * Writes the status and headers of a response whose body follows in chunks.
	 * @param status the status
	 * @param headers the headers for the caller
	 */
	void start(int status, Headers headers) {
		this.started = true;
		this.firstByteMillis = EventLoop.nowMillis();
		this.call.begin(status, headers);
	}

	/**
	 * Writes a chunk of the body.
	 * @param chunk the bytes
	 */
	void write(byte[] chunk) {
		this.call.write(chunk);
	}

	/**
	 * Ends a response that was started.
	 */
	void finish() {
		this.call.finish();
	}

	/**
	 * Writes a complete response.
	 * @param status the status
	 * @param headers the headers for the caller
	 * @param body the body
	 */
	void reply(int status, Headers headers, byte[] body) {
		this.call.reply(status, headers, body);
	}

}
