package org.monsoonvalve.core.connection;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * A transport filter that records whether the peer ended a connection in an orderly way,
 * which the standard filter does not distinguish from a reset, or from a connection that
 * was closed on this side, for example after a failed write. A peer that closes with
 * unread data may end the connection and then reset it, which only a write shows; so
 * while a request is being written, the end of a close-delimited response counts once the
 * request has been written.
 *
 * @author monsoonvalve maintainers
 */
final class EndAwareTransportFilter extends TransportFilter {

	private static final Attribute<Boolean> ENDED_BY_PEER = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(EndAwareTransportFilter.class.getName());

	/** Size of the read buffer; most requests and responses are smaller. */
	private static final int READ_BUFFER_BYTES = 16 * 1024;

	/**
	 * Tells whether the peer ended a connection in an orderly way.
	 * @param connection the connection
	 * @return {@code true} if the end of the peer's data was read
	 */
	static boolean endedByPeer(Connection<?> connection) {
		return Boolean.TRUE.equals(ENDED_BY_PEER.get(connection));
	}

	@Override
	public NextAction handleRead(FilterChainContext context) throws IOException {
		SocketChannel channel = (SocketChannel) ((NIOConnection) context.getConnection()).getChannel();
		ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
		int length;
		try {
			length = channel.read(buffer);
		}
		catch (IOException ex) {
			// After a reset the standard filter reads an end, and closes the connection.
			return super.handleRead(context);
		}
		if (length < 0) {
			HttpConnection connection = HttpConnection.of(context.getConnection());
			if (connection != null && connection.awaitsRequestWrite()) {
				context.suspend();
				connection.onRequestWritten(context::resume);
				return context.getSuspendAction();
			}
			ENDED_BY_PEER.set(context.getConnection(), true);
			return super.handleRead(context);
		}
		if (length == 0) {
			return context.getStopAction();
		}
		Buffer message = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, buffer.flip());
		context.setMessage(message);
		return context.getInvokeAction();
	}

}
