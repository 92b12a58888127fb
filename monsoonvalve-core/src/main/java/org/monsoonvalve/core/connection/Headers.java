package org.monsoonvalve.core.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An immutable list of header fields with case-insensitive names.
 *
 * @author monsoonvalve maintainers
 * @param fields the fields in order
 */
public record Headers(List<Field> fields) {

	private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=([0-9]{1,6})");

	private static final long MILLIS_PER_SECOND = 1000;

	private static final Headers EMPTY = new Headers(List.of());

	/**
	 * Copies the fields.
	 * @param fields the fields in order
	 */
	public Headers {
		fields = List.copyOf(fields);
	}

	/**
	 * Returns an empty list.
	 * @return the empty list
	 */
	public static Headers empty() {
		return EMPTY;
	}

	/**
	 * Creates a list with one field.
	 * @param name the field's name
	 * @param value the field's value
	 * @return the list
	 */
	public static Headers of(String name, String value) {
		return EMPTY.with(name, value);
	}

	/**
	 * Adds a field, replacing all fields with the same name.
	 * @param name the field's name
	 * @param value the field's value
	 * @return the new list
	 */
	public Headers with(String name, String value) {
		List<Field> all = new ArrayList<>(without(name).fields);
		all.add(new Field(name, value));
		return new Headers(all);
	}

	/**
	 * Removes all fields with a name.
	 * @param name the name
	 * @return the new list
	 */
	public Headers without(String name) {
		return new Headers(this.fields.stream().filter((field) -> !field.name().equalsIgnoreCase(name)).toList());
	}

	/**
	 * Finds the first field with a name.
	 * @param name the name
	 * @return its value, if there is one
	 */
	public Optional<String> get(String name) {
		return this.fields.stream()
			.filter((field) -> field.name().equalsIgnoreCase(name))
			.map(Field::value)
			.findFirst();
	}

	/**
	 * Counts the fields with a name.
	 * @param name the name
	 * @return the number of fields
	 */
	public long count(String name) {
		return this.fields.stream().filter((field) -> field.name().equalsIgnoreCase(name)).count();
	}

	/**
	 * Tells whether the sender closes the connection after this message.
	 * @return {@code true} if the {@code Connection} field contains {@code close}
	 */
	public boolean closesConnection() {
		return get("Connection").filter((options) -> options.toLowerCase(Locale.ROOT).contains("close")).isPresent();
	}

	/**
	 * Returns how long the sender keeps an idle connection open.
	 * @return the time in milliseconds, 0 if {@code Keep-Alive} states no timeout
	 */
	public long keepAliveMillis() {
		return get("Keep-Alive").map(KEEP_ALIVE_TIMEOUT::matcher)
			.filter(Matcher::find)
			.map((matcher) -> Long.parseLong(matcher.group(1)) * MILLIS_PER_SECOND)
			.orElse(0L);
	}

	/**
	 * Tells whether the content is a stream of server-sent events.
	 * @return {@code true} for {@code text/event-stream}
	 */
	public boolean eventStream() {
		return get("Content-Type").filter((type) -> type.toLowerCase(Locale.ROOT).startsWith("text/event-stream"))
			.isPresent();
	}

	/**
	 * A header field.
	 *
	 * @param name the name as received
	 * @param value the value
	 */
	public record Field(String name, String value) {

	}

}
