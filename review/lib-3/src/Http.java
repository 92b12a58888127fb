import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** One HTTP message as it was read. */
final class Http {

	String startLine;

	final Map<String, String> fields = new LinkedHashMap<>();

	byte[] body = new byte[0];

	/** Whether the message ended as its framing says. */
	boolean complete;

	int status() {
		return (this.startLine == null) ? 0 : Integer.parseInt(this.startLine.split(" ")[1]);
	}

	String field(String name) {
		return this.fields.get(name.toLowerCase());
	}

	String text() {
		return new String(this.body, StandardCharsets.ISO_8859_1);
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next >= 0 && next != '\n') {
			if (next != '\r') {
				text.write(next);
			}
			next = in.read();
		}
		return text.toString(StandardCharsets.ISO_8859_1);
	}

	// Returns null if the connection ended before a message began.
	static Http read(BufferedInputStream in, boolean response) throws IOException {
		Http message = new Http();
		message.startLine = line(in);
		if (message.startLine == null) {
			return null;
		}
		for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			message.fields.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		try {
			if ("chunked".equalsIgnoreCase(message.field("transfer-encoding"))) {
				while (true) {
					String size = line(in);
					if (size == null) {
						break;
					}
					int length = Integer.parseInt(size.split(";")[0].strip(), 16);
					byte[] part = in.readNBytes(length);
					body.write(part);
					if (part.length < length) {
						break;
					}
					String end = line(in);
					if (length == 0) {
						message.complete = end != null;
						break;
					}
				}
			}
			else if (message.field("content-length") != null) {
				int length = Integer.parseInt(message.field("content-length"));
				byte[] part = in.readNBytes(length);
				body.write(part);
				message.complete = part.length == length;
			}
			else if (response) {
				in.transferTo(body);
				message.complete = true;
			}
			else {
				message.complete = true;
			}
		}
		catch (IOException ex) {
			message.complete = false;
		}
		message.body = body.toByteArray();
		return message;
	}

}
