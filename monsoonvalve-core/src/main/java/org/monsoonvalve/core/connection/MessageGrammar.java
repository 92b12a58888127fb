package org.monsoonvalve.core.connection;

import java.util.BitSet;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * The grammar of HTTP/1.1 messages (RFC 9110 and 9112), without the leniency that it
 * allows recipients: what two parsers may read differently is malformed. All methods
 * throw a {@link ServingException} with {@link FailureCode#MALFORMED_CONTENT}.
 *
 * @author monsoonvalve maintainers
 */
final class MessageGrammar {

	private static final Pattern STATUS_LINE = Pattern
		.compile("HTTP/1\\.([01]) ([1-5][0-9]{2})(?: [\\t\\x20-\\x7e\\x80-\\xff]*)?");

	private static final Pattern REQUEST_LINE = Pattern.compile("([^ ]+) [\\x21-\\x7e]+ HTTP/1\\.([01])");

	private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

	private static final Pattern CHUNK_SIZE = Pattern
		.compile("([0-9A-Fa-f]{1,15})(?:[ \\t]*;[\\t\\x20-\\x7e\\x80-\\xff]*)?");

	private static final int HEXADECIMAL = 16;

	private static final BitSet TOKEN_CHARACTERS = tokenCharacters();

	private MessageGrammar() {
	}

	private static BitSet tokenCharacters() {
		BitSet characters = new BitSet();
		characters.set('0', '9' + 1);
		characters.set('A', 'Z' + 1);
		characters.set('a', 'z' + 1);
		"!#$%&'*+-.^_`|~".chars().forEach(characters::set);
		return characters;
	}

	/**
	 * Parses the first line of a response.
	 * @param line the line without its end
	 * @return the version and the status, which is from 100 to 599
	 */
	static StartLine statusLine(String line) {
		Matcher matcher = matcher(STATUS_LINE, line, "status line");
		return new StartLine(!"0".equals(matcher.group(1)), Integer.parseInt(matcher.group(2)));
	}

	/**
	 * Parses the first line of a request.
	 * @param line the line without its end
	 * @return the version, with the status 0
	 */
	static StartLine requestLine(String line) {
		Matcher matcher = matcher(REQUEST_LINE, line, "request line");
		requireToken(matcher.group(1), "method");
		return new StartLine(!"0".equals(matcher.group(2)), 0);
	}

	/**
	 * Parses a field line.
	 * @param line the line without its end
	 * @return the field, its value without the white space around it
	 */
	static Headers.Field field(String line) {
		int colon = line.indexOf(':');
		if (colon < 0) {
			throw malformed("a line of the header section has no colon");
		}
		String name = line.substring(0, colon);
		requireToken(name, "field name");
		String value = trim(line.substring(colon + 1));
		requireFieldValue(value);
		return new Headers.Field(name, value);
	}

	// Other white space is not part of the grammar.
	private static String trim(String text) {
		int start = 0;
		int end = text.length();
		while (start < end && isBlank(text.charAt(start))) {
			start++;
		}
		while (end > start && isBlank(text.charAt(end - 1))) {
			end--;
		}
		return text.substring(start, end);
	}

	private static boolean isBlank(char character) {
		return character == ' ' || character == '\t';
	}

	private static void requireToken(String text, String what) {
		if (text.isEmpty() || !text.chars().allMatch(TOKEN_CHARACTERS::get)) {
			throw malformed("a " + what + " is not a token");
		}
	}

	/**
	 * Requires that a text can be sent or was received as the value of a field.
	 * @param value the value
	 */
	static void requireFieldValue(String value) {
		if (!value.chars().allMatch((character) -> character == '\t' || (character >= ' ' && character != 0x7f))) {
			throw malformed("a field value contains a control character");
		}
	}

	/**
	 * Parses the line before a chunk.
	 * @param line the line without its end
	 * @return the size of the chunk in bytes, 0 for the last one
	 */
	static long chunkSize(String line) {
		return Long.parseLong(matcher(CHUNK_SIZE, line, "chunk size").group(1), HEXADECIMAL);
	}

	/**
	 * Tells whether the content is sent in chunks.
	 * @param start the first line of the message
	 * @param headers the header fields
	 * @return {@code true} if it is chunked
	 */
	static boolean chunked(StartLine start, Headers headers) {
		long encodings = headers.count("Transfer-Encoding");
		if (encodings == 0) {
			return false;
		}
		boolean known = encodings == 1 && headers.get("Transfer-Encoding")
			.filter((coding) -> "chunked".equals(coding.toLowerCase(Locale.ROOT)))
			.isPresent();
		if (!known || !start.persistent() || headers.count("Content-Length") > 0) {
			throw malformed("the content has an ambiguous length");
		}
		return true;
	}

	/**
	 * Returns the length of content that is not sent in chunks.
	 * @param headers the header fields
	 * @return the length in bytes, empty if it is not stated
	 */
	static OptionalLong contentLength(Headers headers) {
		if (headers.count("Content-Length") > 1) {
			throw malformed("the content has an ambiguous length");
		}
		return headers.get("Content-Length")
			.map((length) -> OptionalLong.of(Long.parseLong(matcher(LENGTH, length, "content length").group())))
			.orElse(OptionalLong.empty());
	}

	private static Matcher matcher(Pattern pattern, String text, String what) {
		Matcher matcher = pattern.matcher(text);
		if (!matcher.matches()) {
			throw malformed("a " + what + " is malformed");
		}
		return matcher;
	}

	/**
	 * Creates the failure of a malformed message.
	 * @param detail what is malformed
	 * @return the failure
	 */
	static ServingException malformed(String detail) {
		return new ServingException(FailureCode.MALFORMED_CONTENT, detail);
	}

	/**
	 * The first line of a message.
	 *
	 * @param persistent whether the version is HTTP/1.1, in which connections persist by
	 * default and content may be chunked
	 * @param status the status of a response, 0 in a request
	 */
	record StartLine(boolean persistent, int status) {

	}

}
