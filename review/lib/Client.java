package org.monsoonvalve.review;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A client's connection to a process of the system. */
final class Client implements Closeable {

	private final Socket socket;

	private final InputStream in;

	private final OutputStream out;

	Client(String address, int timeoutMillis) throws IOException {
		this(address, timeoutMillis, 0);
	}

	/** Opens a connection; a receive buffer size of 0 leaves the default. */
	Client(String address, int timeoutMillis, int receiveBufferBytes) throws IOException {
		this.socket = new Socket();
		if (receiveBufferBytes > 0) {
			this.socket.setReceiveBufferSize(receiveBufferBytes);
		}
		this.socket.connect(
				new InetSocketAddress(address.split(":")[0], Integer.parseInt(address.split(":")[1])), timeoutMillis);
		this.socket.setSoTimeout(timeoutMillis);
		this.socket.setTcpNoDelay(true);
		this.in = new BufferedInputStream(this.socket.getInputStream(), 65536);
		this.out = this.socket.getOutputStream();
	}

	Socket socket() {
		return this.socket;
	}

	InputStream in() {
		return this.in;
	}

	OutputStream out() {
		return this.out;
	}

	/** Sends a request and reads its response; null if the connection ends before one begins. */
	Http.Message send(String method, String target, byte[] body, String... headers) throws IOException {
		write(method, target, body, headers);
		return Http.readResponse(this.in);
	}

	void write(String method, String target, byte[] body, String... headers) throws IOException {
		List<String> all = new ArrayList<>(List.of("Host", "depot.example"));
		all.addAll(List.of(headers));
		this.out.write(Http.format(method + " " + target + " HTTP/1.1", body, all.toArray(String[]::new)));
		this.out.flush();
	}

	/** Sends a request of a model and records how its stream ends. */
	static void stream(Record record, String address, String attempt) {
		stream(record, address, attempt, "");
	}

	/** Sends a request whose prompt has more parts, each with a comma, between the first and the last one. */
	static void stream(Record record, String address, String attempt, String parts) {
		try (Client client = new Client(address, 9000)) {
			Http.Message answer = client.send("POST", "/draft/plan", new byte[0], Wire.name("header.request"), attempt,
					Wire.name("header.deadline"), "8000", Wire.name("header.model"), "m0", Wire.name("header.tokens"),
					"100,150", Wire.name("header.prefix"), "1:40," + parts + Integer.toHexString(attempt.hashCode()) + ":60");
			record.line("the client gets %s for %s, complete: %s", (answer != null) ? answer.status() : "no answer",
					attempt, answer != null && answer.complete());
		}
		catch (IOException ex) {
			record.line("the client gets no answer to %s: %s", attempt, ex);
		}
	}

	@Override
	public void close() {
		Threads.close(this.socket);
	}

}
