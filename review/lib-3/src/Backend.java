import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server: registers in the store, beats, and passes each request to a handler. */
class Backend {

	interface Handler {

		// Writes the answer; returns whether the connection stays open.
		boolean handle(Http request, OutputStream out, Socket socket) throws IOException;

	}

	final String id;

	final String host;

	final int port;

	final Store store;

	final Map<String, Object> record = new ConcurrentHashMap<>();

	final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final ServerSocket listener;

	private final Handler handler;

	volatile boolean registered;

	private long sequence;

	Backend(Store store, String id, String service, String host, int port, int slots, Handler handler)
			throws IOException {
		this.store = store;
		this.id = id;
		this.host = host;
		this.port = port;
		this.handler = handler;
		this.listener = new ServerSocket(port, 256, InetAddress.getByName(host));
		this.record.putAll(Map.of("service", service, "address", host + ":" + port, "zone", "z1", "version", "1",
				"slots", slots, "state", "ready", Wire.name("field.cold"), 0, "born", System.currentTimeMillis()));
		thread(this::accept);
	}

	static void thread(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	synchronized void register() {
		this.registered = true;
		Map<String, Object> written = new HashMap<>(this.record);
		written.put("sequence", ++this.sequence);
		this.store.put(Wire.name("key.server") + this.id, written);
	}

	synchronized void deregister() {
		this.registered = false;
		this.store.remove(Wire.name("key.server") + this.id);
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				this.sockets.add(socket);
				thread(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The server has ended.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			for (Http request = Http.read(in, false); request != null && request.complete; request = Http.read(in,
					false)) {
				String expected = request.field(Wire.name("header.expect"));
				if (expected != null && !expected.equals(this.id)) {
					answer(socket.getOutputStream(), 421, request, Map.of(Wire.name("header.notrun"), "1"), "");
				}
				else if (!this.handler.handle(request, socket.getOutputStream(), socket)) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The caller has closed the connection.
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	void end() throws IOException {
		this.listener.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	static void answer(OutputStream out, int status, Http request, Map<String, String> fields, String body)
			throws IOException {
		StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
		String attempt = request.field(Wire.name("header.id"));
		if (attempt != null) {
			head.append(Wire.name("header.id")).append(": ").append(attempt).append("\r\n");
		}
		fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
		head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
		out.write((head + body).getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

}
