package org.monsoonvalve.core.connection;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.http.HttpBrokenContent;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * The server side of an HTTP connection. Passes requests to the handler one at a time and
 * writes the responses in request order.
 *
 * @author monsoonvalve maintainers
 */
final class ServerConnection {

	/**
	 * Pipelined requests that may wait for the current one; the next closes the
	 * connection.
	 */
	private static final int MAX_PIPELINED = 16;

	private static final int STATUS_CONTINUE = 100;

	private final Connection<?> connection;

	private final HttpLimits limits;

	private final BooleanSupplier draining;

	private final Consumer<IncomingCall> handler;

	private final Deque<IncomingCall> pipelined = new ArrayDeque<>();

	private final ByteArrayOutputStream bodyBuffer = new ByteArrayOutputStream();

	private IncomingCall current;

	private boolean readingRequest;

	private boolean rejected;

	private long pendingWriteBytes;

	private volatile long lastActivityMillis = EventLoop.nowMillis();

	ServerConnection(Connection<?> connection, HttpLimits limits, BooleanSupplier draining,
			Consumer<IncomingCall> handler) {
		this.connection = connection;
		this.limits = limits;
		this.draining = draining;
		this.handler = handler;
	}

	long number() {
		return this.connection.getId();
	}

	boolean draining() {
		return this.draining.getAsBoolean();
	}

	synchronized int callsInProgress() {
		return this.pipelined.size() + ((this.current != null) ? 1 : 0);
	}

	void handleContent(HttpContent content) {
		HttpRequestPacket request = (HttpRequestPacket) content.getHttpHeader();
		this.lastActivityMillis = EventLoop.nowMillis();
		if (this.rejected || content instanceof HttpBrokenContent) {
			close();
			return;
		}
		if (!this.readingRequest) {
			beginRequest(request);
		}
		Buffer buffer = content.getContent();
		if (this.bodyBuffer.size() + buffer.remaining() > this.limits.bodyBytes()) {
			reject(request, new ServingException(FailureCode.BODY_TOO_LARGE,
					"the request body is larger than " + this.limits.bodyBytes() + " bytes"));
			return;
		}
		appendToBody(buffer);
		if (content.isLast()) {
			this.readingRequest = false;
			dispatchOrQueue(new IncomingCall(this, request, headersOf(request), this.bodyBuffer.toByteArray()));
			this.bodyBuffer.reset();
		}
	}

	private void beginRequest(HttpRequestPacket request) {
		this.readingRequest = true;
		if (request.requiresAcknowledgement()) {
			HttpResponsePacket response = request.getResponse();
			response.setStatus(STATUS_CONTINUE);
			response.setAcknowledgement(true);
			this.connection.write(HttpContent.builder(response).build());
		}
	}

	private void appendToBody(Buffer buffer) {
		int length = buffer.remaining();
		if (length > 0) {
			byte[] chunk = new byte[length];
			buffer.get(chunk);
			this.bodyBuffer.write(chunk, 0, length);
		}
	}

	private void reject(HttpRequestPacket request, ServingException failure) {
		this.rejected = true;
		IncomingCall call = new IncomingCall(this, request, headersOf(request), new byte[0]);
		synchronized (this) {
			this.current = call;
		}
		call.refuse(failure);
	}

	private void dispatchOrQueue(IncomingCall call) {
		if (hasAmbiguousFraming(call.headers())) {
			synchronized (this) {
				this.current = call;
			}
			this.rejected = true;
			call.refuse(
					new ServingException(FailureCode.MALFORMED_CONTENT, "the request body has an ambiguous length"));
			return;
		}
		synchronized (this) {
			if (this.current != null) {
				if (this.pipelined.size() >= MAX_PIPELINED) {
					close();
					return;
				}
				this.pipelined.add(call);
				return;
			}
			this.current = call;
		}
		dispatch(call);
	}

	// Two parsers may frame such a request differently, which allows request smuggling.
	private static boolean hasAmbiguousFraming(Headers headers) {
		long lengths = headers.count("Content-Length");
		long encodings = headers.count("Transfer-Encoding");
		return lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0);
	}

	private void dispatch(IncomingCall call) {
		HttpServer.handleOrRefuse(this.handler, call);
	}

	void responseEnded(IncomingCall call, boolean keepAlive) {
		this.lastActivityMillis = EventLoop.nowMillis();
		IncomingCall next;
		synchronized (this) {
			if (this.current != call) {
				return;
			}
			next = keepAlive ? this.pipelined.poll() : null;
			this.current = next;
		}
		if (!keepAlive || this.rejected) {
			this.connection.closeSilently();
		}
		else if (next != null) {
			dispatch(next);
		}
	}

	// Returns false if the connection is closed or too many bytes wait for the client.
	boolean write(HttpResponsePacket response, byte[] chunk, boolean last) {
		if (!this.connection.isOpen()) {
			return false;
		}
		synchronized (this) {
			if (this.pendingWriteBytes > this.limits.pendingBytes()) {
				return false;
			}
			this.pendingWriteBytes += chunk.length;
		}
		Buffer buffer = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, chunk);
		write(this.connection, HttpContent.builder(response).content(buffer).last(last).build(),
				() -> writeCompleted(chunk.length));
		return true;
	}

	private synchronized void writeCompleted(int bytes) {
		this.pendingWriteBytes -= bytes;
	}

	private static <L> void write(Connection<L> connection, HttpContent content, Runnable onWritten) {
		connection.write(content, new EmptyCompletionHandler<WriteResult<HttpContent, L>>() {

			@Override
			public void completed(WriteResult<HttpContent, L> result) {
				onWritten.run();
			}

		});
	}

	synchronized boolean writable() {
		return this.pendingWriteBytes == 0;
	}

	void closeIfIdle(long idleTimeoutMillis, long requestTimeoutMillis) {
		long inactiveMillis = EventLoop.nowMillis() - this.lastActivityMillis;
		boolean expired = this.readingRequest ? inactiveMillis > requestTimeoutMillis
				: inactiveMillis > idleTimeoutMillis;
		if (expired && callsInProgress() == 0) {
			close();
		}
	}

	void close() {
		this.connection.terminateSilently();
	}

	void handleClose() {
		List<IncomingCall> interrupted = new ArrayList<>();
		synchronized (this) {
			if (this.current != null) {
				interrupted.add(this.current);
			}
			this.current = null;
			this.pipelined.clear();
		}
		interrupted.forEach(IncomingCall::abandon);
	}

	static boolean requestsKeepAlive(HttpRequestPacket request, Headers headers) {
		String options = headers.get("Connection").orElse("").toLowerCase(Locale.ROOT);
		return (request.getProtocol() == Protocol.HTTP_1_1) ? !options.contains("close")
				: options.contains("keep-alive");
	}

	static Headers headersOf(HttpHeader packet) {
		MimeHeaders source = packet.getHeaders();
		List<Headers.Field> fields = new ArrayList<>(source.size());
		for (int i = 0; i < source.size(); i++) {
			fields.add(new Headers.Field(source.getName(i).toString(), source.getValue(i).toString()));
		}
		return new Headers(fields);
	}

}
