package org.monsoonvalve.gateway.request;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.monsoonvalve.core.connection.Address;

/**
 * A test endpoint that sends scripted bytes for each request, and the last ones for all
 * further requests.
 */
final class ScriptedEndpoint implements AutoCloseable {

	/** A pause between two parts of a response. */
	static final String PAUSE = "<pause>";

	/** The last response on the same connection, nothing on a new one. */
	static final String EARLIER_RESPONSE = "<earlier>";

	private static final long PAUSE_MILLIS = 100;

	private final ServerSocket server;

	private volatile boolean accepting = true;

	private final List<String> responses;

	private final ConnectionAction connectionAction;

	final List<String> requests = Collections.synchronizedList(new ArrayList<>());

	final AtomicLong repeatedBytes = new AtomicLong();

	final CountDownLatch callerDisconnected = new CountDownLatch(1);

	private ScriptedEndpoint(ServerSocket server, List<String> responses, ConnectionAction connectionAction) {
		this.server = server;
		this.responses = responses;
		this.connectionAction = connectionAction;
	}

	static ScriptedEndpoint start(String response, ConnectionAction connectionAction) {
		return start(List.of(response), connectionAction);
	}

	// Does what the action says after the last of the responses.
	static ScriptedEndpoint start(List<String> responses, ConnectionAction connectionAction) {
		try {
			ScriptedEndpoint endpoint = new ScriptedEndpoint(
					new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")), responses, connectionAction);
			startThread(endpoint::accept);
			return endpoint;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// Fills the queue of connections to accept, so that the system completes no further
	// ones.
	void stopAccepting(List<Socket> unaccepted) throws IOException {
		this.accepting = false;
		for (int i = 0; i < 100; i++) {
			Socket socket = new Socket();
			unaccepted.add(socket);
			try {
				socket.connect(address().toSocketAddress(), 200);
			}
			catch (SocketTimeoutException ex) {
				return;
			}
		}
		throw new IllegalStateException("the queue is not full");
	}

	Address address() {
		return new Address("127.0.0.1", this.server.getLocalPort());
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	private static void startThread(Runnable task) {
		Thread thread = new Thread(task, "scripted-endpoint");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		try {
			while (!this.server.isClosed()) {
				Socket socket = this.server.accept();
				if (!this.accepting) {
					awaitClose();
				}
				startThread(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// close() has closed the server socket.
			return;
		}
	}

	private void awaitClose() {
		while (!this.server.isClosed()) {
			LockSupport.parkNanos(1_000_000);
		}
	}

	private void serve(Socket socket) {
		String earlier = "";
		try (socket) {
			if (this.connectionAction == ConnectionAction.UNREAD) {
				Thread.sleep(PAUSE_MILLIS);
				return;
			}
			while (true) {
				String request = readRequest(socket.getInputStream());
				if (request.isEmpty()) {
					this.callerDisconnected.countDown();
					return;
				}
				this.requests.add(request);
				int number = Math.min(this.requests.size(), this.responses.size());
				String id = request.lines()
					.filter((line) -> line.startsWith("Request-Id: "))
					.map((line) -> line.substring(12))
					.findFirst()
					.orElse("");
				String response = this.responses.get(number - 1).replace(EARLIER_RESPONSE, earlier).replace("$ID", id);
				earlier = response;
				for (String part : response.split(PAUSE)) {
					if (!response.startsWith(part)) {
						Thread.sleep(PAUSE_MILLIS);
					}
					socket.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
					socket.getOutputStream().flush();
				}
				if (number < this.responses.size()) {
					continue;
				}
				if (this.connectionAction == ConnectionAction.CLOSE) {
					return;
				}
				if (this.connectionAction.repeats()) {
					repeatUntilClosed(socket.getOutputStream());
				}
				if (this.connectionAction == ConnectionAction.RESET) {
					socket.setSoLinger(true, 0);
					return;
				}
			}
		}
		catch (IOException ex) {
			this.callerDisconnected.countDown();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void repeatUntilClosed(OutputStream output) throws IOException {
		try {
			for (int i = 0; i < this.connectionAction.maxRepeats; i++) {
				byte[] next = this.connectionAction.repeated.getBytes(StandardCharsets.US_ASCII);
				output.write(next);
				output.flush();
				this.repeatedBytes.addAndGet(next.length);
				Thread.sleep(this.connectionAction.intervalMillis);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String readRequest(InputStream input) throws IOException {
		StringBuilder read = new StringBuilder();
		while (read.indexOf("\r\n\r\n") < 0) {
			int next = input.read();
			if (next < 0) {
				return "";
			}
			read.append((char) next);
		}
		int length = read.toString()
			.lines()
			.filter((line) -> line.toLowerCase().startsWith("content-length:"))
			.mapToInt((line) -> Integer.parseInt(line.substring(15).strip()))
			.findFirst()
			.orElse(0);
		input.readNBytes(length);
		return read.toString();
	}

	/**
	 * What happens to the connection after the scripted bytes.
	 */
	enum ConnectionAction {

		/** The connection stays open. */
		KEEP("", 0),

		/** The connection is closed. */
		CLOSE("", 0),

		/** Nothing is read, and the connection is closed some time later. */
		UNREAD("", 0),

		/** The connection is reset. */
		RESET("", 0),

		/** Letters follow without end. */
		ENDLESS_LETTERS("a".repeat(8000), 0),

		/** Complete header lines follow without end. */
		ENDLESS_LINES("X: a\r\n".repeat(1000), 0),

		/** Interim responses follow without end. */
		ENDLESS_INTERIM_RESPONSES("HTTP/1.1 100 Continue\r\n\r\n".repeat(300), 0),

		/** Chunks of letters follow without end. */
		ENDLESS_CHUNKS("1f40\r\n" + "a".repeat(8000) + "\r\n", 0),

		/** Some chunks of letters follow, less than an event may have. */
		SOME_CHUNKS("1f40\r\n" + "a".repeat(8000) + "\r\n", 0, 25),

		/** A chunk with a comment in place of an event follows now and then. */
		COMMENTS_NOW_AND_THEN("3\r\n:\n\n\r\n", 50),

		/** A chunk with one letter follows now and then. */
		LETTERS_NOW_AND_THEN("1\r\na\r\n", 50);

		private final String repeated;

		private final long intervalMillis;

		private final int maxRepeats;

		ConnectionAction(String repeated, long intervalMillis) {
			this(repeated, intervalMillis, Integer.MAX_VALUE);
		}

		ConnectionAction(String repeated, long intervalMillis, int maxRepeats) {
			this.repeated = repeated;
			this.intervalMillis = intervalMillis;
			this.maxRepeats = maxRepeats;
		}

		private boolean repeats() {
			return !this.repeated.isEmpty();
		}

	}

}
