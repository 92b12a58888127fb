package org.monsoonvalve.core.process;

/**
 * Format of log output.
 *
 * @author monsoonvalve maintainers
 */
public enum LogFormat {

	/** One JSON object per line. */
	JSON,

	/** Plain text. */
	TEXT

}
