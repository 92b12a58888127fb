package org.monsoonvalve.core.process;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Defines a setting of a program, which is read from a command-line flag or an
 * environment variable.
 *
 * @author monsoonvalve maintainers
 * @param name the flag without its hyphens, such as {@code peer-listen}
 * @param help the description, with the unit of the value
 * @param fallback the default text, empty if the setting is required
 * @param parser converts the text to the value; throws {@link ServingException} if it is
 * invalid
 * @param <T> the type of the value
 */
public record Setting<T>(String name, String help, Optional<String> fallback, Function<String, T> parser) {

	private static final String VARIABLE_PREFIX = "MONSOONVALVE_";

	private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

	/**
	 * Creates a required setting for a name of up to 63 letters, digits, dots,
	 * underscores and hyphens that starts with a letter or a digit.
	 * @param name the flag without its hyphens
	 * @param help the description
	 * @return the setting
	 */
	public static Setting<String> name(String name, String help) {
		return new Setting<>(name, help, Optional.empty(), Setting::parseName);
	}

	/**
	 * Creates a required setting for text that is not blank.
	 * @param name the flag without its hyphens
	 * @param help the description
	 * @return the setting
	 */
	public static Setting<String> text(String name, String help) {
		return new Setting<>(name, help, Optional.empty(),
				(text) -> require(text, !text.isBlank(), "text that is not blank"));
	}

	/**
	 * Creates a required setting for an address.
	 * @param name the flag without its hyphens
	 * @param help the description
	 * @return the setting
	 */
	public static Setting<Address> address(String name, String help) {
		return new Setting<>(name, help, Optional.empty(), Address::of);
	}

	/**
	 * Creates a setting for a comma-separated list of addresses, empty by default.
	 * @param name the flag without its hyphens
	 * @param help the description
	 * @return the setting
	 */
	public static Setting<List<Address>> addresses(String name, String help) {
		return new Setting<>(name, help, Optional.of(""),
				(text) -> Arrays.stream(text.split(",")).filter((part) -> !part.isBlank()).map(Address::of).toList());
	}

	/**
	 * Creates a setting for an integer in a range.
	 * @param name the flag without its hyphens
	 * @param help the description, with the unit of the value
	 * @param min the minimum value, inclusive
	 * @param max the maximum value, inclusive
	 * @param fallback the default value
	 * @return the setting
	 */
	public static Setting<Integer> number(String name, String help, int min, int max, int fallback) {
		return new Setting<>(name, help, Optional.of(String.valueOf(fallback)), (text) -> {
			String expected = "a whole number from " + min + " to " + max;
			// Any number of up to 9 digits fits an int.
			require(text, text.matches("[0-9]{1,9}"), expected);
			int value = Integer.parseInt(text);
			require(text, value >= min && value <= max, expected);
			return value;
		});
	}

	/**
	 * Creates a setting for a constant of an enum, written in lower case with hyphens.
	 * @param name the flag without its hyphens
	 * @param help the description
	 * @param type the enum class
	 * @param fallback the default value
	 * @param <E> the enum type
	 * @return the setting
	 */
	public static <E extends Enum<E>> Setting<E> choice(String name, String help, Class<E> type, E fallback) {
		List<String> labels = Arrays.stream(type.getEnumConstants()).map(Setting::label).toList();
		return new Setting<>(name, help + "; one of " + labels, Optional.of(label(fallback)), (text) -> {
			require(text, labels.contains(text), "one of " + labels);
			return Enum.valueOf(type, text.toUpperCase(Locale.ROOT).replace('-', '_'));
		});
	}

	/**
	 * Returns a copy of this setting with another default.
	 * @param text the default text
	 * @return the new setting
	 */
	public Setting<T> orElse(String text) {
		return new Setting<>(this.name, this.help, Optional.of(text), this.parser);
	}

	/**
	 * Returns the name of the environment variable.
	 * @return the name
	 */
	public String variable() {
		return VARIABLE_PREFIX + this.name.toUpperCase(Locale.ROOT).replace('-', '_');
	}

	private static String label(Enum<?> value) {
		return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static String parseName(String text) {
		return require(text, text.matches(NAME_PATTERN), "a name of letters, digits, '.', '_' and '-'");
	}

	private static String require(String text, boolean valid, String expected) {
		if (!valid) {
			throw new ServingException(FailureCode.INVALID_SETTING, "expected " + expected + ", found '" + text + "'");
		}
		return text;
	}

}
