package org.monsoonvalve.core.connection;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * A client connection with at most one request in flight. A connection whose request
 * failed or timed out is closed and never reused, so that a late response is never taken
 * for the response to another request.
 *
 * @author monsoonvalve maintainers
 */
public final class HttpConnection {

	private static final Attribute<HttpConnection> ATTRIBUTE = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(HttpConnection.class.getName());

	/** Largest header section of a response. */
	private static final int MAX_HEAD_BYTES = 16 * 1024;

	/** Fields of a request that follow from its content and are not passed on. */
	private static final Set<String> FRAMING_FIELDS = Set.of("host", "content-length", "transfer-encoding");

	private final Address address;

	private final Connection<?> connection;

	private final ScheduledExecutorService timer;

	private final AtomicReference<Exchange> inFlight = new AtomicReference<>();

	private volatile boolean reusable = true;

	private volatile long keepAliveMillis;

	private volatile Runnable onClosed = () -> {
	};

	HttpConnection(Address address, Connection<?> connection, ScheduledExecutorService timer) {
		this.address = address;
		this.connection = connection;
		this.timer = timer;
		ATTRIBUTE.set(connection, this);
	}

	/**
	 * Finds the client connection that uses a transport connection.
	 * @param connection the transport connection
	 * @return the client connection, {@code null} if there is none yet
	 */
	static HttpConnection of(Connection<?> connection) {
		return ATTRIBUTE.get(connection);
	}

	/**
	 * Returns the peer's address.
	 * @return the address
	 */
	public Address address() {
		return this.address;
	}

	/**
	 * Tells whether the connection can send a request now.
	 * @return {@code true} if it is open and no request is in flight
	 */
	public boolean idle() {
		return this.connection.isOpen() && this.inFlight.get() == null;
	}

	/**
	 * Sends a request and passes the response to a listener as it arrives.
	 * @param request the request
	 * @param progressTimeoutMillis the time without received data, in milliseconds, after
	 * which the request fails with {@link FailureCode#TIMEOUT}
	 * @param listener the listener for the response
	 * @throws ServingException with {@link FailureCode#UNREACHABLE} if the connection is
	 * closed or busy, in which case no byte of the request was sent
	 */
	public void send(HttpRequest request, long progressTimeoutMillis, ResponseListener listener) {
		start(request, progressTimeoutMillis, listener);
	}

	/**
	 * Sends a request and collects the complete response.
	 * @param request the request
	 * @param timeoutMillis the timeout of the whole exchange, in milliseconds
	 * @param maxBodyBytes the maximum size of the response content, in bytes
	 * @return the response, or a {@link ServingException} with
	 * {@link FailureCode#UNREACHABLE} if the connection is closed or busy,
	 * {@link FailureCode#TIMEOUT}, {@link FailureCode#ENDPOINT_LOST} if the connection
	 * closes during the exchange, or {@link FailureCode#ANSWER_TOO_LARGE}
	 */
	public CompletableFuture<HttpResponse> exchange(HttpRequest request, long timeoutMillis, int maxBodyBytes) {
		ResponseCollector collector = ResponseCollector.of(maxBodyBytes);
		try {
			Exchange exchange = start(request, timeoutMillis, collector);
			ScheduledFuture<?> deadline = this.timer.schedule(() -> fail(exchange, deadlineExceeded(timeoutMillis)),
					timeoutMillis, TimeUnit.MILLISECONDS);
			collector.response().whenComplete((response, failure) -> {
				deadline.cancel(false);
				if (failure != null) {
					close();
				}
			});
		}
		catch (ServingException ex) {
			collector.onFailure(ex);
		}
		return collector.response();
	}

	private Exchange start(HttpRequest request, long progressTimeoutMillis, ResponseListener listener) {
		Exchange exchange = new Exchange("HEAD".equals(request.method()), listener, progressTimeoutMillis);
		if (!this.connection.isOpen() || !this.inFlight.compareAndSet(null, exchange)) {
			throw new ServingException(FailureCode.UNREACHABLE,
					"the connection to " + this.address + " is closed or busy");
		}
		exchange.scheduleProgressCheck(progressTimeoutMillis);
		write(this.connection, encode(request), exchange);
		if (!this.connection.isOpen()) {
			handleClose();
		}
		return exchange;
	}

