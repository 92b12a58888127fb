package org.monsoonvalve.review;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on a loopback address with one thread for each connection. */
abstract class Standin implements Closeable {

	private final ServerSocket listener;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	Standin(String ip, int port) throws IOException {
		this.listener = new ServerSocket();
		this.listener.setReuseAddress(true);
		this.listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
	}

	void start() {
		Threads.run(() -> {
			while (!this.listener.isClosed()) {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				this.sockets.add(socket);
				Threads.run(() -> serve(socket));
			}
		});
	}

	String address() {
		return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
	}

	private void serve(Socket socket) throws IOException {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
			Caller caller = new Caller(socket, in, socket.getOutputStream());
			for (Http.Message request = Http.readRequest(in); request != null; request = Http.readRequest(in)) {
				if (!request.complete()) {
					return;
				}
				handle(request, caller);
			}
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	abstract void handle(Http.Message request, Caller caller) throws IOException;

	void closeConnections() {
		this.sockets.forEach(Threads::close);
	}

	@Override
	public void close() {
		Threads.close(this.listener);
		closeConnections();
	}

	/** The connection that a request came on. */
	record Caller(Socket socket, InputStream in, OutputStream out) {

		void reply(int status, byte[] body, String... headers) throws IOException {
			this.out.write(Http.format("HTTP/1.1 " + status + " Status", body, headers));
			this.out.flush();
		}

	}

}
