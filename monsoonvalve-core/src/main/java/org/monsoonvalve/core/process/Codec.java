package org.monsoonvalve.core.process;

import java.io.IOException;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import org.monsoonvalve.core.connection.Member;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes values as JSON, YAML or MessagePack.
 *
 * @author monsoonvalve maintainers
 */
public enum Codec {

	/** JSON, for callers, endpoints and the platform; unknown fields are ignored. */
	JSON(new ObjectMapper()),

	/** YAML, for operators' documents; unknown fields are rejected. */
	YAML(new ObjectMapper(new YAMLFactory()).enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)),

	/** MessagePack, for messages between processes; unknown fields are ignored. */
	MESSAGE_PACK(new ObjectMapper(new MessagePackFactory()));

	private final ObjectMapper mapper;

	Codec(ObjectMapper mapper) {
		this.mapper = mapper;
		if ("MESSAGE_PACK".equals(name())) {
			mapper.addMixIn(Member.class, AsArray.class);
		}
		if (!"YAML".equals(name())) {
			mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
		}
	}

	/**
	 * Encodes a value.
	 * @param value the value
	 * @return the encoded value
	 * @throws ServingException with {@link FailureCode#MALFORMED_CONTENT} if the value
	 * can't be serialized
	 */
	public byte[] encode(Object value) {
		try {
			return this.mapper.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new ServingException(FailureCode.MALFORMED_CONTENT, ex.getOriginalMessage(), ex);
		}
	}

	/**
	 * Decodes a value of a given type.
	 * @param bytes the encoded value
	 * @param type the type of the value
	 * @param <T> the type of the value
	 * @return the decoded value
	 * @throws ServingException with {@link FailureCode#MALFORMED_CONTENT} if the bytes
	 * can't be decoded as that type
	 */
	public <T> T decode(byte[] bytes, Class<T> type) {
		try {
			return this.mapper.readValue(bytes, type);
		}
		catch (IOException ex) {
			throw new ServingException(FailureCode.MALFORMED_CONTENT, ex.getMessage(), ex);
		}
	}

	/**
	 * Decodes a value as a tree of nodes.
	 * @param bytes the encoded value
	 * @return the tree
	 * @throws ServingException with {@link FailureCode#MALFORMED_CONTENT} if the bytes
	 * are malformed
	 */
	public JsonNode tree(byte[] bytes) {
		return decode(bytes, JsonNode.class);
	}

	/**
	 * Creates an empty object node.
	 * @return the node
	 */
	public ObjectNode object() {
		return this.mapper.createObjectNode();
	}

	/**
	 * Converts a value to a tree of nodes.
	 * @param value the value
	 * @return the tree
	 */
	public JsonNode toTree(Object value) {
		return this.mapper.valueToTree(value);
	}

	/**
	 * Mix-in that encodes a record as an array, without its field names.
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	private interface AsArray {

	}

}
