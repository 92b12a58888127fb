package org.monsoonvalve.review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * A server answers a long request before it has read it, with a body that has no length. With the disruption it crashes
 * in the middle of that answer, which resets the connection.
 */
public final class ResetAnswerCase {

	private static final long HEARTBEAT_MILLIS = 1200;

	private static final long BORN_MILLIS = System.currentTimeMillis();

	private static final int REQUESTS = 8;

	/** Below the limit of the configuration, 4,194,304 bytes. */
	private static final int REQUEST_BYTES = 4_000_000;

	private static final int ANSWER_BYTES = 2000;

	private static final int SENT_BEFORE_CRASH_BYTES = 1000;

	private ResetAnswerCase() {
	}

	public static void main(String[] arguments) throws IOException {
		Case.run(arguments, ResetAnswerCase::play);
	}

	private static List<String> play(Case run) throws IOException {
		String ip = Ports.ip(100);
		Store store = new Store(ip, Ports.free(ip));
		store.start();
		store.put(Wire.name("key.configuration"),
				new Configuration().route("book", "/book/", "unsafe", "depot-app", 4000).version(1, 1));
		ServerSocket server = new ServerSocket();
		server.setReceiveBufferSize(64 * 1024);
		server.bind(new InetSocketAddress(InetAddress.getByName(ip), Ports.free(ip)), 64);
		Threads.run(() -> {
			while (true) {
				Socket caller = server.accept();
				Threads.run(() -> answer(run, caller));
			}
		});
		Threads.run(() -> {
			for (int beat = 1; true; beat++) {
				register(store, ip + ":" + server.getLocalPort(), beat);
				Thread.sleep(HEARTBEAT_MILLIS);
			}
		});
		Gateway gateway = run.startGateway("edge-kano-a-1", Ports.ip(101), store.address());
		run.awaitReady(gateway);
		Threads.sleep(1000);
		List<String> violations = new ArrayList<>();
		for (int i = 1; i <= REQUESTS; i++) {
			violations.addAll(request(run, gateway, "booking-" + i));
			Threads.sleep(1500);
		}
		return violations;
	}

	private static void register(Store store, String address, int beat) {
		Map<String, Object> values = Map.of("SERVICE", "depot-app", "ADDRESS", address, "SLOTS", 6, "STATE", "ready",
				"BORN", BORN_MILLIS, "MODELS", "", "STAGED", "", "SEQUENCE", beat, "GROUP", "");
		store.put(Wire.name("key.servers") + "i-1", Wire.template("entry.json", values));
	}

	private static byte[] answerTo(String attempt) {
		byte[] body = new byte[ANSWER_BYTES];
		Arrays.fill(body, (byte) '.');
		byte[] text = ("the whole answer to " + attempt + " has " + ANSWER_BYTES + " bytes ")
			.getBytes(StandardCharsets.US_ASCII);
		System.arraycopy(text, 0, body, 0, text.length);
		return body;
	}

	private static void answer(Case run, Socket caller) throws IOException {
		Http.Message head = Http.readHead(caller.getInputStream());
		if (head == null) {
			return;
		}
		String attempt = head.header(Wire.name("header.request"));
		run.record().line("i-1 has read the head of %s and runs it", attempt);
		byte[] body = answerTo(attempt);
		caller.getOutputStream()
			.write(("HTTP/1.1 200 OK\r\n" + Wire.name("header.request") + ": " + attempt + "\r\n"
					+ Wire.name("header.seal") + ": seal-" + attempt + "\r\nConnection: close\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
		caller.getOutputStream().write(body, 0, SENT_BEFORE_CRASH_BYTES);
		caller.getOutputStream().flush();
		Threads.sleep(100);
		if (run.trouble()) {
			// A process that ends with unread bytes on a connection resets it.
			caller.close();
			run.record()
				.line("i-1 crashes after %d of %d bytes of the answer to %s", SENT_BEFORE_CRASH_BYTES, ANSWER_BYTES,
						attempt);
			return;
		}
		long left = Long.parseLong(head.header("Content-Length"));
		byte[] buffer = new byte[65536];
		while (left > 0) {
			int count = caller.getInputStream().read(buffer);
			if (count < 0) {
				break;
			}
			left -= count;
		}
		caller.getOutputStream().write(body, SENT_BEFORE_CRASH_BYTES, ANSWER_BYTES - SENT_BEFORE_CRASH_BYTES);
		caller.close();
		run.record().line("i-1 has sent the whole answer to %s", attempt);
	}

	private static List<String> request(Case run, Gateway gateway, String attempt) {
		try (Client client = new Client(gateway.front(), 8000)) {
			run.record().line("the client sends %s, %d bytes", attempt, REQUEST_BYTES);
			Http.Message answer = client.send("POST", "/book/lorry", new byte[REQUEST_BYTES],
					Wire.name("header.request"), attempt, Wire.name("header.deadline"), "4000");
			if (answer == null) {
				run.record().line("the client gets no answer to %s", attempt);
				return List.of();
			}
			run.record()
				.line("the client gets %d for %s, signature '%s', length '%s', %d bytes, complete: %s", answer.status(),
						attempt, answer.header(Wire.name("header.seal")), answer.header("Content-Length"),
						answer.body().length, answer.complete());
			boolean success = answer.status() / 100 == 2 && answer.complete();
			if (success && !Arrays.equals(answer.body(), answerTo(attempt))) {
				return List.of("MIXED: " + attempt + " ends as a complete success with " + answer.body().length
						+ " bytes, the server's whole answer has " + ANSWER_BYTES);
			}
			return List.of();
		}
		catch (IOException ex) {
			run.record().line("the client gets no answer to %s: %s", attempt, ex);
			return List.of();
		}
	}

}
