package org.monsoonvalve.review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream. */
public final class Http {

	private Http() {
	}

	/** The first line and the headers, with names in lower case. */
	public record Head(String line, Map<String, String> headers) {

		public String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		public boolean closes() {
			return header("Connection").toLowerCase(Locale.ROOT).contains("close");
		}

		/** The status of a response. */
		public int status() {
			return Integer.parseInt(this.line.split(" ")[1]);
		}

	}

	/** Reads a line; null at the end of the stream before the first byte. */
	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				if (bytes.size() == 0) {
					return null;
				}
				throw new EOFException("the stream ended in a line");
			}
			bytes.write(next);
		}
		return bytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
	}

	/** Reads a head; null if the stream ends before it. */
	public static Head head(InputStream in) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String next = line(in); next == null || !next.isEmpty(); next = line(in)) {
			if (next == null) {
				throw new EOFException("the stream ended in the headers");
			}
			int colon = next.indexOf(':');
			headers.put(next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).strip());
		}
		return new Head(first, headers);
	}

	/** Reads a body that is complete by its length or its chunks. */
	public static byte[] body(InputStream in, Head head) throws IOException {
		if (!head.header("Transfer-Encoding").isEmpty()) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			while (true) {
				String size = line(in);
				if (size == null) {
					throw new EOFException("the stream ended before the last chunk");
				}
				int length = Integer.parseInt(size.split(";")[0].strip(), 16);
				body.write(exactly(in, length));
				line(in);
				if (length == 0) {
					return body.toByteArray();
				}
			}
		}
		String length = head.header("Content-Length");
		return length.isEmpty() ? new byte[0] : exactly(in, Integer.parseInt(length));
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the stream ended in the body");
		}
		return bytes;
	}

}
