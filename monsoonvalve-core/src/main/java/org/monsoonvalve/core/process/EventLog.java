package org.monsoonvalve.core.process;

import java.util.Arrays;
import java.util.Locale;

import org.jboss.logging.Logger;
import org.monsoonvalve.core.request.Excerpt;

/**
 * Logs the numbered events of {@link LogEvent}.
 *
 * @author monsoonvalve maintainers
 */
public final class EventLog {

	private final Logger logger;

	private EventLog(Logger logger) {
		this.logger = logger;
	}

	/**
	 * Creates an event log that uses the logger of a class.
	 * @param source the class that emits the events
	 * @return the event log
	 */
	public static EventLog of(Class<?> source) {
		return new EventLog(Logger.getLogger(source));
	}

	/**
	 * Logs an event if its level is enabled. The message starts with {@code MV} and the
	 * event's number.
	 * @param event the event
	 * @param arguments the arguments of the event's template; long texts are shortened
	 */
	public void emit(LogEvent event, Object... arguments) {
		if (this.logger.isEnabled(event.level())) {
			this.logger.log(event.level(), message(event, arguments));
		}
	}

	static String message(LogEvent event, Object... arguments) {
		Object[] shortened = Arrays.stream(arguments)
			.map((argument) -> (argument instanceof String text) ? Excerpt.of(text) : argument)
			.toArray();
		return "MV%04d %s".formatted(event.number(), String.format(Locale.ROOT, event.template(), shortened));
	}

}
