package org.monsoonvalve.core.connection;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.monsoonvalve.core.process.SmallHeap;
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

	// Cancelled timers stayed in the queue, with all that their tasks referred to.
	@Test
	public void cancelledTimersFitASmallHeap() throws Exception {
		Assert.assertEquals(SmallHeap.run(CancelledTimers.class, 24), "ran");
	}

	/**
	 * Cancels timers that refer to much memory, and very many others.
	 */
	public static final class CancelledTimers {

		private static final long DELAY_MILLIS = 600_000;

		private CancelledTimers() {
		}

		public static void main(String[] arguments) throws Exception {
			EventLoop loop = EventLoop.start((failure) -> System.out.print(failure));
			CountDownLatch ran = new CountDownLatch(1);
			loop.execute(() -> {
				// The head of the queue stays, so that no other timer reaches it.
				loop.schedule(1, ran::countDown);
				for (int i = 0; i < 200; i++) {
					byte[] content = new byte[1_000_000];
					loop.schedule(DELAY_MILLIS, () -> System.out.print(content.length)).cancel();
				}
				for (int i = 0; i < 1_000_000; i++) {
					loop.schedule(DELAY_MILLIS + i % 1000, ran::countDown).cancel();
				}
			});
			System.out.print(ran.await(30, TimeUnit.SECONDS) ? "ran" : "did not run");
			System.exit(0);
		}

	}

}
