package org.monsoonvalve.core.process;

import java.util.logging.Level;

import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Configures the log manager of a program.
 *
 * @author monsoonvalve maintainers
 */
public final class Logs {

	private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %-5p %m%n";

	private Logs() {
	}

	/**
	 * Sends log output of level INFO and above to standard error; of
	 * {@code org.glassfish}, only WARNING and above.
	 * @param format the format of the output
	 */
	public static void configure(LogFormat format) {
		System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
		System.setProperty("org.jboss.logging.provider", "jboss");
		Logger root = LogContext.getLogContext().getLogger("");
		for (var handler : root.getHandlers()) {
			root.removeHandler(handler);
		}
		ConsoleHandler handler = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR,
				(format == LogFormat.JSON) ? new JsonFormatter() : new PatternFormatter(PATTERN));
		handler.setLevel(Level.ALL);
		root.addHandler(handler);
		root.setLevel(Level.INFO);
		LogContext.getLogContext().getLogger("org.glassfish").setLevel(Level.WARNING);
	}

}
