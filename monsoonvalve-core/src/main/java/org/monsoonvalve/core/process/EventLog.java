package org.monsoonvalve.core.process;

import java.util.Locale;

import org.jboss.logging.Logger;

/**
 * Writes events of the catalogue.
 *
 * @author monsoonvalve maintainers
 */
public final class EventLog {

	private final Logger logger;

	private EventLog(Logger logger) {
		this.logger = logger;
	}

	/**
	 * Creates a log for a class.
	 * @param source the class that the events come from
	 * @return the log
	 */
	public static EventLog of(Class<?> source) {
		return new EventLog(Logger.getLogger(source));
	}

	/**
	 * Writes an event.
	 * @param event the event
	 * @param arguments the values for the event's template
	 */
	public void emit(LogEvent event, Object... arguments) {
		if (this.logger.isEnabled(event.level())) {
			this.logger.log(event.level(),
					"MV%04d %s".formatted(event.number(), String.format(Locale.ROOT, event.template(), arguments)));
		}
	}

}
