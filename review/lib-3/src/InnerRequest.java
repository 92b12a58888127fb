import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client sends requests whose bodies read like requests. The method is one that defines
 * no meaning for a body; the length of the body is stated in the usual way.
 */
final class InnerRequest {

	private static final int REQUESTS = 10;

	private static final Set<String> INNER = ConcurrentHashMap.newKeySet();

	private static final Set<String> RAN_INNER = ConcurrentHashMap.newKeySet();

	private InnerRequest() {
	}

	public static void main(String[] arguments) {
		Deployment.play(() -> {
			Deployment deployment = new Deployment().configure(Files.readString(Wire.LIB.resolve("planting.json")));
			for (int i = 0; i < 3; i++) {
				String name = "s" + i;
				deployment.server(name, "desk", i, (request, out, socket) -> {
					String id = request.field(Wire.name("header.id"));
					Record.line("server %s runs %s: %s, body of %d bytes", name, id, request.startLine,
							request.body.length);
					if (INNER.contains(id)) {
						RAN_INNER.add(id);
					}
					Wire.sleep(20);
					Backend.answer(out, 200, request, Map.of(Wire.name("header.seal"), "seal-" + name), "done");
					return true;
				});
			}
			deployment.beat();
			Gateway gateway = deployment.gateway(1);
			Wire.sleep(4000);
			String method = Deployment.trouble() ? "TRACE" : "POST";
			for (int i = 0; i < REQUESTS; i++) {
				INNER.add("inner-" + i);
				String inner = "POST /book/lorry HTTP/1.1\r\nHost: h.example\r\n" + Wire.name("header.id") + ": inner-"
						+ i + "\r\n" + Wire.name("header.deadline") + ": 4000\r\nContent-Length: 9\r\n\r\none lorry";
				try (Caller caller = new Caller(gateway)) {
					caller.socket.setSoTimeout(5000);
					Record.line("client sends outer-%d, %s with a body of %d bytes", i, method,
							inner.getBytes(StandardCharsets.ISO_8859_1).length);
					caller.send(method, "/book/lorry", "outer-" + i, Map.of(Wire.name("header.deadline"), "4000"), inner);
					Http answer = caller.receive();
					Record.line("client gets %s for outer-%d", (answer != null) ? answer.startLine : "no answer", i);
					// An answer to nothing that the client has sent would follow now.
					Wire.sleep(200);
					if (caller.in.available() > 0) {
						Http second = caller.receive();
						Record.line("client gets another answer, %s for %s", second.startLine,
								second.field(Wire.name("header.id")));
					}
				}
			}
			Record.line("%d requests ran that were only the bodies of others", RAN_INNER.size());
			return !RAN_INNER.isEmpty();
		});
	}

}
