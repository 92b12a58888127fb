package org.monsoonvalve.gateway.request;

import java.util.Optional;
import java.util.OptionalLong;

import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.IncomingCall;

/**
 * The answer to one request as its caller gets it, whichever endpoints it comes from. A
 * stream keeps the head of its first endpoint and gets each event once. Confined to the
 * event loop.
 *
 * @author monsoonvalve maintainers
 */
final class CallerAnswer {

	private static final int OK = 200;

	private final IncomingCall call;

	private Headers streamHead;

	private boolean begun;

	private Optional<String> lastEventId;

	private long firstByteMillis;

	private long relayedMillis;

	private long longestGapMillis;

	private CallerAnswer(IncomingCall call, Optional<String> lastEventId) {
		this.call = call;
		this.lastEventId = lastEventId;
	}

	/**
	 * Creates an answer that has not begun.
	 * @param call the caller's request
	 * @param lastEventId the last event that the caller has, if it resumes a stream
	 * @return the answer
	 */
	static CallerAnswer of(IncomingCall call, Optional<String> lastEventId) {
		return new CallerAnswer(call, lastEventId);
	}

	/**
	 * Tells whether the caller has got a part of the answer.
	 * @return {@code true} once the head was written
	 */
	boolean begun() {
		return this.begun;
	}

	/**
	 * Returns the last event that the caller has.
	 * @return its identifier, empty if it has none
	 */
	Optional<String> lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Tells when the caller got the first part.
	 * @return the time of the event loop in milliseconds, empty if it has got none
	 */
	OptionalLong firstByteMillis() {
		return this.begun ? OptionalLong.of(this.firstByteMillis) : OptionalLong.empty();
	}

	/**
	 * Returns the longest pause between two events, also across endpoints.
	 * @return the pause in milliseconds, 0 without two events
	 */
	long longestGapMillis() {
		return this.longestGapMillis;
	}

	/**
	 * Takes the head of a stream; only that of the first endpoint counts.
	 * @param head the head for the caller
	 */
	void offerStreamHead(Headers head) {
		if (this.streamHead == null) {
			this.streamHead = head;
		}
	}

	/**
	 * Relays an event of a stream unless the caller has it.
	 * @param event the event
	 * @return {@code true} if it was relayed
	 */
	boolean relay(EventSplitter.Event event) {
		if (alreadySent(event)) {
			return false;
		}
		beginStream();
		notePause();
		this.call.write(event.bytes());
		event.id().ifPresent((id) -> this.lastEventId = Optional.of(String.valueOf(id)));
		return true;
	}

	private boolean alreadySent(EventSplitter.Event event) {
		return this.begun && event.id().isPresent()
				&& this.lastEventId.filter((last) -> event.id().get() <= Long.parseLong(last)).isPresent();
	}

	private void notePause() {
		long now = EventLoop.nowMillis();
		if (this.relayedMillis > 0) {
			this.longestGapMillis = Math.max(this.longestGapMillis, now - this.relayedMillis);
		}
		this.relayedMillis = now;
	}

	/**
	 * Writes the head of a stream if that has not been done.
	 */
	void beginStream() {
		if (!this.begun) {
			begin(OK, this.streamHead.without("Content-Length"));
		}
	}

	/**
	 * Writes the head of an answer whose content follows in parts.
	 * @param status the status
	 * @param head the head for the caller
	 */
	void begin(int status, Headers head) {
		this.begun = true;
		this.firstByteMillis = EventLoop.nowMillis();
		this.call.begin(status, head);
	}

	/**
	 * Writes a part of the content.
	 * @param chunk the part
	 */
	void write(byte[] chunk) {
		this.call.write(chunk);
	}

	/**
	 * Ends an answer that has begun.
	 */
	void finish() {
		this.call.finish();
	}

	/**
	 * Writes a whole answer.
	 * @param status the status
	 * @param head the head for the caller
	 * @param content the content
	 */
	void reply(int status, Headers head, byte[] content) {
		this.call.reply(status, head, content);
	}

}
