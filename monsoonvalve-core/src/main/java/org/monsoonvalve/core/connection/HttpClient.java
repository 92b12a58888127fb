package org.monsoonvalve.core.connection;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * An HTTP/1.1 client whose callers hold their own connections or share a few idle ones
 * per address.
 *
 * @author monsoonvalve maintainers
 */
public final class HttpClient implements AutoCloseable {

	private static final int MAX_IDLE_PER_ADDRESS = 4;

	private static final ConcurrentLinkedDeque<HttpConnection> NO_IDLE_CONNECTIONS = new ConcurrentLinkedDeque<>();

	private final ConcurrentMap<Address, ConcurrentLinkedDeque<HttpConnection>> idleConnections = new ConcurrentHashMap<>();

	private final TCPNIOTransport transport;

	private final TCPNIOConnectorHandler connector;

	private final ScheduledExecutorService timer;

	private final long connectTimeoutMillis;

	private final TrafficCounter traffic;

	private HttpClient(TCPNIOTransport transport, TCPNIOConnectorHandler connector, ScheduledExecutorService timer,
			long connectTimeoutMillis, TrafficCounter traffic) {
		this.traffic = traffic;
		this.transport = transport;
		this.connector = connector;
		this.timer = timer;
		this.connectTimeoutMillis = connectTimeoutMillis;
	}

	/**
	 * Starts a client with its own threads.
	 * @param connectTimeoutMillis the connect timeout, in milliseconds
	 * @return the client
	 * @throws UncheckedIOException if the transport cannot start
	 */
	public static HttpClient start(long connectTimeoutMillis) {
		TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
			.setIOStrategy(SameThreadIOStrategy.getInstance())
			.setTcpNoDelay(true)
			.build();
		try {
			transport.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return of(transport, connectTimeoutMillis);
	}

	/**
	 * Starts a client that handles its connections on the thread of an event loop.
	 * @param loop the loop, which stops when the client is closed
	 * @param connectTimeoutMillis the connect timeout, in milliseconds
	 * @return the client
	 */
	public static HttpClient start(EventLoop loop, long connectTimeoutMillis) {
		return of(loop.transport(), connectTimeoutMillis);
	}

	private static HttpClient of(TCPNIOTransport transport, long connectTimeoutMillis) {
		ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, (task) -> {
			Thread thread = new Thread(task, "http-client-timer");
			thread.setDaemon(true);
			return thread;
		});
		timer.setRemoveOnCancelPolicy(true);
		TrafficCounter traffic = TrafficCounter.create();
		TCPNIOConnectorHandler connector = TCPNIOConnectorHandler.builder(transport)
			.processor(
					FilterChainBuilder.stateless().add(new EndAwareTransportFilter()).add(new ResponseFilter()).build())
			.probe(traffic)
			.build();
		return new HttpClient(transport, connector, timer, connectTimeoutMillis, traffic);
	}

	/**
	 * Opens a connection.
	 * @param address the address
	 * @return the connection, or a {@link ServingException} with
	 * {@link FailureCode#UNREACHABLE}; cancelling it ends the attempt
	 */
	@SuppressWarnings("rawtypes")
	public CompletableFuture<HttpConnection> connect(Address address) {
		CompletableFuture<HttpConnection> opened = new CompletableFuture<>();
		GrizzlyFuture<Connection> pending = this.connector.connect(address.toSocketAddress());
		pending.addCompletionHandler(new EmptyCompletionHandler<>() {

			@Override
			public void completed(Connection connection) {
				HttpConnection httpConnection = new HttpConnection(address, connection, HttpClient.this.timer);
				if (!opened.complete(httpConnection)) {
					httpConnection.close();
				}
			}

			@Override
			public void failed(Throwable cause) {
				opened.completeExceptionally(unreachable(address, cause.getMessage()));
			}

			@Override
			public void cancelled() {
				opened.completeExceptionally(unreachable(address, "cancelled"));
			}
		});
		Future<?> timeout = this.timer.schedule(
				() -> opened.completeExceptionally(unreachable(address, "connect timeout")), this.connectTimeoutMillis,
				TimeUnit.MILLISECONDS);
		opened.whenComplete((connection, failure) -> {
			timeout.cancel(false);
			// Closes the socket, which would wait for the peer for minutes.
			pending.cancel(false);
		});
		return opened;
	}

