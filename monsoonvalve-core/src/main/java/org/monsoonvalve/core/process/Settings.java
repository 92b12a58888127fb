package org.monsoonvalve.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.monsoonvalve.core.request.ServingException;

/**
 * Holds the validated settings of a program. A flag takes precedence over its environment
 * variable, which takes precedence over the default.
 *
 * @author monsoonvalve maintainers
 */
public final class Settings {

	/** Exit status of a program with invalid settings. */
	public static final int EXIT_BAD_SETTINGS = 2;

	private final Map<String, Object> values;

	private Settings(Map<String, Object> values) {
		this.values = Map.copyOf(values);
	}

	/**
	 * Parses and validates the settings of a program. If any is missing or invalid,
	 * prints all errors to standard error and exits with status 2; on {@code --help},
	 * exits with status 0.
	 * @param program the program's name
	 * @param description what the program does
	 * @param settings the definitions of its settings
	 * @param arguments the command line
	 * @return the settings
	 */
	public static Settings parseOrExit(String program, String description, List<Setting<?>> settings,
			String... arguments) {
		ArgumentParser parser = parser(program, description, settings);
		try {
			return parse(parser.parseArgs(arguments), System.getenv(), settings);
		}
		catch (ArgumentParserException ex) {
			parser.handleError(ex);
			System.exit((ex instanceof net.sourceforge.argparse4j.helper.HelpScreenException) ? 0 : EXIT_BAD_SETTINGS);
		}
		catch (SettingsException ex) {
			ex.faults().forEach((fault) -> System.err.println(program + ": " + fault));
			System.exit(EXIT_BAD_SETTINGS);
		}
		throw new IllegalStateException("System.exit returned");
	}

	/**
	 * Creates the command-line parser of a program.
	 * @param program the program's name
	 * @param description what the program does
	 * @param settings the definitions of its settings
	 * @return the parser
	 */
	public static ArgumentParser parser(String program, String description, List<Setting<?>> settings) {
		ArgumentParser parser = ArgumentParsers.newFor(program).build().description(description);
		for (Setting<?> setting : settings) {
			String fallback = setting.fallback().map((text) -> " (default: '" + text + "')").orElse(" (required)");
			parser.addArgument("--" + setting.name())
				.dest(setting.name())
				.metavar("VALUE")
				.help((setting.help() + fallback + "; environment: " + setting.variable()).replace("%", "%%"));
		}
		return parser;
	}

	/**
	 * Validates parsed arguments and environment variables.
	 * @param arguments the parsed command line
	 * @param environment the environment variables
	 * @param settings the definitions of the settings
	 * @return the settings
	 * @throws SettingsException with all errors if any setting is missing or invalid
	 */
	public static Settings parse(Namespace arguments, Map<String, String> environment, List<Setting<?>> settings) {
		Map<String, Object> values = new HashMap<>();
		List<String> faults = new ArrayList<>();
		for (Setting<?> setting : settings) {
			String flag = arguments.getString(setting.name());
			String text = (flag != null) ? flag : environment.get(setting.variable());
			String given = (text != null) ? text : setting.fallback().orElse(null);
			if (given == null) {
				faults.add("--" + setting.name() + " or " + setting.variable() + " is required: " + setting.help());
				continue;
			}
			try {
				values.put(setting.name(), setting.parser().apply(given));
			}
			catch (ServingException ex) {
				faults.add("--" + setting.name() + ": " + ex.getMessage());
			}
		}
		if (!faults.isEmpty()) {
			throw new SettingsException(faults);
		}
		return new Settings(values);
	}

	/**
	 * Returns the value of a setting.
	 * @param setting the definition of the setting
	 * @param <T> the type of its value
	 * @return the value, {@code null} if the setting was not among those parsed
	 */
	@SuppressWarnings("unchecked")
	public <T> T get(Setting<T> setting) {
		return (T) this.values.get(setting.name());
	}

}
