package org.monsoonvalve.review;

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

/** Forwards connections from one loopback address to another one, and disturbs them. */
final class Proxy implements Closeable {

	private final ServerSocket listener;

	private final String targetIp;

	private final int targetPort;

	private final Set<Link> links = ConcurrentHashMap.newKeySet();

	private volatile boolean cut;

	Proxy(String ip, int port, String target) throws IOException {
		this.listener = new ServerSocket();
		this.listener.setReuseAddress(true);
		this.listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
		this.targetIp = target.split(":")[0];
		this.targetPort = Integer.parseInt(target.split(":")[1]);
		Threads.run(() -> {
			while (!this.listener.isClosed()) {
				Socket caller = this.listener.accept();
				Threads.run(() -> open(caller));
			}
		});
	}

	private static final class Link {

		private final Socket caller;

		private final Socket target;

		private volatile boolean silent;

		private Link(Socket caller, Socket target) {
			this.caller = caller;
			this.target = target;
		}

	}

	private void open(Socket caller) throws IOException, InterruptedException {
		while (this.cut) {
			Thread.sleep(20);
		}
		caller.setTcpNoDelay(true);
		Socket target = new Socket(this.targetIp, this.targetPort);
		target.setTcpNoDelay(true);
		Link link = new Link(caller, target);
		this.links.add(link);
		Threads.run(() -> copy(link, caller, target));
		Threads.run(() -> copy(link, target, caller));
	}

	// Bytes and closes that arrive on a silent link are dropped.
	private void copy(Link link, Socket from, Socket to) {
		byte[] buffer = new byte[65536];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				while (this.cut && !link.silent) {
					Thread.sleep(20);
				}
				if (!link.silent) {
					out.write(buffer, 0, count);
				}
			}
		}
		catch (IOException | InterruptedException ex) {
			// One side has reset the connection.
		}
		if (!link.silent) {
			Threads.close(link.caller);
			Threads.close(link.target);
			this.links.remove(link);
		}
	}

	String address() {
		return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
	}

	int openLinks() {
		return this.links.size();
	}

	/** Lets the connections that are open now pass nothing any more, without a reset; new ones work. */
	int silenceOpenLinks() {
		this.links.forEach((link) -> link.silent = true);
		return this.links.size();
	}

	/** Holds all bytes and new connections back, or lets them pass again. */
	void cut(boolean value) {
		this.cut = value;
	}

	void resetOpenLinks() {
		this.links.forEach((link) -> {
			Threads.close(link.caller);
			Threads.close(link.target);
		});
	}

	@Override
	public void close() {
		Threads.close(this.listener);
		resetOpenLinks();
	}

}
