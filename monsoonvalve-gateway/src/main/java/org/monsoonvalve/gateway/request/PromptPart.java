package org.monsoonvalve.gateway.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Identifies a part of a prompt, such as an instruction or a document, that several
 * requests may share.
 *
 * @author monsoonvalve maintainers
 * @param id the identifier, which depends on the content of the part alone
 */
public record PromptPart(long id) {

	/**
	 * Maximum number of parts of one prompt that are examined; callers choose how many
	 * they name.
	 */
	static final int MAX_PARTS = 16;

	private static final int MAX_HEX_DIGITS = 16;

	private static final int HEX_RADIX = 16;

	/**
	 * Decodes the shared parts of a prompt.
	 * @param list the parts in order, separated by commas, each with its identifier and
	 * its number of tokens, separated by a colon
	 * @return the parts without the last one, which belongs to the request itself; at
	 * most {@value #MAX_PARTS}
	 */
	public static List<PromptPart> sharedParts(Optional<String> list) {
		List<String> names = list.map((text) -> Arrays.asList(text.split(",", MAX_PARTS + 2))).orElse(List.of());
		return names.stream()
			.limit(Math.max(0, names.size() - 1))
			.limit(MAX_PARTS)
			.map((part) -> of(part.split(":", 2)[0].strip()))
			.distinct()
			.toList();
	}

	// Identifiers longer than 64 bits are hashed.
	private static PromptPart of(String name) {
		if (!name.isEmpty() && name.length() <= MAX_HEX_DIGITS
				&& name.chars().allMatch((digit) -> Character.digit(digit, HEX_RADIX) >= 0)) {
			return new PromptPart(Long.parseUnsignedLong(name, HEX_RADIX));
		}
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
			return new PromptPart(ByteBuffer.wrap(digest).getLong());
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	@Override
	public String toString() {
		return Long.toHexString(this.id);
	}

}