	private ServingException deadlineExceeded(long timeoutMillis) {
		return new ServingException(FailureCode.TIMEOUT,
				"no complete response from " + this.address + " within " + timeoutMillis + " ms");
	}

	/**
	 * Closes the connection, also if the peer has not read all of a request. A request in
	 * flight fails with {@link FailureCode#ENDPOINT_LOST}.
	 */
	public void close() {
		this.connection.terminateSilently();
		handleClose();
	}

	/**
	 * Tells whether the connection can be reused for another request.
	 * @return {@code false} if the connection is not idle, or if the last response asked
	 * to close it, was close-delimited or arrived before the request was fully written
	 */
	public boolean reusable() {
		return this.reusable && idle();
	}

	/**
	 * Returns how long the peer keeps the connection open while it is idle.
	 * @return the time in milliseconds that the last response stated, 0 if none
	 */
	public long keepAliveMillis() {
		return this.keepAliveMillis;
	}

	/**
	 * Sets the action to run when the connection has been closed.
	 * @param action the action, which may run more than once
	 */
	void onClosed(Runnable action) {
		this.onClosed = action;
	}

	void handleClose() {
		this.onClosed.run();
		Exchange exchange = this.inFlight.get();
		if (exchange != null && exchange.completedByPeer()) {
			exchange.complete();
			return;
		}
		fail(exchange,
				new ServingException(FailureCode.ENDPOINT_LOST, "the connection to " + this.address + " was closed"));
	}

	/**
	 * Tells whether a close-delimited response is arriving whose request is still being
	 * written.
	 * @return {@code true} if so
	 */
	boolean awaitsRequestWrite() {
		Exchange exchange = this.inFlight.get();
		return exchange != null && exchange.closeDelimited && !exchange.requestWrite.isDone();
	}

	/**
	 * Runs an action once the request in flight has been written; never if that fails.
	 * @param action the action
	 */
	void onRequestWritten(Runnable action) {
		Exchange exchange = this.inFlight.get();
		if (exchange != null) {
			exchange.requestWrite.thenRun(action);
		}
	}

	private static <L> void write(Connection<L> connection, Buffer message, Exchange exchange) {
		connection.write(message, new EmptyCompletionHandler<WriteResult<Buffer, L>>() {

			@Override
			public void completed(WriteResult<Buffer, L> result) {
				exchange.requestWrite.complete(null);
			}

			@Override
			public void failed(Throwable cause) {
				exchange.writeFailed = true;
			}

		});
	}

	/**
	 * Handles bytes that arrived. Those that follow a complete response belong to no
	 * request, and end the connection.
	 * @param bytes the bytes
	 */
	void handleBytes(ByteBuffer bytes) {
		Exchange exchange = this.inFlight.get();
		if (exchange == null) {
			this.connection.terminateSilently();
			return;
		}
		exchange.recordProgress();
		try {
			exchange.handleBytes(bytes);
		}
		catch (ServingException ex) {
			fail(exchange, new ServingException(FailureCode.ENDPOINT_LOST,
					"the response from " + this.address + " is malformed: " + ex.getMessage()));
		}
	}

	private void fail(Exchange exchange, ServingException failure) {
		if (exchange != null && this.inFlight.compareAndSet(exchange, null)) {
			this.connection.terminateSilently();
			exchange.cancelProgressCheck();
			exchange.listener.onFailure(failure);
		}
	}

