package org.monsoonvalve.core.connection;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Exchanges MessagePack frames with peers over TCP and matches replies to requests by
 * correlation number. A reply that arrives after its timeout is dropped, and the
 * connection on which a request timed out is closed, so that the next request opens a new
 * one. What peers leave incomplete or unread takes a limited part of the heap; beyond it,
 * the connections that take the most are closed.
 *
 * @author monsoonvalve maintainers
 */
public final class PeerTransport implements AutoCloseable {

	private static final int LENGTH_BYTES = 4;

	private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

	/** Part of the largest heap that either direction may take. */
	private static final int HEAP_DIVISOR = 12;

	private final ConcurrentMap<Connection<?>, PeerMemory> memories = new ConcurrentHashMap<>();

	private final MemoryBudget incompleteFrames = MemoryBudget.ofHeap(HEAP_DIVISOR);

	private final MemoryBudget unreadFrames = MemoryBudget.ofHeap(HEAP_DIVISOR);

	private final TCPNIOTransport transport;

	private final boolean ownsTransport;

	private final FilterChain chain = FilterChainBuilder.stateless()
		.add(new TransportFilter())
		.add(new FrameFilter())
		.build();

	private final TCPNIOConnectorHandler connector;

	private final ScheduledExecutorService timer;

	private final Function<PeerFrame, CompletableFuture<PeerFrame>> handler;

	private final ConcurrentMap<Address, CompletableFuture<Connection<?>>> connections = new ConcurrentHashMap<>();

	private final ConcurrentMap<Long, PendingRequest> pendingRequests = new ConcurrentHashMap<>();

	private final AtomicLong lastCorrelationNumber = new AtomicLong();

	private final TrafficCounter traffic = TrafficCounter.create();

	private final LongAdder framesOut = new LongAdder();

	private TCPNIOServerConnection listener;

	private PeerTransport(TCPNIOTransport transport, boolean ownsTransport, ScheduledExecutorService timer,
			Function<PeerFrame, CompletableFuture<PeerFrame>> handler) {
		this.transport = transport;
		this.ownsTransport = ownsTransport;
		this.timer = timer;
		this.handler = handler;
		this.connector = TCPNIOConnectorHandler.builder(transport).processor(this.chain).probe(this.traffic).build();
	}

	/**
	 * Starts listening for peers, with threads of its own.
	 * @param listen the address to listen on
	 * @param timer the executor that schedules timeouts
	 * @param handler the function that replies to received frames
	 * @return the transport
	 * @throws UncheckedIOException if the transport cannot listen on the address
	 */
	public static PeerTransport start(Address listen, ScheduledExecutorService timer,
			Function<PeerFrame, CompletableFuture<PeerFrame>> handler) {
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
		return new PeerTransport(transport, true, timer, handler).listen(listen);
	}

	/**
	 * Starts listening for peers on the thread of an event loop.
	 * @param loop the loop, which keeps running when the transport is closed
	 * @param listen the address to listen on
	 * @param timer the executor that schedules timeouts
	 * @param handler the function that replies to received frames, which must not block
	 * @return the transport
	 * @throws UncheckedIOException if the transport cannot listen on the address
	 */
	public static PeerTransport start(EventLoop loop, Address listen, ScheduledExecutorService timer,
			Function<PeerFrame, CompletableFuture<PeerFrame>> handler) {
		return new PeerTransport(loop.transport(), false, timer, handler).listen(listen);
	}

	private PeerTransport listen(Address address) {
		try {
			this.listener = TCPNIOBindingHandler.builder(this.transport)
				.processor(this.chain)
				.build()
				.bind(address.toSocketAddress());
			return this;
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot listen on " + address, ex);
		}
	}

	/**
	 * Sends a request frame and returns its reply.
	 * @param address the address of the peer
	 * @param frame the frame
	 * @param timeoutMillis the timeout, in milliseconds
	 * @return the reply, or a {@link ServingException} with
	 * {@link FailureCode#UNREACHABLE} if the connection fails or no reply arrives in time
	 */
	public CompletableFuture<PeerFrame> ask(Address address, PeerFrame frame, long timeoutMillis) {
		long number = this.lastCorrelationNumber.incrementAndGet();
		CompletableFuture<PeerFrame> reply = new CompletableFuture<>();
		PendingRequest request = new PendingRequest(address, reply);
		this.pendingRequests.put(number, request);
		Future<?> timeout = this.timer.schedule(() -> handleTimeout(number), timeoutMillis, TimeUnit.MILLISECONDS);
		reply.whenComplete((answer, failure) -> timeout.cancel(false));
		CompletableFuture<Connection<?>> opened = connectionTo(address);
		opened.whenComplete((connection, failure) -> {
			if (failure != null) {
				this.connections.remove(address, opened);
				fail(number, failure.getMessage());
				return;
			}
			request.connection = connection;
			write(connection, new Envelope(number, false, frame));
			if (!connection.isOpen()) {
				forget(connection);
				failRequestsOn(connection);
			}
		});
		return reply;
	}

