package org.monsoonvalve.core.connection;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Function;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.monsoonvalve.core.request.ServingException;

/**
 * An HTTP server that passes complete requests to a handler. The handler may respond from
 * any thread and can be notified when the client disconnects.
 *
 * @author monsoonvalve maintainers
 */
public final class HttpServer {

	private static final long SHUTDOWN_POLL_NANOS = 5_000_000L;

	/** Connections that may wait to be accepted; absorbs one second of a burst. */
	private static final int ACCEPT_BACKLOG = 1024;

	private final TCPNIOTransport transport;

	private final boolean ownsTransport;

	private final TCPNIOServerConnection listener;

	private final Set<ServerConnection> connections;

	private final ServerMemory memory;

	private final AtomicBoolean draining;

	private HttpServer(TCPNIOTransport transport, boolean ownsTransport, TCPNIOServerConnection listener,
			Set<ServerConnection> connections, ServerMemory memory, AtomicBoolean draining) {
		this.memory = memory;
		this.transport = transport;
		this.ownsTransport = ownsTransport;
		this.listener = listener;
		this.connections = connections;
		this.draining = draining;
	}

	/**
	 * Starts a server with its own threads.
	 * @param address the address to listen on
	 * @param limits the size limits
	 * @param handler the request handler
	 * @return the server
	 * @throws UncheckedIOException if the server cannot listen on the address
	 */
	public static HttpServer start(Address address, HttpLimits limits, Consumer<IncomingCall> handler) {
		TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
			.setTcpNoDelay(true)
			.setReuseAddress(true)
			.build();
		try {
			transport.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return listen(transport, true, address, limits, handler);
	}

	/**
	 * Starts a server on the thread of an event loop. A request whose client has
	 * disconnected by the time that it is read is not passed to the handler.
	 * @param loop the loop, which keeps running when the server is closed
	 * @param address the address to listen on
	 * @param limits the size limits
	 * @param handler the request handler, called on the loop's thread
	 * @return the server
	 * @throws UncheckedIOException if the server cannot listen on the address
	 */
	public static HttpServer start(EventLoop loop, Address address, HttpLimits limits, Consumer<IncomingCall> handler) {
		return listen(loop.transport(), false, address, limits, (call) -> loop.runAfterNextRead(() -> {
			if (!call.answered()) {
				handleOrRefuse(handler, call);
			}
		}));
	}

	/**
	 * Passes a request to a handler and refuses it if the handler throws.
	 * @param handler the handler
	 * @param call the request
	 */
	static void handleOrRefuse(Consumer<IncomingCall> handler, IncomingCall call) {
		try {
			handler.accept(call);
		}
		catch (RuntimeException ex) {
			call.refuse(ServingException.from(ex));
		}
	}

	private static HttpServer listen(TCPNIOTransport transport, boolean ownsTransport, Address address,
			HttpLimits limits, Consumer<IncomingCall> handler) {
		AtomicBoolean draining = new AtomicBoolean();
		Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
		ServerMemory memory = new ServerMemory(limits, connections);
		HttpServerFilter codec = new CallCodec(limits);
		codec.setAllowPayloadForUndefinedHttpMethods(true);
		FilterChain chain = FilterChainBuilder.stateless()
			.add(new TransportFilter())
			.add(new RequestGuard())
			.add(codec)
			.add(new CallFilter(connections,
					(connection) -> new ServerConnection(connection, limits, memory, draining::get, handler)))
			.build();
		try {
			TCPNIOServerConnection listener = TCPNIOBindingHandler.builder(transport)
				.processor(chain)
				.build()
				.bind(address.toSocketAddress(), ACCEPT_BACKLOG);
			return new HttpServer(transport, ownsTransport, listener, connections, memory, draining);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot listen on " + address, ex);
		}
	}

	/**
	 * Returns the address that the server listens on.
	 * @return the address, with the port that the system chose if none was given
	 */
	public Address address() {
		InetSocketAddress local = (InetSocketAddress) this.listener.getLocalAddress();
		return new Address(local.getAddress().getHostAddress(), local.getPort());
	}

	/**
	 * Starts draining: every later response asks the client to close its connection.
	 */
	public void drain() {
		this.draining.set(true);
	}

	/**
	 * Closes connections that have no request in progress and received no data for some
	 * time.
	 * @param idleTimeoutMillis the longest time between requests, in milliseconds
	 * @param requestTimeoutMillis the longest time without data while the content of a
	 * request is incomplete, in milliseconds
	 */
	public void closeIdle(long idleTimeoutMillis, long requestTimeoutMillis) {
		this.connections.forEach((connection) -> connection.closeIfIdle(idleTimeoutMillis, requestTimeoutMillis));
	}

	/**
	 * Counts the requests that were received and not yet answered.
	 * @return the number of requests in progress
	 */
	public int callsInProgress() {
		return this.connections.stream().mapToInt(ServerConnection::callsInProgress).sum();
	}

	/**
	 * Returns the memory that the requests in progress take.
	 * @return the number of bytes
	 */
	public long requestBytes() {
		return this.memory.requests().reservedBytes();
	}

	/**
	 * Returns the memory of responses that clients have not read yet.
	 * @return the number of bytes
	 */
	public long unreadResponseBytes() {
		return this.memory.responses().reservedBytes();
	}

	/**
	 * Stops accepting connections, waits for requests in progress and closes the server.
	 * @param graceMillis the maximum wait, in milliseconds
	 */
	public void shutdown(long graceMillis) {
		drain();
		this.transport.unbind(this.listener);
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(graceMillis);
		while (callsInProgress() > 0 && System.nanoTime() < end) {
			LockSupport.parkNanos(SHUTDOWN_POLL_NANOS);
		}
		close();
	}

	/**
	 * Closes the server immediately and aborts requests in progress.
	 */
	public void close() {
		this.transport.unbind(this.listener);
		this.connections.forEach(ServerConnection::close);
		if (this.ownsTransport) {
			try {
				this.transport.shutdownNow();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}
	}

	private static final class CallCodec extends HttpServerFilter {

		// All constructors are deprecated without a replacement.
		@SuppressWarnings("deprecation")
		private CallCodec(HttpLimits limits) {
			super(true, limits.headerBytes(), null, new KeepAlive(), null, MessageReader.MAX_FIELDS,
					MessageReader.MAX_FIELDS);
			setPreserveHeaderCase(true);
		}

	}

	private static final class CallFilter extends BaseFilter {

		private final Set<ServerConnection> connections;

		private final Function<Connection<?>, ServerConnection> factory;

		private CallFilter(Set<ServerConnection> connections, Function<Connection<?>, ServerConnection> factory) {
			this.connections = connections;
			this.factory = factory;
		}

		@Override
		public NextAction handleAccept(FilterChainContext context) {
			ServerConnection connection = this.factory.apply(context.getConnection());
			this.connections.add(connection);
			return context.getInvokeAction();
		}

		@Override
		public NextAction handleRead(FilterChainContext context) {
			HttpContent content = context.getMessage();
			ServerConnection.of(context.getConnection()).handleContent(content);
			content.recycle();
			return context.getStopAction();
		}

		@Override
		public NextAction handleClose(FilterChainContext context) {
			ServerConnection connection = ServerConnection.of(context.getConnection());
			if (connection != null) {
				this.connections.remove(connection);
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
