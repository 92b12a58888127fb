package org.monsoonvalve.core.connection;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
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
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
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
import org.monsoonvalve.core.request.Problem;
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

	/** Approximate memory of a write that waits for the client, besides its content. */
	private static final int WRITE_OVERHEAD_BYTES = 512;

	private static final Attribute<ServerConnection> ATTRIBUTE = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(ServerConnection.class.getName());

	private final Connection<?> connection;

	private final HttpLimits limits;

	private final ServerMemory memory;

	private final MessageReader reader;

	private final MemoryBudget.Reservation head;

	private final MemoryBudget.Reservation pendingWrites;

	private final BooleanSupplier draining;

	private final Consumer<IncomingCall> handler;

	private final Deque<IncomingCall> pipelined = new ArrayDeque<>();

	private ContentBuffer content;

	private IncomingCall current;

	private boolean readingRequest;

	private volatile boolean rejected;

	private long discardedBytes;

	private boolean discardedToEnd;

	// The call that is refused before its content has ended, and the reason.
	private IncomingCall refusedCall;

	private ServingException refusal;

	private volatile long lastActivityMillis = EventLoop.nowMillis();

	ServerConnection(Connection<?> connection, HttpLimits limits, ServerMemory memory, BooleanSupplier draining,
			Consumer<IncomingCall> handler) {
		this.connection = connection;
		this.limits = limits;
		this.memory = memory;
		this.draining = draining;
		this.handler = handler;
		// The codec answers a header section that is larger than its limit.
		this.reader = MessageReader.ofRequests(2 * limits.headerBytes(), new CheckedMessage());
		this.head = memory.requests().reservation();
		this.pendingWrites = memory.responses().reservation();
		ATTRIBUTE.set(connection, this);
	}

	/**
	 * Finds the server connection that uses a transport connection.
	 * @param connection the transport connection
	 * @return the server connection, {@code null} if it isn't accepted yet
	 */
	static ServerConnection of(Connection<?> connection) {
		return ATTRIBUTE.get(connection);
	}

	long number() {
		return this.connection.getId();
	}

	/**
	 * Tells whether the connection is to be closed after a response.
	 * @param call the request that is answered
	 * @return {@code true} if the server is draining or refuses to read the request
	 */
	boolean closesAfter(IncomingCall call) {
		return this.draining.getAsBoolean() || call == this.refusedCall;
	}

	boolean open() {
		return this.connection.isOpen();
	}

	MemoryBudget.Reservation pendingWrites() {
		return this.pendingWrites;
	}

	synchronized int callsInProgress() {
		return this.pipelined.size() + ((this.current != null) ? 1 : 0);
	}

	/**
	 * Checks bytes of the client before they are parsed. After a malformed request
	 * nothing more is read.
	 * @param bytes the bytes
	 * @return the number of bytes that may be parsed: all, or those of the complete
	 * requests before a malformed one
	 */
	int check(ByteBuffer bytes) {
		int sound = 0;
		try {
			while (bytes.hasRemaining()) {
				if (this.reader.read(bytes)) {
					sound = bytes.position();
				}
			}
			sound = bytes.position();
		}
		catch (ServingException ex) {
			this.rejected = true;
			if (sound == 0 && callsInProgress() == 0) {
				replyMalformed(ex);
			}
		}
		if (!this.head.resize(this.reader.keptBytes())) {
			close();
		}
		return sound;
	}

	/**
	 * Tells whether everything that the client still sends is discarded, as the last
	 * request has been refused before its end.
	 * @return {@code true} once a request has been refused
	 */
	boolean discards() {
		return this.rejected;
	}

	// Reading on lets the client receive the response: closing a connection with unread
	// data resets it.
	void discard(ByteBuffer bytes) {
		this.discardedBytes += bytes.remaining();
		try {
			this.discardedToEnd |= this.reader.read(bytes);
		}
		catch (ServingException ex) {
			this.discardedToEnd = true;
		}
		closeIfRefused();
	}

	// A malformed request has no end that could be read.
	private void closeIfRefused() {
		boolean ended = this.refusedCall == null || this.discardedToEnd || this.reader.betweenMessages()
				|| this.discardedBytes > this.limits.bodyBytes();
		if (this.rejected && ended && callsInProgress() == 0) {
			this.connection.closeSilently();
		}
	}

	// The codec can't answer a request that it has not parsed.
	private void replyMalformed(ServingException failure) {
		byte[] problem = Problem.of(failure).encode();
		String head = "HTTP/1.1 " + failure.code().status() + " Bad Request\r\nContent-Type: " + Problem.MEDIA_TYPE
				+ "\r\nContent-Length: " + problem.length + "\r\nConnection: close\r\n\r\n";
		MemoryManager<?> manager = MemoryManager.DEFAULT_MEMORY_MANAGER;
		write(this.connection, Buffers.wrap(manager, head.getBytes(StandardCharsets.ISO_8859_1)), () -> {
		});
		write(this.connection, Buffers.wrap(manager, problem), () -> {
		});
		this.connection.closeSilently();
	}

	void handleContent(HttpContent part) {
		HttpRequestPacket request = (HttpRequestPacket) part.getHttpHeader();
		this.lastActivityMillis = EventLoop.nowMillis();
		if (part instanceof HttpBrokenContent) {
			close();
			return;
		}
		if (this.refusedCall != null) {
			return;
		}
		if (!this.readingRequest) {
			beginRequest(request);
		}
		Buffer buffer = part.getContent();
		if (this.content.length() + buffer.remaining() > this.limits.bodyBytes()) {
			reject(request, new ServingException(FailureCode.BODY_TOO_LARGE,
					"the request body is larger than " + this.limits.bodyBytes() + " bytes"));
			return;
		}
		if (buffer.hasRemaining() && !this.content.append(buffer.toByteBuffer(), maxContentBytes(request))) {
			reject(request, new ServingException(FailureCode.NO_CAPACITY,
					"the requests in progress take too much memory for another one of this size"));
			return;
		}
		if (part.isLast()) {
			this.readingRequest = false;
			ContentBuffer complete = this.content;
			this.content = null;
			dispatchOrQueue(new IncomingCall(this, request, headersOf(request), complete.content(), complete::release));
		}
	}

	private int maxContentBytes(HttpRequestPacket request) {
		long stated = request.getContentLength();
		return (int) Math.min(this.limits.bodyBytes(), (stated >= 0) ? stated : Long.MAX_VALUE);
	}

	private void beginRequest(HttpRequestPacket request) {
		this.readingRequest = true;
		this.content = new ContentBuffer(this.memory.requests());
		if (request.requiresAcknowledgement()) {
			HttpResponsePacket response = request.getResponse();
			response.setStatus(STATUS_CONTINUE);
			response.setAcknowledgement(true);
			this.connection.write(HttpContent.builder(response).build());
		}
	}

	private void reject(HttpRequestPacket request, ServingException failure) {
		this.rejected = true;
		this.readingRequest = false;
		releaseContent();
		this.refusal = failure;
		this.refusedCall = new IncomingCall(this, request, headersOf(request), new byte[0], () -> {
		});
		dispatchOrQueue(this.refusedCall);
	}

	private void releaseContent() {
		if (this.content != null) {
			this.content.release();
			this.content = null;
		}
	}

	private void dispatchOrQueue(IncomingCall call) {
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

	private void dispatch(IncomingCall call) {
		if (call == this.refusedCall) {
			call.refuse(this.refusal);
		}
		else {
			HttpServer.handleOrRefuse(this.handler, call);
		}
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
		if (next != null) {
			dispatch(next);
		}
		else if (this.rejected) {
			closeIfRefused();
		}
		else if (!keepAlive) {
			this.connection.closeSilently();
		}
	}

	// Returns false if the connection is closed or too many bytes wait for the client.
	boolean write(HttpResponsePacket response, byte[] chunk, boolean last) {
		long bytes = chunk.length + WRITE_OVERHEAD_BYTES;
		if (!open() || this.pendingWrites.bytes() > this.limits.pendingBytes()
				|| !this.memory.reserveWrite(this, bytes)) {
			return false;
		}
		Buffer buffer = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, chunk);
		write(this.connection, HttpContent.builder(response).content(buffer).last(last).build(),
				() -> this.pendingWrites.add(-bytes));
		return true;
	}

	// The reservation ends with the connection, and so do the writes that wait.
	private static <L, M> void write(Connection<L> connection, M message, Runnable onWritten) {
		connection.write(message, new EmptyCompletionHandler<WriteResult<M, L>>() {

			@Override
			public void completed(WriteResult<M, L> result) {
				onWritten.run();
			}

		});
	}

	boolean writable() {
		return this.pendingWrites.bytes() == 0;
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
		this.pendingWrites.close();
		this.connection.terminateSilently();
	}

	void handleClose() {
		List<IncomingCall> interrupted = new ArrayList<>();
		synchronized (this) {
			if (this.current != null) {
				interrupted.add(this.current);
			}
			interrupted.addAll(this.pipelined);
			this.current = null;
			this.pipelined.clear();
		}
		this.pendingWrites.close();
		this.head.close();
		releaseContent();
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

	/**
	 * A message of the client, of which only the grammar matters.
	 */
	private static final class CheckedMessage implements MessageReader.Listener {

		@Override
		public void onHead(int status, Headers headers, boolean untilClose) {
			if (headers.count("Host") > 1) {
				throw MessageGrammar.malformed("the request names more than one host");
			}
		}

		@Override
		public void onContent(byte[] part) {
			// The codec passes the content on.
		}

	}

}
