package org.monsoonvalve.review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Forwards connections to an address; while it is cut, nothing passes and nothing is reset. */
public final class CutProxy implements AutoCloseable {

	private final ServerSocket listener;

	private final String host;

	private final int port;

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private volatile boolean cut;

	private CutProxy(ServerSocket listener, String address) {
		this.listener = listener;
		this.host = address.substring(0, address.lastIndexOf(':'));
		this.port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
	}

	public static CutProxy start(String address) throws IOException {
		CutProxy proxy = new CutProxy(new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1")), address);
		proxy.threads.execute(proxy::accept);
		return proxy;
	}

	public String address() {
		return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
	}

	public void cut(boolean isCut) {
		this.cut = isCut;
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket near = this.listener.accept();
				this.threads.execute(() -> connect(near));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void connect(Socket near) {
		try {
			awaitPath();
			Socket far = new Socket(this.host, this.port);
			this.threads.execute(() -> copy(near, far));
			copy(far, near);
		}
		catch (IOException ex) {
			// The peer sees the same as without a proxy.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void awaitPath() throws InterruptedException {
		while (this.cut) {
			Thread.sleep(10);
		}
	}

	private void copy(Socket from, Socket to) {
		byte[] bytes = new byte[16 * 1024];
		try (from; to) {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int length = in.read(bytes); length >= 0; length = in.read(bytes)) {
				awaitPath();
				out.write(bytes, 0, length);
			}
		}
		catch (IOException ex) {
			// One side has closed the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		try {
			this.listener.close();
		}
		catch (IOException ex) {
			// It is closed anyway.
		}
		this.threads.shutdownNow();
	}

}
