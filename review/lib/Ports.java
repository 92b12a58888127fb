package org.monsoonvalve.review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Loopback addresses that belong to one run, and free ports on them. */
final class Ports {

	private static final long PID = ProcessHandle.current().pid();

	private static int next = 21_000 + (int) (PID % 500) * 8;

	private Ports() {
	}

	static String ip(int number) {
		return "127." + (1 + PID / 250 % 120) + "." + (1 + PID % 250) + "." + number;
	}

	/** Returns the first of eight ports in a row that are free. */
	static synchronized int free(String ip) throws IOException {
		for (int tries = 0; tries < 100; tries++) {
			int first = next;
			next += 8;
			boolean free = true;
			for (int port = first; port < first + 8 && free; port++) {
				try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
					free = probe.isBound();
				}
				catch (IOException ex) {
					free = false;
				}
			}
			if (free) {
				return first;
			}
		}
		throw new IOException("no free ports on " + ip);
	}

}
