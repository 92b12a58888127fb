package org.monsoonvalve.entry.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * A checked request of the chat API.
 *
 * @author monsoonvalve maintainers
 * @param model the model asked for
 * @param stream whether the caller wants a stream of events
 * @param affinity what requests that share a prompt prefix have in common
 * @param upstreamBody the content sent to the engine, which always asks for a stream
 */
public record ChatRequest(String model, boolean stream, String affinity, byte[] upstreamBody) {

	private static final int AFFINITY_CHARACTERS = 512;

	/**
	 * Parses and checks a request.
	 * @param body the request's content
	 * @return the request
	 * @throws ServingException with {@link FailureCode#MALFORMED_CONTENT} or
	 * {@link FailureCode#INVALID_REQUEST}
	 */
	public static ChatRequest of(byte[] body) {
		JsonNode tree = Codec.JSON.tree(body);
		if (!(tree instanceof ObjectNode request)) {
			throw invalid("the content must be a JSON object");
		}
		JsonNode model = request.path("model");
		if (!model.isTextual() || model.asText().isBlank()) {
			throw invalid("'model' must be the name of a model");
		}
		JsonNode messages = request.path("messages");
		if (!messages.isArray() || messages.isEmpty()) {
			throw invalid("'messages' must be a list that is not empty");
		}
		for (int i = 0; i < messages.size(); i++) {
			if (!messages.get(i).path("role").isTextual()) {
				throw invalid("'messages[" + i + "].role' must be text");
			}
		}
		JsonNode stream = request.path("stream");
		if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
			throw invalid("'stream' must be true or false");
		}
		String prefix = messages.toString();
		ObjectNode upstream = request.deepCopy();
		upstream.put("stream", true);
		return new ChatRequest(model.asText(), stream.asBoolean(false),
				prefix.substring(0, Math.min(AFFINITY_CHARACTERS, prefix.length())), Codec.JSON.encode(upstream));
	}

	private static ServingException invalid(String detail) {
		return new ServingException(FailureCode.INVALID_REQUEST, detail);
	}

}
