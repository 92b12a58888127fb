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
 * A transport filter that records whether a connection was reset, which the standard
 * filter does not distinguish from an orderly close.
 *
 * @author monsoonvalve maintainers
 */
final class ResetAwareTransportFilter extends TransportFilter {

	private static final Attribute<Boolean> RESET = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(ResetAwareTransportFilter.class.getName());

	/** Size of the read buffer; most requests and responses are smaller. */
	private static final int READ_BUFFER_BYTES = 16 * 1024;

	/**
	 * Tells whether a connection was reset.
	 * @param connection the connection
	 * @return {@code true} if reading from it failed
	 */
	static boolean wasReset(Connection<?> connection) {
		return Boolean.TRUE.equals(RESET.get(connection));
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
			// The standard filter hits the same error again and closes the connection.
			RESET.set(context.getConnection(), true);
			return super.handleRead(context);
		}
		if (length < 0) {
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
