package org.monsoonvalve.core.connection;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Exchanges MessagePack frames with peers over TCP. Each frame carries a correlation
 * number; an answer that arrives after its timeout is dropped, and the connection that
 * let a frame time out is closed, so that the next frame uses a new one.
 *
 * @author monsoonvalve maintainers
 */
public final class PeerTransport implements AutoCloseable {

	private static final int LENGTH_BYTES = 4;

	private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

	private final TCPNIOTransport transport;

	private final ScheduledExecutorService timer;

	private final Function<PeerFrame, CompletableFuture<PeerFrame>> receiver;

	private final ConcurrentMap<Address, CompletableFuture<Connection<?>>> connections = new ConcurrentHashMap<>();

	private final ConcurrentMap<Long, Pending> pending = new ConcurrentHashMap<>();

	private final AtomicLong correlation = new AtomicLong();

	private final Traffic traffic = Traffic.counter();

	private final LongAdder framesOut = new LongAdder();

	private PeerTransport(ScheduledExecutorService timer, Function<PeerFrame, CompletableFuture<PeerFrame>> receiver) {
		this.timer = timer;
		this.receiver = receiver;
		this.transport = TCPNIOTransportBuilder.newInstance()
			.setProcessor(FilterChainBuilder.stateless().add(new TransportFilter()).add(new FrameFilter()).build())
			.setTcpNoDelay(true)
			.setReuseAddress(true)
			.build();
		this.transport.getConnectionMonitoringConfig().addProbes(this.traffic);
	}

	/**
	 * Starts listening for peers.
	 * @param listen the address to listen on
	 * @param timer drives timeouts
	 * @param receiver answers frames
	 * @return the transport
	 */
	public static PeerTransport start(Address listen, ScheduledExecutorService timer,
			Function<PeerFrame, CompletableFuture<PeerFrame>> receiver) {
		PeerTransport peers = new PeerTransport(timer, receiver);
		try {
			peers.transport.bind(listen.toSocketAddress());
			peers.transport.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("can't listen on " + listen, ex);
		}
		return peers;
	}

	/**
	 * Sends a frame and waits for its answer.
	 * @param address the peer
	 * @param frame the frame
	 * @param timeoutMillis the longest wait, in milliseconds
	 * @return the answer, or a {@link ServingException}
	 */
	public CompletableFuture<PeerFrame> ask(Address address, PeerFrame frame, long timeoutMillis) {
		long number = this.correlation.incrementAndGet();
		CompletableFuture<PeerFrame> answer = new CompletableFuture<>();
		this.pending.put(number, new Pending(address, answer));
		this.timer.schedule(() -> expire(number), timeoutMillis, TimeUnit.MILLISECONDS);
		connection(address).whenComplete((connection, failure) -> {
			if (failure != null) {
				fail(number, failure.getMessage());
			}
			else {
				write(connection, new Envelope(number, false, frame));
			}
		});
		return answer;
	}

	/**
	 * Returns the counter of bytes.
	 * @return the traffic with peers
	 */
	public Traffic traffic() {
		return this.traffic;
	}

	/**
	 * Returns how many frames were sent.
	 * @return the frames since the start
	 */
	public long framesOut() {
		return this.framesOut.sum();
	}

	@Override
	public void close() {
		try {
			this.transport.shutdownNow();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private CompletableFuture<Connection<?>> connection(Address address) {
		return this.connections.compute(address, (key, opened) -> usable(opened) ? opened : open(key));
	}

	private static boolean usable(CompletableFuture<Connection<?>> opened) {
		return opened != null && !opened.isCompletedExceptionally() && (!opened.isDone() || opened.join().isOpen());
	}

	private CompletableFuture<Connection<?>> open(Address address) {
		CompletableFuture<Connection<?>> opened = new CompletableFuture<>();
		this.transport.connect(address.toSocketAddress(), new EmptyCompletionHandler<>() {

			@Override
			@SuppressWarnings("rawtypes")
			public void completed(Connection connection) {
				opened.complete(connection);
			}

			@Override
			public void failed(Throwable cause) {
				opened.completeExceptionally(cause);
			}
		});
		return opened;
	}

	private void expire(long number) {
		Pending late = this.pending.get(number);
		if (late == null) {
			return;
		}
		CompletableFuture<Connection<?>> opened = this.connections.remove(late.address());
		if (opened != null) {
			opened.thenAccept(Connection::closeSilently);
		}
		fail(number, "no answer in time");
	}

	private void fail(long number, String detail) {
		Pending failed = this.pending.remove(number);
		if (failed != null) {
			failed.answer()
				.completeExceptionally(new ServingException(FailureCode.UNREACHABLE,
						"peer " + failed.address() + " did not answer: " + detail));
		}
	}

	private void write(Connection<?> connection, Envelope envelope) {
		byte[] content = Codec.MESSAGE_PACK.encode(envelope);
		Buffer buffer = MemoryManager.DEFAULT_MEMORY_MANAGER.allocate(LENGTH_BYTES + content.length);
		buffer.putInt(content.length).put(content).flip();
		this.framesOut.increment();
		connection.write(buffer);
	}

	private void received(Connection<?> connection, Envelope envelope) {
		if (envelope.reply()) {
			Pending answered = this.pending.remove(envelope.number());
			if (answered != null) {
				answered.answer().complete(envelope.frame());
			}
			return;
		}
		this.receiver.apply(envelope.frame())
			.thenAccept((answer) -> write(connection, new Envelope(envelope.number(), true, answer)));
	}

	/**
	 * What travels: a frame with its correlation number.
	 *
	 * @param number the correlation number
	 * @param reply whether the frame answers another one
	 * @param frame the frame
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Envelope(long number, boolean reply, PeerFrame frame) {

	}

	private record Pending(Address address, CompletableFuture<PeerFrame> answer) {

	}

	private final class FrameFilter extends BaseFilter {

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
					return context.getStopAction(buffer);
				}
				byte[] content = new byte[length];
				buffer.getInt();
				buffer.get(content);
				received(context.getConnection(), Codec.MESSAGE_PACK.decode(content, Envelope.class));
			}
			return buffer.hasRemaining() ? context.getStopAction(buffer) : context.getStopAction();
		}

		@Override
		public void exceptionOccurred(FilterChainContext context, Throwable error) {
			context.getConnection().closeSilently();
		}

	}

}
