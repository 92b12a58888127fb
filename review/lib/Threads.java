package org.monsoonvalve.review;

import java.io.Closeable;
import java.io.IOException;

/** Daemon threads, which end with the test. */
final class Threads {

	private Threads() {
	}

	/** Work that ends when its connection does. */
	interface Work {

		void run() throws IOException, InterruptedException;

	}

	static Thread run(Work work) {
		Thread thread = new Thread(null, () -> {
			try {
				work.run();
			}
			catch (IOException | InterruptedException ex) {
				// The connection of this thread has ended.
			}
		}, "stand-in", 256 * 1024);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	static void close(Closeable resource) {
		try {
			resource.close();
		}
		catch (IOException ex) {
			// Closed already.
		}
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
