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
 * A setting of a program, given as a flag or as an environment variable.
 *
 * @author monsoonvalve maintainers
 * @param name the flag without its hyphens, such as {@code peer-listen}
 * @param help what it is for, with its unit
 * @param fallback the text used when it is not given
 * @param parser converts the text
 * @param <T> the type of the value
 */
public record Setting<T>(String name, String help, Optional<String> fallback, Function<String, T> parser) {

	private static final String VARIABLE_PREFIX = "MONSOONVALVE_";

	private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

	/**
	 * Creates a setting for a name.
	 * @param name the flag without its hyphens
	 * @param help what it is for
	 * @return the setting, which has to be given
	 */
	public static Setting<String> name(String name, String help) {
		return new Setting<>(name, help, Optional.empty(), Setting::parseName);
	}

	/**
	 * Creates a setting for any text that is not blank.
	 * @param name the flag without its hyphens
	 * @param help what it is for
	 * @return the setting, which has to be given
	 */
	public static Setting<String> text(String name, String help) {
		return new Setting<>(name, help, Optional.empty(),
				(text) -> checked(text, !text.isBlank(), "text that is not blank"));
	}

	/**
	 * Creates a setting for an address.
	 * @param name the flag without its hyphens
	 * @param help what it is for
	 * @return the setting, which has to be given
	 */
	public static Setting<Address> address(String name, String help) {
		return new Setting<>(name, help, Optional.empty(), Address::of);
	}

	/**
	 * Creates a setting for a list of addresses separated by commas, none by default.
	 * @param name the flag without its hyphens
	 * @param help what it is for
	 * @return the setting
	 */
	public static Setting<List<Address>> addresses(String name, String help) {
		return new Setting<>(name, help, Optional.of(""),
				(text) -> Arrays.stream(text.split(",")).filter((part) -> !part.isBlank()).map(Address::of).toList());
	}

	/**
	 * Creates a setting for a whole number.
	 * @param name the flag without its hyphens
	 * @param help what it is for, with its unit
	 * @param least the least value
	 * @param most the greatest value
	 * @param fallback the value used when it is not given
	 * @return the setting
	 */
	public static Setting<Integer> number(String name, String help, int least, int most, int fallback) {
		return new Setting<>(name, help, Optional.of(String.valueOf(fallback)), (text) -> {
			String expected = "a whole number from " + least + " to " + most;
			checked(text, text.matches("[0-9]{1,9}"), expected);
			int value = Integer.parseInt(text);
			checked(text, value >= least && value <= most, expected);
			return value;
		});
	}

	/**
	 * Creates a setting for one of an enum's values, in lower case with hyphens.
	 * @param name the flag without its hyphens
	 * @param help what it is for
	 * @param type the enum
	 * @param fallback the value used when it is not given
	 * @param <E> the enum
	 * @return the setting
	 */
	public static <E extends Enum<E>> Setting<E> choice(String name, String help, Class<E> type, E fallback) {
		List<String> labels = Arrays.stream(type.getEnumConstants()).map(Setting::label).toList();
		return new Setting<>(name, help + "; one of " + labels, Optional.of(label(fallback)), (text) -> {
			checked(text, labels.contains(text), "one of " + labels);
			return Enum.valueOf(type, text.toUpperCase(Locale.ROOT).replace('-', '_'));
		});
	}

	/**
	 * Changes the text used when the setting is not given.
	 * @param text the text
	 * @return the new setting
	 */
	public Setting<T> orElse(String text) {
		return new Setting<>(this.name, this.help, Optional.of(text), this.parser);
	}

	/**
	 * Returns the environment variable.
	 * @return its name
	 */
	public String variable() {
		return VARIABLE_PREFIX + this.name.toUpperCase(Locale.ROOT).replace('-', '_');
	}

	private static String label(Enum<?> value) {
		return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static String parseName(String text) {
		return checked(text, text.matches(NAME), "a name of letters, digits, '.', '_' and '-'");
	}

	private static String checked(String text, boolean holds, String expected) {
		if (!holds) {
			throw new ServingException(FailureCode.INVALID_SETTING, "expected " + expected + ", found '" + text + "'");
		}
		return text;
	}

}
