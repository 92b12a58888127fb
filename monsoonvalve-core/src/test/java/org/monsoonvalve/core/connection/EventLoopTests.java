package org.monsoonvalve.core.connection;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.testng.Assert;
import org.testng.annotations.Test;

public class EventLoopTests {

	private static final int RESTARTS = 200;

	private final List<Throwable> failures = new CopyOnWriteArrayList<>();

	private EventLoop start() {
		return EventLoop.start(this.failures::add);
	}

	// The selector's thread closed the sockets some time after the loop was closed, so a
	// server that started again at once could not listen on its address.
	@Test
	public void theAddressOfAServerIsFreeOnceItsLoopIsClosed() {
		EventLoop first = start();
		Address address = HttpServer
			.start(first, new Address("127.0.0.2", 0), HttpLimits.defaults(), (call) -> Assert.fail())
			.address();
		first.close();
		for (int i = 0; i < RESTARTS; i++) {
			EventLoop next = start();
			HttpServer server = HttpServer.start(next, address, HttpLimits.defaults(), (call) -> Assert.fail());
			Assert.assertEquals(server.address(), address);
			server.close();
			next.close();
		}
		Assert.assertEquals(this.failures, List.of());
	}

}
