package org.monsoonvalve.core.process;

/**
 * Formats of log lines.
 *
 * @author monsoonvalve maintainers
 */
public enum LogFormat {

	/** One JSON object a line. */
	JSON,

	/** Plain text. */
	TEXT

}
