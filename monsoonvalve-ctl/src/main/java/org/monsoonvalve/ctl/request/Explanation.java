package org.monsoonvalve.ctl.request;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.request.ServingException;

/**
 * What the logs of several processes say of one request: its own lines, and those of the
 * endpoints that it was sent to, in the order of their wall-clock times.
 *
 * @author monsoonvalve maintainers
 * @param request the request's identifier
 * @param lines the lines that concern it
 */
public record Explanation(String request, List<JsonNode> lines) {

	/** How long before the request an endpoint's lines may explain it. */
	private static final long BEFORE_MILLIS = 10_000;

	/** How long after it; a lost member's record ends some seconds after the member. */
	private static final long AFTER_MILLIS = 8000;

	private static final Set<String> ENDS = Set.of("REQUEST_REFUSED", "REQUEST_FAILED", "REQUEST_ANSWERED",
			"REQUEST_ABANDONED");

	/**
	 * Copies the lines.
	 */
	public Explanation {
		lines = List.copyOf(lines);
	}

	/**
	 * Gathers the lines that concern a request.
	 * @param request the request's identifier
	 * @param log lines of any processes in any order; text before a line's JSON object is
	 * skipped, and lines without one are left out
	 * @return the explanation
	 */
	public static Explanation of(String request, Stream<String> log) {
		List<JsonNode> all = log.flatMap((line) -> parse(line).stream()).toList();
		List<JsonNode> own = all.stream().filter((line) -> request.equals(line.path("request").asText())).toList();
		Set<String> endpoints = own.stream()
			.map((line) -> line.path("endpoint").asText())
			.filter((endpoint) -> !endpoint.isEmpty())
			.collect(Collectors.toSet());
		Set<String> parts = own.stream()
			.map((line) -> line.path("part").asText())
			.filter((part) -> !part.isEmpty())
			.collect(Collectors.toSet());
		long from = own.stream().mapToLong(Explanation::wallMillis).min().orElse(0) - BEFORE_MILLIS;
		long to = own.stream().mapToLong(Explanation::wallMillis).max().orElse(0) + AFTER_MILLIS;
		Stream<JsonNode> related = all.stream()
			.filter((line) -> !line.has("request"))
			.filter((line) -> blocks(line, parts) || (wallMillis(line) >= from && wallMillis(line) <= to
					&& endpoints.stream().anyMatch((endpoint) -> names(line, endpoint))));
		return new Explanation(request,
				Stream.concat(own.stream(), related)
					.sorted(Comparator.comparingLong(Explanation::wallMillis))
					.toList());
	}

	private static Optional<JsonNode> parse(String line) {
		int start = line.indexOf('{');
		try {
			return (start < 0) ? Optional.empty()
					: Optional.of(Codec.JSON.tree(line.substring(start).getBytes(StandardCharsets.UTF_8)));
		}
		catch (ServingException ex) {
			// A line that was cut off, as at the end of a killed process, says nothing.
			return Optional.empty();
		}
	}

	// A part may have been blocked long before the request.
	private static boolean blocks(JsonNode line, Set<String> parts) {
		return line.path("name").asText().startsWith("PROMPT_PART_") && parts.contains(line.path("part").asText());
	}

	private static boolean names(JsonNode line, String endpoint) {
		return line.path("endpoint").asText().equals(endpoint) || line.path("members").asText().contains(endpoint);
	}

	private static long wallMillis(JsonNode line) {
		return line.path("wall_ms").asLong();
	}

	/**
	 * Says how the request ended and which inputs decided it.
	 * @return one sentence, empty if no line shows the end
	 */
	public Optional<String> cause() {
		return this.lines.stream()
			.filter((line) -> this.request.equals(line.path("request").asText()))
			.filter((line) -> ENDS.contains(line.path("name").asText()))
			.reduce((first, last) -> last)
			.map(this::sentence);
	}

	private String sentence(JsonNode end) {
		String inputs = " after %d sends, %d ms old, view %s".formatted(end.path("sends").asInt(),
				end.path("age_ms").asLong(), end.path("view").asText())
				+ (end.has("configuration") ? ", configuration " + end.path("configuration").asLong() : "");
		return switch (end.path("name").asText()) {
			case "REQUEST_REFUSED" -> "refused as not run (" + end.path("code").asText() + "): "
					+ end.path("reason").asText() + ", " + end.path("candidates").asInt() + " candidates" + inputs;
			case "REQUEST_FAILED" ->
				"failed and may have run (" + end.path("code").asText() + "): " + end.path("reason").asText() + inputs;
			case "REQUEST_ABANDONED" -> "the caller left" + inputs;
			default -> "answered %d, first byte after %d ms, longest pause %d ms%s".formatted(
					end.path("status").asInt(), end.path("first_ms").asLong(), end.path("gap_ms").asLong(), inputs);
		};
	}

}