	/**
	 * Returns the byte counter.
	 * @return the counter of all connections with peers
	 */
	public TrafficCounter traffic() {
		return this.traffic;
	}

	/**
	 * Returns the number of frames sent.
	 * @return the number of frames since the start
	 */
	public long framesOut() {
		return this.framesOut.sum();
	}

	@Override
	public void close() {
		this.transport.unbind(this.listener);
		this.connections.values().forEach((opened) -> opened.thenAccept(Connection::closeSilently));
		if (this.ownsTransport) {
			try {
				this.transport.shutdownNow();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}
	}

	private CompletableFuture<Connection<?>> connectionTo(Address address) {
		return this.connections.compute(address, (key, opened) -> isUsable(opened) ? opened : connect(key));
	}

	private static boolean isUsable(CompletableFuture<Connection<?>> opened) {
		return opened != null && !opened.isCompletedExceptionally() && (!opened.isDone() || opened.join().isOpen());
	}

	@SuppressWarnings("rawtypes")
	private CompletableFuture<Connection<?>> connect(Address address) {
		CompletableFuture<Connection<?>> opened = new CompletableFuture<>();
		GrizzlyFuture<Connection> pending = this.connector.connect(address.toSocketAddress());
		pending.addCompletionHandler(new EmptyCompletionHandler<>() {

			@Override
			public void completed(Connection connection) {
				if (!opened.complete(connection)) {
					connection.terminateSilently();
				}
			}

			@Override
			public void cancelled() {
				opened.completeExceptionally(new IOException("cancelled"));
			}

			@Override
			public void failed(Throwable cause) {
				opened.completeExceptionally(cause);
			}
		});
		// Closes the socket, which would wait for the peer for minutes.
		opened.whenComplete((connection, failure) -> pending.cancel(false));
		return opened;
	}

	private void handleTimeout(long number) {
		PendingRequest request = this.pendingRequests.get(number);
		if (request == null) {
			return;
		}
		CompletableFuture<Connection<?>> opened = this.connections.remove(request.address);
		if (opened != null) {
			// Ends a connect that is pending.
			opened.completeExceptionally(new IOException("connect timeout"));
			if (!opened.isCompletedExceptionally()) {
				opened.join().terminateSilently();
			}
		}
		fail(number, "timed out");
	}

	private void fail(long number, String detail) {
		PendingRequest request = this.pendingRequests.remove(number);
		if (request != null) {
			request.answer.completeExceptionally(new ServingException(FailureCode.UNREACHABLE,
					"peer " + request.address + " did not reply: " + detail));
		}
	}

	// Peers come and go, and a closed connection keeps its buffers.
	private void forget(Connection<?> closed) {
		this.connections.values()
			.removeIf((opened) -> !opened.isCompletedExceptionally() && opened.getNow(null) == closed);
	}

	/**
	 * Returns the number of peers to which a connection is open or being opened.
	 * @return the number of peers
	 */
	int connectedPeers() {
		return this.connections.size();
	}

	private void failRequestsOn(Connection<?> closed) {
		this.pendingRequests.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().connection == closed)
			.map(Map.Entry::getKey)
			.toList()
			.forEach((number) -> fail(number, "the connection was closed"));
	}

	private void write(Connection<?> connection, Envelope envelope) {
		byte[] content = Codec.MESSAGE_PACK.encode(envelope);
		Buffer buffer = MemoryManager.DEFAULT_MEMORY_MANAGER.allocate(LENGTH_BYTES + content.length);
		buffer.putInt(content.length).put(content).flip();
		int bytes = buffer.remaining();
		MemoryBudget.Reservation unread = memoryOf(connection).unread();
		if (!reserve(connection, unread, unread.bytes() + bytes, PeerMemory::unread)) {
			return;
		}
		this.framesOut.increment();
		write(connection, buffer, () -> unread.add(-bytes));
	}