	private Buffer encode(HttpRequest request) {
		StringBuilder head = new StringBuilder(request.method()).append(' ')
			.append(request.target())
			.append(" HTTP/1.1\r\n");
		append(head, "Host", request.headers().get("Host").orElseGet(this.address::toString));
		request.headers()
			.fields()
			.stream()
			.filter((field) -> !FRAMING_FIELDS.contains(field.name().toLowerCase(Locale.ROOT)))
			.forEach((field) -> append(head, field.name(), field.value()));
		append(head, "Content-Length", String.valueOf(request.body().length));
		byte[] bytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
		Buffer buffer = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes);
		return (request.body().length == 0) ? buffer : Buffers.appendBuffers(MemoryManager.DEFAULT_MEMORY_MANAGER,
				buffer, Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, request.body()));
	}

	private static void append(StringBuilder head, String name, String value) {
		MessageGrammar.requireFieldValue(value);
		head.append(name).append(": ").append(value).append("\r\n");
	}

	private final class Exchange implements MessageReader.Listener {

		private final boolean head;

		private final MessageReader reader = MessageReader.ofResponse(MAX_HEAD_BYTES, this);

		private final ResponseListener listener;

		private final long progressTimeoutMillis;

		private volatile long lastProgressNanos = System.nanoTime();

		private volatile ScheduledFuture<?> progressCheck;

		private boolean headersReceived;

		private final CompletableFuture<Void> requestWrite = new CompletableFuture<>();

		private volatile boolean writeFailed;

		private volatile boolean closeDelimited;

		private Exchange(boolean head, ResponseListener listener, long progressTimeoutMillis) {
			this.head = head;
			this.listener = listener;
			this.progressTimeoutMillis = progressTimeoutMillis;
		}

		private void recordProgress() {
			this.lastProgressNanos = System.nanoTime();
		}

		private void scheduleProgressCheck(long millis) {
			this.progressCheck = HttpConnection.this.timer.schedule(this::checkProgress, millis, TimeUnit.MILLISECONDS);
			// The exchange may have ended meanwhile, on another thread.
			if (HttpConnection.this.inFlight.get() != this) {
				cancelProgressCheck();
			}
		}

		private void cancelProgressCheck() {
			ScheduledFuture<?> pending = this.progressCheck;
			if (pending != null) {
				pending.cancel(false);
			}
		}

		/**
		 * Fails the exchange if no data arrived within the progress timeout, and
		 * otherwise checks again later. Received data only updates a timestamp and costs
		 * no timer.
		 */
		private void checkProgress() {
			if (HttpConnection.this.inFlight.get() != this) {
				return;
			}
			long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.lastProgressNanos);
			if (elapsedMillis < this.progressTimeoutMillis) {
				scheduleProgressCheck(this.progressTimeoutMillis - elapsedMillis);
				return;
			}
			fail(this, new ServingException(FailureCode.TIMEOUT,
					"no data from " + HttpConnection.this.address + " for " + this.progressTimeoutMillis + " ms"));
		}

		private void handleBytes(ByteBuffer bytes) {
			if (this.reader.read(bytes)) {
				if (bytes.hasRemaining()) {
					HttpConnection.this.reusable = false;
				}
				complete();
			}
		}

		@Override
		public boolean mayHaveContent() {
			return !this.head;
		}

		@Override
		public void onHead(int status, Headers headers, boolean untilClose) {
			this.headersReceived = true;
			this.closeDelimited = untilClose;
			HttpConnection.this.keepAliveMillis = headers.keepAliveMillis();
			if (untilClose || headers.closesConnection()) {
				HttpConnection.this.reusable = false;
			}
			this.listener.onHeaders(status, headers);
		}

		@Override
		public void onContent(byte[] part) {
			this.listener.onBody(part);
		}

		// Any other end, also one that a failed write or this side brought about, leaves
		// a close-delimited response incomplete. A failed write consumes the error of a
		// reset, after which reading returns an end.
		private boolean completedByPeer() {
			return this.headersReceived && this.closeDelimited && !this.writeFailed
					&& EndAwareTransportFilter.endedByPeer(HttpConnection.this.connection);
		}

		private void complete() {
			if (!this.requestWrite.isDone()) {
				HttpConnection.this.reusable = false;
			}
			if (HttpConnection.this.inFlight.compareAndSet(this, null)) {
				cancelProgressCheck();
				this.listener.onComplete();
			}
		}

	}

}
