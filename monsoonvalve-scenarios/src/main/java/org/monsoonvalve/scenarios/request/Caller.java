package org.monsoonvalve.scenarios.request;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.request.Problem;
import org.monsoonvalve.scenarios.request.Observation.Outcome;
import org.monsoonvalve.standins.request.TokenStream;

/**
 * Sends requests to entries as callers do and checks each answer against what the
 * stand-ins must have given.
 *
 * @author monsoonvalve maintainers
 */
public final class Caller {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);

	private static final int FIRST_NON_SUCCESS = 300;

	private static final Clock CLOCK = Clock.systemUTC();

	private static final String DATA = "data: ";

	private static final String DONE = "[DONE]";

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(CONNECT_TIMEOUT)
		.build();

	/**
	 * Sends a request and waits for its outcome.
	 * @param call the request
	 * @return what came of it
	 */
	public Observation send(Call call) {
		String clientId = UUID.randomUUID().toString();
		HttpRequest request = (call.kind() == CallKind.CHAT) ? chat(call, clientId) : service(call, clientId);
		Tracker tracker = new Tracker(call, clientId);
		try {
			HttpResponse<Stream<String>> response = this.client.send(request, HttpResponse.BodyHandlers.ofLines());
			return tracker.judge(response);
		}
		catch (ConnectException | HttpConnectTimeoutException ex) {
			return tracker.end(Outcome.NOT_CONNECTED, 0, "", ex.toString());
		}
		catch (IOException ex) {
			return tracker.end(Outcome.CUT, 0, "", ex.toString());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return tracker.end(Outcome.CUT, 0, "", ex.toString());
		}
	}

	private HttpRequest chat(Call call, String clientId) {
		ObjectNode body = Codec.JSON.object();
		body.put("model", call.pool());
		body.put("stream", call.stream());
		body.put("max_tokens", call.tokens());
		body.put("user", clientId);
		body.putArray("messages").addObject().put("role", "user").put("content", "question " + clientId);
		return request(call, "/v1/chat/completions").header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofByteArray(Codec.JSON.encode(body)))
			.build();
	}

	private HttpRequest service(Call call, String clientId) {
		boolean booking = call.kind() == CallKind.BOOKING;
		HttpRequest.Builder builder = request(call, "/services/" + call.pool() + (booking ? "/bookings" : "/stock"))
			.header("X-Client-Id", clientId);
		if (!call.key().isEmpty()) {
			builder.header("Idempotency-Key", call.key());
		}
		return booking ? builder.POST(HttpRequest.BodyPublishers.ofString("{\"plot\":7}")).build()
				: builder.GET().build();
	}

	private HttpRequest.Builder request(Call call, String path) {
		return HttpRequest.newBuilder(URI.create("http://" + call.entry() + path))
			.timeout(REQUEST_TIMEOUT)
			.header("Authorization", "Bearer " + call.workspaceKey());
	}

	/**
	 * A request to be sent.
	 *
	 * @param load the step that sends it
	 * @param kind what it is
	 * @param entry the entry's address
	 * @param pool the pool
	 * @param workspaceKey the workspace's key
	 * @param key the idempotency key, empty for none
	 * @param tokens how many tokens a chat asks for
	 * @param stream whether a chat asks for a stream
	 */
	public record Call(String load, CallKind kind, String entry, String pool, String workspaceKey, String key,
			int tokens, boolean stream) {

	}

	private static final class Tracker {

		private final Call call;

		private final String clientId;

		private final long sentMillis = CLOCK.millis();

		private long firstTokenMillis = -1;

		private Tracker(Call call, String clientId) {
			this.call = call;
			this.clientId = clientId;
		}

		private Observation judge(HttpResponse<Stream<String>> response) {
			List<String> lines = new ArrayList<>();
			try {
				response.body().forEach((line) -> {
					if (this.firstTokenMillis < 0 && line.startsWith(DATA)) {
						this.firstTokenMillis = CLOCK.millis() - this.sentMillis;
					}
					lines.add(line);
				});
			}
			catch (RuntimeException ex) {
				return end(Outcome.CUT, response.statusCode(), "", ex.toString());
			}
			String type = response.headers().firstValue("Content-Type").orElse("");
			String body = String.join("\n", lines);
			if (type.startsWith(Problem.MEDIA_TYPE)) {
				JsonNode problem = Codec.JSON.tree(body.getBytes(StandardCharsets.UTF_8));
				return end(Outcome.REFUSED, response.statusCode(), problem.path("run").asText(),
						problem.path("code").asText() + ": " + problem.path("detail").asText());
			}
			if (response.statusCode() >= FIRST_NON_SUCCESS) {
				return end(Outcome.WRONG, response.statusCode(), "", body);
			}
			return judgeContent(response, lines, body);
		}

		private Observation judgeContent(HttpResponse<Stream<String>> response, List<String> lines, String body) {
			boolean right = switch (this.call.kind()) {
				case CHAT -> this.call.stream() ? rightStream(lines) : rightText(body);
				case READ -> rightEcho(body);
				case BOOKING -> rightEcho(body) || response.headers().firstValue("Idempotency-Replayed").isPresent();
			};
			return end(right ? Outcome.ANSWERED : Outcome.WRONG, response.statusCode(), "",
					right ? "" : "content: " + body);
		}

		private boolean rightEcho(String body) {
			return Codec.JSON.tree(body.getBytes(StandardCharsets.UTF_8))
				.path("clientId")
				.asText()
				.equals(this.clientId);
		}

		private boolean rightStream(List<String> lines) {
			List<String> data = lines.stream()
				.filter((line) -> line.startsWith(DATA))
				.map((line) -> line.substring(DATA.length()))
				.toList();
			if (data.isEmpty() || !data.get(data.size() - 1).equals(DONE)) {
				return false;
			}
			List<String> tokens = data.subList(0, data.size() - 1)
				.stream()
				.map((event) -> Codec.JSON.tree(event.getBytes(StandardCharsets.UTF_8))
					.path("choices")
					.path(0)
					.path("delta")
					.path("content"))
				.filter(JsonNode::isTextual)
				.map(JsonNode::asText)
				.toList();
			return tokens.equals(expectedTokens());
		}

		private boolean rightText(String body) {
			String text = Codec.JSON.tree(body.getBytes(StandardCharsets.UTF_8))
				.path("choices")
				.path(0)
				.path("message")
				.path("content")
				.asText();
			return text.equals(String.join("", expectedTokens()));
		}

		private List<String> expectedTokens() {
			ObjectNode request = Codec.JSON.object();
			request.put("max_tokens", this.call.tokens());
			request.putArray("messages").addObject().put("role", "user").put("content", "question " + this.clientId);
			TokenStream expected = TokenStream.of(request, "", "");
			return IntStream.range(0, this.call.tokens()).mapToObj(expected::token).toList();
		}

		private Observation end(Outcome outcome, int status, String run, String detail) {
			return new Observation(this.call.load(), this.clientId, this.call.key(), this.call.entry(), this.sentMillis,
					CLOCK.millis(), this.firstTokenMillis, outcome, status, run, detail);
		}

	}

}
