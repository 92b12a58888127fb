package org.monsoonvalve.core.connection;

import java.nio.ByteBuffer;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Checks the bytes of clients by the grammar of HTTP before the codec parses them. The
 * codec accepts some requests that a caller's proxy, or an endpoint, frames differently.
 *
 * @author monsoonvalve maintainers
 */
final class RequestGuard extends BaseFilter {

	@Override
	public NextAction handleRead(FilterChainContext context) {
		ServerConnection connection = ServerConnection.of(context.getConnection());
		Buffer message = context.getMessage();
		ByteBuffer bytes = message.toByteBuffer().slice();
		if (connection.discards()) {
			connection.discard(bytes);
			return context.getStopAction();
		}
		int sound = connection.check(bytes);
		if (sound == 0) {
			return context.getStopAction();
		}
		message.limit(message.position() + sound);
		return context.getInvokeAction();
	}

}
