package org.monsoonvalve.core.connection;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.monsoonvalve.core.process.SmallHeap;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class HttpServerTests {

	private static final int READ_TIMEOUT_MILLIS = 3000;

	private final List<IncomingCall> calls = Collections.synchronizedList(new ArrayList<>());

	private volatile Consumer<IncomingCall> handler;

	private EventLoop loop;

	private HttpServer server;

	private int port;

	@BeforeMethod
	public void start() throws IOException {
		this.calls.clear();
		this.handler = (call) -> call.reply(200, Headers.empty(), call.target().getBytes(StandardCharsets.UTF_8));
		this.loop = EventLoop.start((failure) -> {
			throw new IllegalStateException(failure);
		});
		this.server = HttpServer.start(this.loop, new Address("127.0.0.1", 0), new HttpLimits(16384, 1000, 100_000),
				(call) -> {
					this.calls.add(call);
					this.handler.accept(call);
				});
		this.port = this.server.address().port();
	}

	@AfterMethod
	public void stop() {
		this.server.close();
		this.loop.close();
	}

	private Socket send(String text) throws IOException {
		Socket socket = new Socket("127.0.0.1", this.port);
		socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
		return socket;
	}

	private static String readUntil(Socket socket, String end) throws IOException {
		StringBuilder read = new StringBuilder();
		while (read.indexOf(end) < 0) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				return read + "<closed>";
			}
			read.append((char) next);
		}
		return read.toString();
	}

	@Test
	public void requestsOnOneConnectionAreAnsweredInOrder() throws IOException {
		try (Socket socket = send("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b?q=%20 HTTP/1.1\r\nHost: h\r\n\r\n"
				+ "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")) {
			String responses = readUntil(socket, "/c");
			Assert.assertTrue(responses.indexOf("/a") < responses.indexOf("/b?q=%20"), responses);
			Assert.assertEquals(new String(this.calls.get(2).body(), StandardCharsets.US_ASCII), "hi");
			socket.getOutputStream().write("GET /d HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			Assert.assertTrue(readUntil(socket, "/d").endsWith("/d"));
		}
	}

	@Test
	public void aRequestWaitsForThePrecedingResponse() throws IOException {
		this.handler = (call) -> {
			if (call.target().equals("/slow")) {
				this.loop.schedule(200, () -> call.reply(200, Headers.empty(), "slow".getBytes()));
			}
			else {
				call.reply(200, Headers.empty(), "fast".getBytes());
			}
		};
		try (Socket socket = send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /fast HTTP/1.1\r\nHost: h\r\n\r\n")) {
			String responses = readUntil(socket, "fast");
			Assert.assertTrue(responses.indexOf("slow") >= 0 && responses.indexOf("slow") < responses.indexOf("fast"),
					responses);
		}
	}

	@Test
	public void aClientDisconnectIsDetected() throws Exception {
		CountDownLatch received = new CountDownLatch(1);
		CountDownLatch disconnected = new CountDownLatch(1);
		this.handler = (call) -> {
			call.onAbandoned(disconnected::countDown);
			received.countDown();
		};
		Socket socket = send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
		Assert.assertTrue(received.await(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
		socket.close();
		Assert.assertTrue(disconnected.await(500, TimeUnit.MILLISECONDS),
				"client disconnect detected within half a second");
	}

	@DataProvider
	public Object[][] refusedRequests() {
		return new Object[][] { { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc" },
				{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + "x".repeat(5000) },
				{ "GET / HTTP/1.1\r\n\r\n" } };
	}

	@Test(dataProvider = "refusedRequests")
	public void ambiguousOversizedAndHostlessRequestsDoNotReachTheHandler(String request) throws IOException {
		try (Socket socket = send(request)) {
			String response = readUntil(socket, "\r\n\r\n");
			Assert.assertTrue(response.startsWith("HTTP/1.1 4") || response.equals("<closed>"), response);
			Assert.assertTrue(this.calls.isEmpty(), "the handler does not receive the request");
		}
	}

	@Test
	public void aStreamedResponseArrivesInChunksAndAnAbortedOneHasNoEnd() throws IOException {
		this.handler = (call) -> {
			call.begin(200, Headers.of("Content-Type", "text/event-stream"));
			call.write("one".getBytes());
			this.loop.schedule(50, () -> {
				call.write("two".getBytes());
				if (call.target().equals("/whole")) {
					call.finish();
				}
				else {
					call.abort();
				}
			});
		};
		try (Socket socket = send("GET /whole HTTP/1.1\r\nHost: h\r\n\r\n")) {
			Assert.assertTrue(readUntil(socket, "0\r\n\r\n").contains("3\r\ntwo\r\n0\r\n\r\n"));
		}
		try (Socket socket = send("GET /broken HTTP/1.1\r\nHost: h\r\n\r\n")) {
			try {
				String response = readUntil(socket, "0\r\n\r\n");
				Assert.assertTrue(response.endsWith("<closed>"), response);
			}
			catch (java.net.SocketException ex) {
				Assert.assertTrue(ex.getMessage().contains("reset"), ex.getMessage());
			}
		}
	}

	@Test
	public void aDrainingServerAsksClientsToClose() throws IOException {
		this.server.drain();
		try (Socket socket = send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")) {
			String response = readUntil(socket, "<never>");
			Assert.assertTrue(response.toLowerCase().contains("connection: close"), response);
			Assert.assertTrue(response.endsWith("/a<closed>"), response);
		}
	}

	@DataProvider
	public Object[][] malformedRequests() {
		String post = "POST / HTTP/1.1\r\nHost: h\r\n";
		return new Object[][] { { "GET / HTTP/1.1\r\nHost: h\r\nX Y: z\r\n\r\n" },
				{ "GET / HTTP/1.1\r\nHost: h\r\nX : z\r\n\r\n" }, { "GET / HTTP/1.1\r\nHost: h\r\nno field\r\n\r\n" },
				{ "GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n folded\r\n\r\n" },
				{ "GET / HTTP/1.1\r\nHost: h\r\nX: a\u0001b\r\n\r\n" }, { "GET / HTTP/1.1\nHost: h\n\n" },
				{ "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n" }, { "GET  / HTTP/1.1\r\nHost: h\r\n\r\n" },
				{ "G(T / HTTP/1.1\r\nHost: h\r\n\r\n" }, { "GET / HTTP/1.1 x\r\nHost: h\r\n\r\n" },
				{ post + "Content-Length: 2x\r\n\r\nok" }, { post + "Content-Length: +2\r\n\r\nok" },
				{ post + "Content-Length:\r\n\r\nok" }, { post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok" },
				{ post + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n" },
				{ post + "Transfer-Encoding: xchunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" },
				{ post + "Transfer-Encoding: chunked\r\n\r\n2x\r\nok\r\n0\r\n\r\n" },
				{ post + "Transfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n" } };
	}

	// Guards against requests that an endpoint or a proxy frames differently.
	@Test(dataProvider = "malformedRequests")
	public void aMalformedRequestIsRefusedAndDoesNotReachTheHandler(String request) throws IOException {
		try (Socket socket = send(request)) {
			String response = readUntil(socket, "<never>");
			Assert.assertTrue(response.startsWith("HTTP/1.1 400") && response.endsWith("<closed>"), response);
			Assert.assertTrue(this.calls.isEmpty(), "the handler does not receive the request");
		}
	}

	@Test
	public void aRequestBeforeAMalformedOneIsAnsweredAndTheConnectionClosed() throws IOException {
		this.handler = (call) -> this.loop.schedule(50, () -> call.reply(200, Headers.empty(), "sound".getBytes()));
		try (Socket socket = send("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nno field\r\n\r\n")) {
			String response = readUntil(socket, "<never>");
			Assert.assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("sound<closed>"), response);
			Assert.assertEquals(this.calls.size(), 1);
		}
	}

	// Guards against a client that never sees the refusal, as its connection is reset
	// while it still sends.
	@Test
	public void aClientThatSendsTooMuchReceivesTheRefusal() throws IOException {
		try (Socket socket = send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")) {
			byte[] chunk = ("fa\r\n" + "x".repeat(250) + "\r\n").getBytes(StandardCharsets.US_ASCII);
			for (int i = 0; i < 6; i++) {
				socket.getOutputStream().write(chunk);
			}
			socket.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			String response = readUntil(socket, "<never>");
			Assert.assertTrue(response.startsWith("HTTP/1.1 413") && response.endsWith("<closed>"), response);
		}
	}

	// Guards against memory that each client takes within its own limits, and that
	// together exhausts the heap.
	@Test
	public void requestsOfManyClientsFitASmallHeap() throws Exception {
		Assert.assertEquals(SmallHeap.run(UnfinishedRequests.class, 48), "some refused, served");
	}

	@Test
	public void responsesThatManyClientsDoNotReadFitASmallHeap() throws Exception {
		Assert.assertEquals(SmallHeap.run(UnreadResponses.class, 48), "served");
	}

	// Guards against parsing whose cost grows faster than the content.
	@Test(timeOut = 10_000)
	public void contentInVerySmallChunksIsReadWithoutDelay() throws Exception {
		long small = chunkedUploadNanos(100_000);
		long large = chunkedUploadNanos(400_000);
		Assert.assertTrue(large < 12 * small, small + " ns for 100,000 chunks, " + large + " ns for 400,000");
	}

	private static long chunkedUploadNanos(int chunks) throws IOException {
		HttpServer server = startServer((call) -> call.reply(200, Headers.empty(), "served".getBytes()));
		long startNanos = System.nanoTime();
		try (Socket socket = new Socket("127.0.0.1", server.address().port())) {
			String request = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
					+ "1\r\nx\r\n".repeat(chunks) + "0\r\n\r\n";
			socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
			Assert.assertTrue(readUntil(socket, "served").endsWith("served"));
		}
		server.close();
		return System.nanoTime() - startNanos;
	}

	// The buffer of a long line stayed with its connection, which no budget counted.
	@Test
	public void idleConnectionsThatHadLongFieldsFitASmallHeap() throws Exception {
		Assert.assertEquals(SmallHeap.run(LongFields.class, 32), "served");
	}

	private static String request(int port) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", port)) {
			socket.setSoTimeout(READ_TIMEOUT_MILLIS);
			socket.getOutputStream()
				.write("GET /small HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
					.getBytes(StandardCharsets.US_ASCII));
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			return response.endsWith("served") ? "served" : response;
		}
	}

	private static HttpServer startServer(Consumer<IncomingCall> handler) {
		EventLoop loop = EventLoop.start((failure) -> {
			throw new IllegalStateException(failure);
		});
		return HttpServer.start(loop, new Address("127.0.0.1", 0), new HttpLimits(16384, 4_000_000, 8_000_000),
				handler);
	}

	/**
	 * A server whose clients each send a part of a large request.
	 */
	public static final class UnfinishedRequests {

		private UnfinishedRequests() {
		}

		public static void main(String[] arguments) throws Exception {
			HttpServer server = startServer((call) -> call.reply(200, Headers.empty(), "served".getBytes()));
			byte[] part = new byte[1_000_000];
			boolean refused = false;
			List<Socket> sockets = new ArrayList<>();
			for (int i = 0; i < 60; i++) {
				Socket socket = new Socket("127.0.0.1", server.address().port());
				sockets.add(socket);
				socket.getOutputStream()
					.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n"
						.getBytes(StandardCharsets.US_ASCII));
				socket.getOutputStream().write(part);
			}
			String served = HttpServerTests.request(server.address().port());
			for (Socket socket : sockets) {
				refused |= socket.getInputStream().available() > 0;
			}
			System.out.print((refused ? "some refused, " : "none refused, ") + served);
			System.exit(0);
		}

	}

	/**
	 * A server whose clients each send a request with a long field and then nothing.
	 */
	public static final class LongFields {

		private LongFields() {
		}

		public static void main(String[] arguments) throws Exception {
			EventLoop loop = EventLoop.start((failure) -> System.out.print(failure));
			HttpServer server = HttpServer.start(loop, new Address("127.0.0.1", 0),
					new HttpLimits(64 * 1024, 1000, 1000),
					(call) -> call.reply(200, Headers.empty(), "served".getBytes()));
			byte[] request = ("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + "a".repeat(60_000) + "\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII);
			List<Socket> sockets = new ArrayList<>();
			for (int i = 0; i < 600; i++) {
				Socket socket = new Socket("127.0.0.1", server.address().port());
				sockets.add(socket);
				socket.getOutputStream().write(request);
				readUntil(socket, "served");
			}
			System.out.print(HttpServerTests.request(server.address().port()));
			System.exit(0);
		}

	}

	/**
	 * A server whose clients leave large responses unread.
	 */
	public static final class UnreadResponses {

		private UnreadResponses() {
		}

		public static void main(String[] arguments) throws Exception {
			HttpServer server = startServer((call) -> {
				if (call.path().equals("/small")) {
					call.reply(200, Headers.empty(), "served".getBytes());
					return;
				}
				call.begin(200, Headers.empty());
				for (int i = 0; i < 90; i++) {
					call.write(new byte[64_000]);
				}
				call.finish();
			});
			List<Socket> sockets = new ArrayList<>();
			for (int i = 0; i < 100; i++) {
				Socket socket = new Socket("127.0.0.1", server.address().port());
				sockets.add(socket);
				socket.getOutputStream()
					.write(("GET /large HTTP/1.1\r\nHost: h\r\n" + ((i % 2 == 0) ? "Connection: close\r\n" : "")
							+ "\r\n")
						.getBytes(StandardCharsets.US_ASCII));
			}
			System.out.print(HttpServerTests.request(server.address().port()));
			System.exit(0);
		}

	}

}
