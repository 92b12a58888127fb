package org.monsoonvalve.core.request;

/**
 * Shortens texts from outside this process for messages and log lines. Whoever sends a
 * text chooses its length.
 *
 * @author monsoonvalve maintainers
 */
public final class Excerpt {

	/** Longest text that is not shortened, in characters. */
	public static final int MAX_LENGTH = 500;

	private Excerpt() {
	}

	/**
	 * Shortens a text.
	 * @param text the text
	 * @return the text, or its first {@value #MAX_LENGTH} characters at most, followed by
	 * its length, if it is longer
	 */
	public static String of(String text) {
		if (text.length() <= MAX_LENGTH) {
			return text;
		}
		// Half of a surrogate pair can't be encoded.
		int end = Character.isHighSurrogate(text.charAt(MAX_LENGTH - 1)) ? MAX_LENGTH - 1 : MAX_LENGTH;
		return text.substring(0, end) + "... (" + text.length() + " characters)";
	}

}
