import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client's connection to a gateway. */
final class Caller implements AutoCloseable {

	final Socket socket = new Socket();

	final BufferedInputStream in;

	Caller(Gateway gateway) throws IOException {
		this.socket.setTcpNoDelay(true);
		this.socket.connect(new InetSocketAddress(gateway.host, 18080), 1000);
		this.socket.setSoTimeout(20_000);
		this.in = new BufferedInputStream(this.socket.getInputStream());
	}

	void send(String method, String target, String id, Map<String, String> fields, String body) throws IOException {
		StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: h.example\r\n");
		head.append(Wire.name("header.id")).append(": ").append(id).append("\r\n");
		fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		if (body != null) {
			head.append("Content-Length: ").append(body.length()).append("\r\n");
		}
		head.append("\r\n");
		if (body != null) {
			head.append(body);
		}
		this.socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		this.socket.getOutputStream().flush();
	}

	Http receive() throws IOException {
		return Http.read(this.in, true);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
