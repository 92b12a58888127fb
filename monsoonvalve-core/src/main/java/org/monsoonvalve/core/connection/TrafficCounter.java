package org.monsoonvalve.core.connection;

import java.util.concurrent.atomic.LongAdder;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;

/**
 * Counts the bytes that connections receive and send.
 *
 * @author monsoonvalve maintainers
 */
public final class TrafficCounter extends ConnectionProbe.Adapter {

	private final LongAdder bytesIn = new LongAdder();

	private final LongAdder bytesOut = new LongAdder();

	private TrafficCounter() {
	}

	/**
	 * Creates a counter.
	 * @return the counter
	 */
	public static TrafficCounter create() {
		return new TrafficCounter();
	}

	@Override
	@SuppressWarnings("rawtypes")
	public void onReadEvent(Connection connection, Buffer data, int size) {
		this.bytesIn.add(Math.max(0, size));
	}

	@Override
	@SuppressWarnings("rawtypes")
	public void onWriteEvent(Connection connection, Buffer data, long size) {
		this.bytesOut.add(Math.max(0, size));
	}

	/**
	 * Returns the number of bytes received.
	 * @return the number of bytes since the start
	 */
	public long bytesIn() {
		return this.bytesIn.sum();
	}

	/**
	 * Returns the number of bytes sent.
	 * @return the number of bytes since the start
	 */
	public long bytesOut() {
		return this.bytesOut.sum();
	}

}
