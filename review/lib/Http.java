package org.monsoonvalve.review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and formats HTTP/1.1 messages. */
final class Http {

	private Http() {
	}

	/**
	 * A message.
	 *
	 * @param startLine the request line or status line
	 * @param headers the first value of each field, by name in lower case
	 * @param body the body without framing
	 * @param complete whether the message ended as its framing says
	 */
	record Message(String startLine, Map<String, String> headers, byte[] body, boolean complete) {

		String method() {
			return this.startLine.split(" ")[0];
		}

		String target() {
			return this.startLine.split(" ")[1];
		}

		String path() {
			return target().split("\\?", 2)[0];
		}

		int status() {
			return Integer.parseInt(this.startLine.split(" ")[1]);
		}

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

		String query(String name, String fallback) {
			String[] parts = target().split("\\?", 2);
			for (String each : (parts.length > 1) ? parts[1].split("&") : new String[0]) {
				if (each.startsWith(name + "=")) {
					return java.net.URLDecoder.decode(each.substring(name.length() + 1), StandardCharsets.UTF_8);
				}
			}
			return fallback;
		}

	}

	/** Reads the start line and the fields; null at the end of the connection. */
	static Message readHead(InputStream in) throws IOException {
		String start = readLine(in);
		if (start == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>();
		for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			headers.putIfAbsent(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
		return new Message(start, headers, new byte[0], false);
	}

	static Message readRequest(InputStream in) throws IOException {
		Message head = readHead(in);
		return (head != null) ? withBody(in, head, false) : null;
	}

	/** Reads a response; it is marked as incomplete if its connection ends or is reset before its end. */
	static Message readResponse(InputStream in) throws IOException {
		Message head = readHead(in);
		return (head != null) ? withBody(in, head, true) : null;
	}

	private static Message withBody(InputStream in, Message head, boolean response) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		boolean complete = true;
		try {
			if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
				for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
					copy(in, body, size);
					readLine(in);
				}
				readLine(in);
			}
			else if (!head.header("Content-Length").isEmpty()) {
				copy(in, body, Long.parseLong(head.header("Content-Length")));
			}
			else if (response) {
				in.transferTo(body);
			}
		}
		catch (IOException ex) {
			complete = false;
		}
		return new Message(head.startLine(), head.headers(), body.toByteArray(), complete);
	}

	private static int chunkSize(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null) {
			throw new EOFException();
		}
		return Integer.parseInt(line.split(";")[0].strip(), 16);
	}

	private static void copy(InputStream in, ByteArrayOutputStream out, long length) throws IOException {
		byte[] buffer = new byte[16384];
		for (long left = length; left > 0;) {
			int count = in.read(buffer, 0, (int) Math.min(left, buffer.length));
			if (count < 0) {
				throw new EOFException();
			}
			out.write(buffer, 0, count);
			left -= count;
		}
	}

	private static String readLine(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = in.read(); next >= 0; next = in.read()) {
			if (next == '\n') {
				return line.toString();
			}
			if (next != '\r') {
				line.append((char) next);
			}
		}
		return null;
	}

	/** Formats a message; headers come in pairs of name and value. */
	static byte[] format(String startLine, byte[] body, String... headers) {
		StringBuilder head = new StringBuilder(startLine).append("\r\n");
		for (int i = 0; i < headers.length; i += 2) {
			head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
		}
		head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
		ByteArrayOutputStream message = new ByteArrayOutputStream();
		message.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		message.writeBytes(body);
		return message.toByteArray();
	}

}
