package org.monsoonvalve.core.connection;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicBoolean;

import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.Problem;
import org.monsoonvalve.core.request.ServingException;

/**
 * A request received by a server, with methods to respond to it from any thread. Only the
 * first response is sent; later ones are ignored.
 *
 * @author monsoonvalve maintainers
 */
public final class IncomingCall {

	private static final String RETRY_AFTER_SECONDS = "1";

	private static final byte[] EMPTY_BODY = new byte[0];

	private final ServerConnection connection;

	private final HttpRequestPacket request;

	private final String method;

	private final String path;

	private final String query;

	private final Headers headers;

	private final byte[] body;

	private final Runnable releaseBody;

	private final boolean keepAlive;

	private final AtomicBoolean answered = new AtomicBoolean();

	private final AtomicBoolean finished = new AtomicBoolean();

	private volatile HttpResponsePacket response;

	private volatile boolean keepAliveAfterResponse;

	private volatile Runnable onAbandoned = () -> {
	};

	private volatile Runnable onFinished = () -> {
	};

	IncomingCall(ServerConnection connection, HttpRequestPacket request, Headers headers, byte[] body,
			Runnable releaseBody) {
		this.releaseBody = releaseBody;
		this.connection = connection;
		this.request = request;
		this.method = request.getMethod().getMethodString();
		this.path = request.getRequestURI();
		this.query = request.getQueryString();
		this.headers = headers;
		this.body = body;
		this.keepAlive = ServerConnection.requestsKeepAlive(request, headers);
	}

	/**
	 * Returns the method.
	 * @return the method, such as {@code GET}
	 */
	public String method() {
		return this.method;
	}

	/**
	 * Returns the path.
	 * @return the path as sent, without the query
	 */
	public String path() {
		return this.path;
	}

	/**
	 * Returns the path and query.
	 * @return the request target
	 */
	public String target() {
		return (this.query != null) ? this.path + "?" + this.query : this.path;
	}

	/**
	 * Returns the number of the connection that the request arrived on.
	 * @return the number, unique within this process
	 */
	public long connectionNumber() {
		return this.connection.number();
	}

	/**
	 * Returns the decoded value of a query parameter.
	 * @param name the parameter's name
	 * @param fallback the value to return if the parameter is absent
	 * @return the value
	 */
	public String query(String name, String fallback) {
		String parameters = (this.query != null) ? this.query : "";
		return Arrays.stream(parameters.split("&"))
			.filter((parameter) -> parameter.startsWith(name + "="))
			.map((parameter) -> URLDecoder.decode(parameter.substring(name.length() + 1), StandardCharsets.UTF_8))
			.findFirst()
			.orElse(fallback);
	}

	/**
	 * Returns the header fields.
	 * @return the fields
	 */
	public Headers headers() {
		return this.headers;
	}

	/**
	 * Returns the content.
	 * @return the bytes, empty if there are none
	 */
	public byte[] body() {
		return this.body;
	}

	/**
	 * Sets the action to run if the client disconnects before the response has ended.
	 * @param action the action
	 */
	public void onAbandoned(Runnable action) {
		this.onAbandoned = action;
	}

	/**
	 * Sets the action to run when the response has ended, complete or not.
	 * @param action the action
	 */
	public void onFinished(Runnable action) {
		this.onFinished = action;
	}

	/**
	 * Sends a complete response.
	 * @param status the status code
	 * @param fields the header fields
	 * @param content the content
	 */
	public void reply(int status, Headers fields, byte[] content) {
		if (!this.answered.compareAndSet(false, true)) {
			return;
		}
		HttpResponsePacket packet = prepareResponse(status, fields);
		packet.setContentLength(content.length);
		complete(packet, content);
	}

	/**
	 * Sends a JSON response.
	 * @param status the status code
	 * @param value the value to encode
	 */
	public void replyJson(int status, Object value) {
		reply(status, Headers.of("Content-Type", "application/json"), Codec.JSON.encode(value));
	}

	/**
	 * Sends a problem document, with {@code Retry-After} if the failure is retryable.
	 * @param failure the failure
	 */
	public void refuse(ServingException failure) {
		FailureCode code = failure.code();
		Headers fields = Headers.of("Content-Type", Problem.MEDIA_TYPE);
		reply(code.status(), code.retryable() ? fields.with("Retry-After", RETRY_AFTER_SECONDS) : fields,
				Problem.of(failure).encode());
	}

	/**
	 * Begins a streamed response.
	 * @param status the status code
	 * @param fields the header fields; without a {@code Content-Length}, the content is
	 * sent with chunked encoding
	 * @return {@code false} if the request was already answered
	 */
	public boolean begin(int status, Headers fields) {
		if (!this.answered.compareAndSet(false, true)) {
			return false;
		}
		HttpResponsePacket packet = prepareResponse(status, fields.without("Content-Length"));
		fields.get("Content-Length")
			.ifPresentOrElse((length) -> packet.setContentLengthLong(Long.parseLong(length)),
					() -> packet.setChunked(true));
		this.response = packet;
		return true;
	}

	/**
	 * Writes and flushes a chunk of content of a streamed response. Aborts the response
	 * if the connection is closed or the client reads too slowly for
	 * {@link HttpLimits#pendingBytes()}.
	 * @param chunk the bytes
	 */
	public void write(byte[] chunk) {
		if (!this.finished.get() && !this.connection.write(this.response, chunk, false)) {
			abort();
		}
	}

	/**
	 * Tells whether all content written so far has been flushed.
	 * @return {@code false} if earlier content is still buffered for the client
	 */
	public boolean writable() {
		return this.connection.writable();
	}

	/**
	 * Completes a streamed response.
	 */
	public void finish() {
		complete(this.response, EMPTY_BODY);
	}

	/**
	 * Closes the connection without completing the response, so that the client detects
	 * incomplete content.
	 */
	public void abort() {
		if (this.finished.compareAndSet(false, true)) {
			this.answered.set(true);
			this.connection.close();
			ended();
		}
	}

	/**
	 * Tells whether a response has begun or can no longer be sent.
	 * @return {@code true} if a further response would be ignored
	 */
	public boolean answered() {
		return this.answered.get();
	}

	void abandon() {
		if (this.finished.compareAndSet(false, true)) {
			this.answered.set(true);
			this.onAbandoned.run();
			ended();
		}
	}

	private void ended() {
		this.releaseBody.run();
		this.onFinished.run();
	}

	private void complete(HttpResponsePacket packet, byte[] content) {
		if (!this.finished.compareAndSet(false, true)) {
			return;
		}
		if (!this.connection.write(packet, content, true)) {
			this.connection.close();
		}
		ended();
		this.connection.responseEnded(this, this.keepAliveAfterResponse);
	}

	private HttpResponsePacket prepareResponse(int status, Headers fields) {
		HttpResponsePacket packet = this.request.getResponse();
		packet.setStatus(status);
		packet.setAcknowledgement(false);
		packet.setProtocol(org.glassfish.grizzly.http.Protocol.HTTP_1_1);
		this.keepAliveAfterResponse = this.keepAlive && !this.connection.closesAfter(this);
		if (!this.keepAliveAfterResponse) {
			packet.addHeader("Connection", "close");
		}
		fields.fields().forEach((field) -> packet.addHeader(field.name(), field.value()));
		return packet;
	}

}
