package org.monsoonvalve.core.connection;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * The memory that the requests and responses of all clients of a server take. A client
 * that sends more than fits is refused; the response of the client that has left the most
 * unread is cut off in favour of others.
 *
 * @author monsoonvalve maintainers
 */
final class ServerMemory {

	private final MemoryBudget requests;

	private final MemoryBudget responses;

	private final Collection<ServerConnection> connections;

	/**
	 * Creates the memory of a server.
	 * @param limits the limits of the server
	 * @param connections the open connections, which change concurrently
	 */
	ServerMemory(HttpLimits limits, Collection<ServerConnection> connections) {
		this.requests = MemoryBudget.of(limits.totalBytes());
		this.responses = MemoryBudget.of(limits.totalBytes() / 2);
		this.connections = connections;
	}

	/**
	 * Returns the budget of what clients have sent.
	 * @return the budget
	 */
	MemoryBudget requests() {
		return this.requests;
	}

	/**
	 * Returns the budget of what waits for clients to read it.
	 * @return the budget
	 */
	MemoryBudget responses() {
		return this.responses;
	}

	/**
	 * Reserves memory for a write, closing the connections of the slowest readers if the
	 * budget is exhausted.
	 * @param writer the connection that writes
	 * @param bytes the memory of the write, in bytes
	 * @return {@code false} if the writer itself is the slowest reader, or closed
	 */
	boolean reserveWrite(ServerConnection writer, long bytes) {
		while (!writer.pendingWrites().add(bytes)) {
			// The reservation of a closed connection has ended.
			if (!writer.open()) {
				return false;
			}
			Optional<ServerConnection> slowest = this.connections.stream()
				.max(Comparator.comparingLong((connection) -> connection.pendingWrites().bytes()));
			if (slowest.isEmpty() || slowest.get() == writer || slowest.get().pendingWrites().bytes() == 0) {
				return false;
			}
			slowest.get().close();
		}
		return true;
	}

}
