package org.monsoonvalve.review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of a plain service: a fixed number of requests at once, and a short queue. */
public class PlainServer implements AutoCloseable {

	private final String id;

	private final int slots;

	private final int queue;

	private final long workMillis;

	private final Log log;

	private final ServerSocket listener;

	private final Semaphore places;

	private final AtomicInteger present = new AtomicInteger();

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final long bornMillis = System.currentTimeMillis();

	public PlainServer(String id, String host, int slots, int queue, long workMillis, Log log) throws IOException {
		this.id = id;
		this.slots = slots;
		this.queue = queue;
		this.workMillis = workMillis;
		this.log = log;
		this.places = new Semaphore(slots, true);
		this.listener = new ServerSocket(0, 100, InetAddress.getByName(host));
	}

	public void start() {
		this.threads.execute(this::accept);
	}

	public String id() {
		return this.id;
	}

	public Log log() {
		return this.log;
	}

	/** Returns the server's record in the store. */
	public String record(String service, String zone, String state, long sequence) {
		return Wire.shared("server.json", "service", service, "address",
				this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort(), "zone", zone,
				"slots", this.slots, "state", state, "sequence", sequence, "born", this.bornMillis);
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				this.sockets.add(socket);
				this.threads.execute(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			for (Http.Head head = Http.head(in); head != null; head = Http.head(in)) {
				byte[] body = Http.body(in, head);
				answer(head, body, out);
				out.flush();
				if (head.closes()) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The caller or this server has closed the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	private void answer(Http.Head head, byte[] body, OutputStream out) throws IOException, InterruptedException {
		String request = head.header(Wire.name("header.request"));
		String expected = head.header(Wire.name("header.expected"));
		if (!expected.isEmpty() && !expected.equals(this.id)) {
			write(out, request, "421 Misdirected Request", Wire.name("header.notRun") + ": 1\r\n", "");
			return;
		}
		if (this.present.incrementAndGet() > this.slots + this.queue) {
			this.present.decrementAndGet();
			write(out, request, "503 Service Unavailable", Wire.name("header.notRun") + ": 1\r\n", "");
			return;
		}
		try {
			this.places.acquire();
			try {
				ran(request, head, body);
				TimeUnit.MILLISECONDS
					.sleep(Math.round(this.workMillis * ThreadLocalRandom.current().nextDouble(0.6, 1.4)));
			}
			finally {
				this.places.release();
			}
		}
		finally {
			this.present.decrementAndGet();
		}
		write(out, request, "200 OK", moreHeaders(), "done " + request);
	}

	/** Called when a request begins to run. */
	protected void ran(String request, Http.Head head, byte[] body) {
		this.log.add("server " + this.id + " runs " + request + " (" + body.length + " bytes)");
	}

	/** More headers of an answer. */
	protected String moreHeaders() {
		return "";
	}

	private void write(OutputStream out, String request, String status, String more, String content)
			throws IOException {
		String seal = this.id + "." + Integer.toHexString((this.id + request + content).hashCode());
		out.write(String
			.format(Locale.ROOT, "HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\n%s: %d,%d,%d\r\n%sContent-Length: %d\r\n\r\n%s",
					status, Wire.name("header.request"), request, Wire.name("header.seal"), seal,
					Wire.name("header.load"), Math.min(this.slots, this.present.get()),
					Math.max(0, this.present.get() - this.slots), this.slots, more, content.length(), content)
			.getBytes(StandardCharsets.ISO_8859_1));
	}

	@Override
	public void close() {
		try {
			this.listener.close();
			for (Socket socket : this.sockets) {
				socket.close();
			}
		}
		catch (IOException ex) {
			this.log.add("server " + this.id + ": " + ex.getMessage());
		}
		this.threads.shutdownNow();
	}

}
