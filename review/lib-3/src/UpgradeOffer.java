import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/**
 * Clients that offer another protocol, as the standard client of Java does by default
 * with an Upgrade field in HTTP/1.1 requests. A gateway may ignore the offer.
 */
final class UpgradeOffer {

	private static final int CLIENTS = 16;

	/** As the route's configuration says. */
	private static final long TIMEOUT_MILLIS = 800;

	/** The clients' deadline, until which they wait. */
	private static final long DEADLINE_MILLIS = 1500;

	private UpgradeOffer() {
	}

	// Returns the time to the answer in ms, -1 without one until the deadline, which is
	// more than half a second after the timeout.
	private static long ask(Gateway gateway, boolean offer, int number) {
		HttpClient client = HttpClient.newBuilder()
			.version(offer ? HttpClient.Version.HTTP_2 : HttpClient.Version.HTTP_1_1)
			.build();
		String id = "book-" + number;
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + gateway.host + ":18080/book/lorry"))
			.timeout(Duration.ofMillis(DEADLINE_MILLIS))
			.header(Wire.name("header.id"), id)
			.header(Wire.name("header.deadline"), String.valueOf(DEADLINE_MILLIS))
			.POST(HttpRequest.BodyPublishers.ofString("one lorry"))
			.build();
		long sent = Wire.now();
		Record.line("client sends %s, offers another protocol: %s", id, offer);
		try {
			HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
			Record.line("client gets %d for %s: %s", answer.statusCode(), id, answer.body());
			return Wire.now() - sent;
		}
		catch (Exception ex) {
			Record.line("client has no answer for %s after %d ms: %s", id, Wire.now() - sent, ex);
			return -1;
		}
	}

	public static void main(String[] arguments) {
		Deployment.play(() -> {
			Deployment deployment = new Deployment()
				.configure(Files.readString(Wire.LIB.resolve("booking.json")).replace("h.example", Wire.host(1)));
			for (int i = 0; i < 3; i++) {
				deployment.server("s" + i, "desk", i, Deployment.working("s" + i, 20));
			}
			deployment.beat();
			Gateway gateway = deployment.gateway(1);
			// Past the time in which a machine counts as just started.
			Wire.sleep(4000);
			boolean trouble = Deployment.trouble();
			List<CompletableFuture<Long>> asked = IntStream.range(0, 2 * CLIENTS)
				.mapToObj((i) -> CompletableFuture.supplyAsync(() -> ask(gateway, trouble && i % 2 == 0, i),
						(task) -> Backend.thread(task)))
				.toList();
			List<Long> times = asked.stream().map(CompletableFuture::join).toList();
			long late = times.stream().filter((time) -> time < 0 || time >= TIMEOUT_MILLIS).count();
			long none = times.stream().filter((time) -> time < 0).count();
			Record.line("%d requests, %d unanswered at the timeout, %d of them unanswered half a second later",
					times.size(), late, none);
			return none >= 8 && 2 * none > late;
		});
	}

}
