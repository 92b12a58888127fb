package org.monsoonvalve.core.connection;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionException;

import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class HttpConnectionTests {

	private static final int MAX_BODY_BYTES = 1000;

	private final HttpClient client = HttpClient.start(1000);

	@AfterClass
	public void stop() {
		this.client.close();
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

}
