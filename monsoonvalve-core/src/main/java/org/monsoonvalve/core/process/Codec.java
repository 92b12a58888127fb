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
 * Reads and writes typed values in the formats that the system uses.
 *
 * @author monsoonvalve maintainers
 */
public enum Codec {

	/** JSON, used towards callers, endpoints and the platform. */
	JSON(new ObjectMapper()),

	/** YAML, used for operators' documents; unknown fields are refused. */
	YAML(new ObjectMapper(new YAMLFactory()).enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)),

	/** MessagePack, used between the processes of the system. */
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
	 * @return its encoded form
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
	 * Decodes a value.
	 * @param bytes the encoded form
	 * @param type the type of the value
	 * @param <T> the type of the value
	 * @return the value
	 * @throws ServingException with {@link FailureCode#MALFORMED_CONTENT} if the bytes
	 * are not such a value
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
	 * Decodes a tree.
	 * @param bytes the encoded form
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
	 * Converts a typed value to a tree.
	 * @param value the value
	 * @return the tree
	 */
	public JsonNode toTree(Object value) {
		return this.mapper.valueToTree(value);
	}

	/**
	 * Drops the field names of a value.
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	private interface AsArray {

	}

}
