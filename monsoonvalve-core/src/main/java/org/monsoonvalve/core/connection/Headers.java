package org.monsoonvalve.core.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * An immutable list of header fields, whose names are compared without regard to case.
 *
 * @author monsoonvalve maintainers
 * @param fields the fields in order
 */
public record Headers(List<Field> fields) {

	private static final Headers EMPTY = new Headers(List.of());

	/**
	 * Copies the fields.
	 * @param fields the fields in order
	 */
	public Headers {
		fields = List.copyOf(fields);
	}

	/**
	 * Returns the list without fields.
	 * @return the empty list
	 */
	public static Headers empty() {
		return EMPTY;
	}

	/**
	 * Creates a list of one field.
	 * @param name the field's name
	 * @param value the field's value
	 * @return the list
	 */
	public static Headers of(String name, String value) {
		return EMPTY.with(name, value);
	}

	/**
	 * Adds a field, replacing those of the same name.
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
	 * Removes the fields of a name.
	 * @param name the name
	 * @return the new list
	 */
	public Headers without(String name) {
		return new Headers(this.fields.stream().filter((field) -> !field.name().equalsIgnoreCase(name)).toList());
	}

	/**
	 * Finds the first field of a name.
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
