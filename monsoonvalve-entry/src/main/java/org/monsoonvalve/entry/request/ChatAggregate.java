package org.monsoonvalve.entry.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.monsoonvalve.core.process.Codec;

/**
 * Builds the whole answer of the chat API from the events of a stream.
 *
 * @author monsoonvalve maintainers
 */
public final class ChatAggregate {

	private final StringBuilder content = new StringBuilder();

	private JsonNode first = Codec.JSON.object();

	private String finishReason = "stop";

	private JsonNode usage = Codec.JSON.object();

	private int tokens;

	private ChatAggregate() {
	}

	/**
	 * Creates an aggregate without events.
	 * @return the aggregate
	 */
	public static ChatAggregate create() {
		return new ChatAggregate();
	}

	/**
	 * Takes in the content of an event.
	 * @param data the event's JSON
	 */
	public void add(String data) {
		JsonNode chunk = Codec.JSON.tree(data.getBytes(java.nio.charset.StandardCharsets.UTF_8));
		if (this.first.isEmpty()) {
			this.first = chunk;
		}
		JsonNode choice = chunk.path("choices").path(0);
		JsonNode delta = choice.path("delta").path("content");
		if (delta.isTextual()) {
			this.content.append(delta.asText());
			this.tokens++;
		}
		if (choice.path("finish_reason").isTextual()) {
			this.finishReason = choice.path("finish_reason").asText();
		}
		if (chunk.path("usage").isObject()) {
			this.usage = chunk.path("usage");
		}
	}

	/**
	 * Builds the answer.
	 * @return the answer's JSON
	 */
	public JsonNode answer() {
		ObjectNode answer = Codec.JSON.object();
		answer.put("id", this.first.path("id").asText(""));
		answer.put("object", "chat.completion");
		answer.put("created", this.first.path("created").asLong());
		answer.put("model", this.first.path("model").asText(""));
		ObjectNode choice = answer.putArray("choices").addObject();
		choice.put("index", 0);
		ObjectNode message = choice.putObject("message");
		message.put("role", "assistant");
		message.put("content", this.content.toString());
		choice.put("finish_reason", this.finishReason);
		ObjectNode counts = answer.putObject("usage");
		counts.put("prompt_tokens", this.usage.path("prompt_tokens").asInt());
		counts.put("completion_tokens", this.usage.path("completion_tokens").asInt(this.tokens));
		counts.put("total_tokens",
				this.usage.path("total_tokens").asInt(counts.path("prompt_tokens").asInt() + this.tokens));
		return answer;
	}

}