	// Closes the connections that take the most memory until there is enough.
	private boolean reserve(Connection<?> connection, MemoryBudget.Reservation reservation, long bytes,
			Function<PeerMemory, MemoryBudget.Reservation> direction) {
		while (!reservation.resize(bytes)) {
			// The reservation of a closed connection has ended.
			if (!connection.isOpen()) {
				return false;
			}
			Connection<?> largest = this.memories.entrySet()
				.stream()
				.max(Comparator.comparingLong((entry) -> direction.apply(entry.getValue()).bytes()))
				.map(Map.Entry::getKey)
				.orElse(connection);
			// Closing in an orderly way would wait until the peer has read everything.
			largest.terminateSilently();
			release(largest);
			if (largest == connection) {
				return false;
			}
		}
		return true;
	}

	private void release(Connection<?> connection) {
		Optional.ofNullable(this.memories.remove(connection)).ifPresent(PeerMemory::release);
	}

	private static <L> void write(Connection<L> connection, Buffer buffer, Runnable onWritten) {
		connection.write(buffer, new EmptyCompletionHandler<WriteResult<Buffer, L>>() {

			@Override
			public void completed(WriteResult<Buffer, L> result) {
				onWritten.run();
			}

		});
	}

	private PeerMemory memoryOf(Connection<?> connection) {
		PeerMemory memory = this.memories.computeIfAbsent(connection,
				(absent) -> new PeerMemory(this.incompleteFrames.reservation(), this.unreadFrames.reservation()));
		if (!connection.isOpen()) {
			release(connection);
		}
		return memory;
	}

	private void handleEnvelope(Connection<?> connection, Envelope envelope) {
		if (envelope.reply()) {
			PendingRequest request = this.pendingRequests.remove(envelope.number());
			if (request != null) {
				request.answer.complete(envelope.frame());
			}
			return;
		}
		this.handler.apply(envelope.frame())
			.thenAccept((reply) -> write(connection, new Envelope(envelope.number(), true, reply)));
	}

	/**
	 * The unit of transmission: a frame with its correlation number.
	 *
	 * @param number the correlation number
	 * @param reply whether the frame is a reply
	 * @param frame the frame
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Envelope(long number, boolean reply, PeerFrame frame) {

	}

	/**
	 * A request without a reply, and the connection that it was sent on.
	 */
	private static final class PendingRequest {

		private final Address address;

		private final CompletableFuture<PeerFrame> answer;

		private volatile Connection<?> connection;

		private PendingRequest(Address address, CompletableFuture<PeerFrame> answer) {
			this.address = address;
			this.answer = answer;
		}

	}

	/**
	 * The memory that a connection takes.
	 *
	 * @param incomplete the bytes of a frame that has not arrived entirely
	 * @param unread the frames that the peer has not read yet
	 */
	private record PeerMemory(MemoryBudget.Reservation incomplete, MemoryBudget.Reservation unread) {

		private void release() {
			this.incomplete.close();
			this.unread.close();
		}

	}

	private final class FrameFilter extends BaseFilter {

		@Override
		@SuppressWarnings("unchecked")
		public NextAction handleAccept(FilterChainContext context) {
			context.getConnection().getMonitoringConfig().addProbes(PeerTransport.this.traffic);
			return context.getInvokeAction();
		}

		@Override
		public NextAction handleRead(FilterChainContext context) {
			Buffer buffer = context.getMessage();
			while (buffer.remaining() >= LENGTH_BYTES) {
				int length = buffer.getInt(buffer.position());
				if (length < 0 || length > MAX_FRAME_BYTES) {
					context.getConnection().closeSilently();
					return context.getStopAction();
				}
				if (buffer.remaining() < LENGTH_BYTES + length) {
					return awaitRest(context, buffer);
				}
				byte[] content = new byte[length];
				buffer.getInt();
				buffer.get(content);
				handleEnvelope(context.getConnection(), Codec.MESSAGE_PACK.decode(content, Envelope.class));
			}
			return awaitRest(context, buffer);
		}

		private NextAction awaitRest(FilterChainContext context, Buffer buffer) {
			Connection<?> connection = context.getConnection();
			if (!reserve(connection, memoryOf(connection).incomplete(), buffer.remaining(), PeerMemory::incomplete)) {
				return context.getStopAction();
			}
			return buffer.hasRemaining() ? context.getStopAction(buffer) : context.getStopAction();
		}

		@Override
		public NextAction handleClose(FilterChainContext context) {
			release(context.getConnection());
			forget(context.getConnection());
			failRequestsOn(context.getConnection());
			return context.getInvokeAction();
		}

		@Override
		public void exceptionOccurred(FilterChainContext context, Throwable error) {
			context.getConnection().closeSilently();
		}

	}

}
