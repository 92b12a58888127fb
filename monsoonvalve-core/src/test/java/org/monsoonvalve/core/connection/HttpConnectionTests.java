package org.monsoonvalve.core.connection;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import com.sun.management.UnixOperatingSystemMXBean;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class HttpConnectionTests {

	private static final int MAX_BODY_BYTES = 1000;

	private static final int SERVER_RECEIVE_BUFFER_BYTES = 64 * 1024;

	/** More than the buffers of both sockets hold. */
	private static final int LARGE_REQUEST_BYTES = 8_000_000;

	/** Which side of the connection meets a reset first varies from run to run. */
	private static final int RESET_RUNS = 8;

	private final HttpClient client = HttpClient.start(1000);

	@AfterClass
	public void stop() {
		this.client.close();
	}

	// The sockets of connections that timed out waited for their peer for minutes.
	@Test
	public void aConnectionThatTimesOutLeavesNoSocket() throws Exception {
		UnixOperatingSystemMXBean system = (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
		HttpClient impatient = HttpClient.start(50);
		List<Socket> unaccepted = new ArrayList<>();
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			Address address = new Address("127.0.0.1", server.getLocalPort());
			fillAcceptQueue(address, unaccepted);
			long before = system.getOpenFileDescriptorCount();
			for (int i = 0; i < 40; i++) {
				CompletableFuture<HttpConnection> opened = impatient.connect(address);
				Assert.assertThrows(CompletionException.class, opened::join);
			}
			long endMillis = EventLoop.nowMillis() + 3000;
			while (system.getOpenFileDescriptorCount() > before + 10) {
				Assert.assertTrue(EventLoop.nowMillis() < endMillis, "the sockets are closed");
				Thread.sleep(5);
			}
		}
		for (Socket socket : unaccepted) {
			socket.close();
		}
		impatient.close();
	}

	private static void fillAcceptQueue(Address address, List<Socket> unaccepted) throws IOException {
		for (int i = 0; i < 100; i++) {
			Socket socket = new Socket();
			unaccepted.add(socket);
			try {
				socket.connect(address.toSocketAddress(), 200);
			}
			catch (SocketTimeoutException ex) {
				return;
			}
		}
		throw new IllegalStateException("the queue is not full");
	}

	// The pool kept the closed connections to each address for good.
	@Test
	public void closedConnectionsLeaveThePool() throws Exception {
		EventLoop loop = EventLoop.start((failure) -> {
			throw new IllegalStateException(failure);
		});
		for (int i = 0; i < 5; i++) {
			HttpServer server = HttpServer.start(loop, new Address("127.0.0.1", 0), HttpLimits.defaults(),
					(call) -> call.reply(200, Headers.empty(), new byte[0]));
			for (int request = 0; request < 3; request++) {
				this.client.exchangePooled(server.address(), HttpRequest.get("/"), 3000, 1000).join();
			}
			Assert.assertEquals(this.client.pooledAddresses(), 1);
			server.close();
			long endMillis = EventLoop.nowMillis() + 3000;
			while (this.client.pooledAddresses() > 0) {
				Assert.assertTrue(EventLoop.nowMillis() < endMillis, "the connection is closed");
				Thread.sleep(5);
			}
		}
		loop.close();
	}

	private ServerSocket startServer(String response, boolean closeAfterwards) throws IOException {
		ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
		Thread thread = new Thread(() -> {
			try {
				Socket socket = server.accept();
				socket.getInputStream().read(new byte[4096]);
				OutputStream output = socket.getOutputStream();
				output.write(response.getBytes(StandardCharsets.US_ASCII));
				output.flush();
				if (closeAfterwards) {
					socket.close();
				}
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		});
		thread.setDaemon(true);
		thread.start();
		return server;
	}

	private HttpConnection connect(ServerSocket server) {
		return this.client.connect(new Address("127.0.0.1", server.getLocalPort())).join();
	}

	private static FailureCode expectFailure(HttpConnection connection) {
		CompletionException thrown = Assert.expectThrows(CompletionException.class,
				() -> connection.exchange(HttpRequest.get("/"), 400, MAX_BODY_BYTES).join());
		return ServingException.from(thrown).code();
	}

	@DataProvider
	public Object[][] brokenAnswers() {
		return new Object[][] { { "" }, { "HTTP/1.1 200 OK\r\nContent-Le" },
				{ "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345" },
				{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n" },
				{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123" } };
	}

	@Test(dataProvider = "brokenAnswers")
	public void aConnectionClosedBeforeTheEndOfTheResponseIsEndpointLost(String response) throws IOException {
		try (ServerSocket server = startServer(response, true)) {
			Assert.assertEquals(expectFailure(connect(server)), FailureCode.ENDPOINT_LOST);
		}
	}

	@Test(dataProvider = "brokenAnswers")
	public void aConnectionThatSendsNoMoreDataTimesOutAndIsNotReused(String response) throws IOException {
		try (ServerSocket server = startServer(response, false)) {
			HttpConnection connection = connect(server);
			Assert.assertEquals(expectFailure(connection), FailureCode.TIMEOUT);
			Assert.assertFalse(connection.idle());
			Assert.assertEquals(expectFailure(connection), FailureCode.UNREACHABLE);
		}
	}

	@Test
	public void aWholeResponseLeavesTheConnectionIdle() throws IOException {
		try (ServerSocket server = startServer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)) {
			HttpConnection connection = connect(server);
			Assert.assertEquals(new String(connection.exchange(HttpRequest.get("/"), 400, MAX_BODY_BYTES).join().body(),
					StandardCharsets.US_ASCII), "ok");
			Assert.assertTrue(connection.idle());
		}
	}

	// Reads the head of a request that is still being written, and begins a response that
	// ends with the connection.
	private ServerSocket startEarlyResponder(ConnectionEnd end) throws IOException {
		ServerSocket server = new ServerSocket();
		server.setReceiveBufferSize(SERVER_RECEIVE_BUFFER_BYTES);
		server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
		Thread thread = new Thread(() -> {
			try {
				Socket socket = server.accept();
				socket.getInputStream().read(new byte[1024]);
				OutputStream output = socket.getOutputStream();
				output.write("HTTP/1.1 200 OK\r\n\r\n12345".getBytes(StandardCharsets.US_ASCII));
				output.flush();
				TimeUnit.MILLISECONDS.sleep(100);
				end.apply(socket);
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		thread.setDaemon(true);
		thread.start();
		return server;
	}

	private static CompletableFuture<HttpResponse> sendLargeRequest(HttpConnection connection) {
		return connection.exchange(HttpRequest.json("POST", "/", "x".repeat(LARGE_REQUEST_BYTES)), 5000,
				MAX_BODY_BYTES);
	}

	// A server that crashed while the request was still being written reset the
	// connection,
	// and half of its response was taken for the whole one.
	@Test
	public void aResetWhileTheRequestIsWrittenIsNoEndOfAResponseWithoutLength() throws IOException {
		for (int i = 0; i < RESET_RUNS; i++) {
			// The kernel resets a connection that is closed with unread data.
			try (ServerSocket server = startEarlyResponder(Socket::close)) {
				CompletableFuture<HttpResponse> response = sendLargeRequest(connect(server));
				CompletionException thrown = Assert.expectThrows(CompletionException.class, response::join);
				Assert.assertEquals(ServingException.from(thrown).code(), FailureCode.ENDPOINT_LOST);
			}
		}
	}

	@Test
	public void anOrderlyEndCompletesAResponseWithoutLengthIfThePeerReadsTheRequest() throws IOException {
		try (ServerSocket server = startEarlyResponder((socket) -> {
			socket.shutdownOutput();
			socket.getInputStream().transferTo(OutputStream.nullOutputStream());
		})) {
			Assert.assertEquals(new String(sendLargeRequest(connect(server)).join().body(), StandardCharsets.US_ASCII),
					"12345");
		}
	}

	// A response that the peer had not ended counted as complete once this side closed
	// the
	// connection.
	@Test
	public void closingTheConnectionIsNoEndOfAResponseWithoutLength() throws Exception {
		try (ServerSocket server = startEarlyResponder((socket) -> {
		})) {
			HttpConnection connection = connect(server);
			CompletableFuture<Void> begun = new CompletableFuture<>();
			CompletableFuture<String> end = new CompletableFuture<>();
			connection.send(HttpRequest.get("/"), 5000, new ResponseListener() {

				@Override
				public void onHeaders(int status, Headers headers) {
				}

				@Override
				public void onBody(byte[] chunk) {
					begun.complete(null);
				}

				@Override
				public void onComplete() {
					end.complete("complete");
				}

				@Override
				public void onFailure(ServingException failure) {
					end.complete(failure.code().name());
				}
			});
			begun.get(5, TimeUnit.SECONDS);
			connection.close();
			Assert.assertEquals(end.get(5, TimeUnit.SECONDS), FailureCode.ENDPOINT_LOST.name());
		}
	}

	@DataProvider
	public Object[][] answersWithoutContent() {
		return new Object[][] { { "GET", "HTTP/1.1 204 No Content\r\n\r\n" },
				{ "GET", "HTTP/1.1 304 Not Modified\r\n\r\n" }, { "HEAD", "HTTP/1.1 200 OK\r\n\r\n" } };
	}

	// Such a response has no length either, and ends with its head.
	@Test(dataProvider = "answersWithoutContent")
	public void aResponseThatCanHaveNoContentIsCompleteWithoutAnEndOfTheConnection(String method, String response)
			throws IOException {
		try (ServerSocket server = startServer(response, false)) {
			HttpConnection connection = connect(server);
			HttpRequest request = new HttpRequest(method, "/", Headers.empty(), new byte[0]);
			Assert.assertEquals(connection.exchange(request, 2000, MAX_BODY_BYTES).join().body().length, 0);
			Assert.assertTrue(connection.idle());
		}
	}

	@Test
	public void aResponseLargerThanTheLimitIsAnswerTooLarge() throws IOException {
		String large = "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + "x".repeat(2000);
		try (ServerSocket server = startServer(large, false)) {
			Assert.assertEquals(expectFailure(connect(server)), FailureCode.ANSWER_TOO_LARGE);
		}
	}

	@Test
	public void aPortWithoutListenerIsUnreachable() {
		CompletionException thrown = Assert.expectThrows(CompletionException.class,
				() -> this.client.connect(new Address("127.0.0.1", 1)).join());
		Assert.assertEquals(ServingException.from(thrown).code(), FailureCode.UNREACHABLE);
	}

	/**
	 * The way in which a server ends a connection.
	 */
	private interface ConnectionEnd {

		void apply(Socket socket) throws IOException;

	}

}