	/**
	 * Sends one request on a new connection and closes it afterwards.
	 * @param address the address
	 * @param request the request
	 * @param timeoutMillis the timeout of the exchange once connected, in milliseconds
	 * @param maxBodyBytes the maximum size of the response content, in bytes
	 * @return the response, or a {@link ServingException} as for {@link #connect} and
	 * {@link HttpConnection#exchange}
	 */
	public CompletableFuture<HttpResponse> exchangeOnNewConnection(Address address, HttpRequest request,
			long timeoutMillis, int maxBodyBytes) {
		return connect(address).thenCompose((connection) -> connection.exchange(request, timeoutMillis, maxBodyBytes)
			.whenComplete((response, failure) -> connection.close()));
	}

	/**
	 * Sends one request on an idle pooled connection, or on a new one, and returns the
	 * connection to the pool afterwards. A request is not retried if its connection
	 * closes without a response.
	 * @param address the address
	 * @param request the request
	 * @param timeoutMillis the timeout of the exchange once connected, in milliseconds
	 * @param maxBodyBytes the maximum size of the response content, in bytes
	 * @return the response, or a {@link ServingException} as for {@link #connect} and
	 * {@link HttpConnection#exchange}
	 */
	public CompletableFuture<HttpResponse> exchangePooled(Address address, HttpRequest request, long timeoutMillis,
			int maxBodyBytes) {
		HttpConnection idle = this.idleConnections.getOrDefault(address, NO_IDLE_CONNECTIONS).pollFirst();
		if (idle != null) {
			forget(idle);
		}
		if (idle == null || !idle.idle()) {
			return connect(address)
				.thenCompose((connection) -> exchangeAndPool(connection, request, timeoutMillis, maxBodyBytes));
		}
		return exchangeAndPool(idle, request, timeoutMillis, maxBodyBytes);
	}

	private CompletableFuture<HttpResponse> exchangeAndPool(HttpConnection connection, HttpRequest request,
			long timeoutMillis, int maxBodyBytes) {
		return connection.exchange(request, timeoutMillis, maxBodyBytes).whenComplete((response, failure) -> {
			if (failure != null) {
				connection.close();
				return;
			}
			if (!connection.reusable() || !pool(connection)) {
				connection.close();
			}
		});
	}

	private boolean pool(HttpConnection connection) {
		if (this.idleConnections.getOrDefault(connection.address(), NO_IDLE_CONNECTIONS)
			.size() >= MAX_IDLE_PER_ADDRESS) {
			return false;
		}
		connection.onClosed(() -> forget(connection));
		this.idleConnections.compute(connection.address(), (address, present) -> {
			ConcurrentLinkedDeque<HttpConnection> pool = (present != null) ? present : new ConcurrentLinkedDeque<>();
			pool.addFirst(connection);
			return pool;
		});
		// It may have been closed before it was in the pool.
		if (!connection.idle()) {
			forget(connection);
		}
		return true;
	}

	// Addresses come and go, and a closed connection keeps its buffers.
	private void forget(HttpConnection connection) {
		this.idleConnections.computeIfPresent(connection.address(), (address, pool) -> {
			pool.remove(connection);
			return pool.isEmpty() ? null : pool;
		});
	}

	/**
	 * Returns the number of addresses to which connections are pooled.
	 * @return the number of addresses
	 */
	int pooledAddresses() {
		return this.idleConnections.size();
	}

	/**
	 * Returns the byte counter.
	 * @return the counter of all connections of this client
	 */
	public TrafficCounter traffic() {
		return this.traffic;
	}

	/**
	 * Returns the executor that schedules timeouts.
	 * @return the executor
	 */
	public ScheduledExecutorService timer() {
		return this.timer;
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		try {
			this.transport.shutdownNow();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static ServingException unreachable(Address address, String detail) {
		return new ServingException(FailureCode.UNREACHABLE, "cannot connect to " + address + ": " + detail);
	}

	private static final class ResponseFilter extends BaseFilter {

		@Override
		public NextAction handleRead(FilterChainContext context) {
			Buffer bytes = context.getMessage();
			HttpConnection connection = HttpConnection.of(context.getConnection());
			if (connection != null) {
				connection.handleBytes(bytes.toByteBuffer());
			}
			bytes.tryDispose();
			return context.getStopAction();
		}

		@Override
		public NextAction handleClose(FilterChainContext context) {
			HttpConnection connection = HttpConnection.of(context.getConnection());
			if (connection != null) {
				connection.handleClose();
			}
			return context.getInvokeAction();
		}

		@Override
		public void exceptionOccurred(FilterChainContext context, Throwable error) {
			context.getConnection().closeSilently();
		}

	}

}
