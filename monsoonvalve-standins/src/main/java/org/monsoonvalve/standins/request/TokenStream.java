package org.monsoonvalve.standins.request;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.codec.digest.MurmurHash3;
import org.monsoonvalve.core.process.Codec;

/**
 * The tokens that the stand-in engines generate for a prompt: the same on every engine,
 * so that a stream can be resumed anywhere and checked token by token.
 *
 * @author monsoonvalve maintainers
 */
public final class TokenStream {

	private static final int DEFAULT_TOKENS = 20;

	private static final int MAX_TOKENS = 100_000;

	private static final int SYLLABLES = 4096;

	private final String prompt;

	private final String model;

	private final String requestId;

	private final int tokens;

	private TokenStream(String prompt, String model, String requestId, int tokens) {
		this.prompt = prompt;
		this.model = model;
		this.requestId = requestId;
		this.tokens = tokens;
	}

	/**
	 * Creates the stream for a request.
	 * @param request the request's content
	 * @param model the model's name
	 * @param requestId the request's identifier
	 * @return the stream
	 */
	public static TokenStream of(JsonNode request, String model, String requestId) {
		int asked = request.path("max_tokens").asInt(request.path("max_completion_tokens").asInt(DEFAULT_TOKENS));
		return new TokenStream(request.path("messages").toString(), model, requestId,
				Math.max(1, Math.min(MAX_TOKENS, asked)));
	}

	/**
	 * Returns the number of the last event, which carries no token.
	 * @return the number of tokens
	 */
	public long length() {
		return this.tokens;
	}

	/**
	 * Generates a token.
	 * @param index its position, from 0
	 * @return the token
	 */
	public String token(long index) {
		byte[] seed = (this.prompt + index).getBytes(StandardCharsets.UTF_8);
		return " " + Integer.toString(Math.floorMod(MurmurHash3.hash32x86(seed), SYLLABLES), Character.MAX_RADIX);
	}

	/**
	 * Encodes an event.
	 * @param index its number, from 0
	 * @return the event's bytes
	 */
	public byte[] event(long index) {
		ObjectNode chunk = Codec.JSON.object();
		chunk.put("id", "chatcmpl-" + this.requestId);
		chunk.put("object", "chat.completion.chunk");
		chunk.put("created", 0);
		chunk.put("model", this.model);
		ObjectNode choice = chunk.putArray("choices").addObject();
		choice.put("index", 0);
		ObjectNode delta = choice.putObject("delta");
		if (index == 0) {
			delta.put("role", "assistant");
		}
		if (index < this.tokens) {
			delta.put("content", token(index));
			choice.putNull("finish_reason");
		}
		else {
			choice.put("finish_reason", "length");
		}
		String text = "id: " + index + "\ndata: " + new String(Codec.JSON.encode(chunk), StandardCharsets.UTF_8)
				+ "\n\n";
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
