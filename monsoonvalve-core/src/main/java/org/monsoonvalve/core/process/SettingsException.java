package org.monsoonvalve.core.process;

import java.util.List;

import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Thrown when settings of a program are missing or invalid.
 *
 * @author monsoonvalve maintainers
 */
public class SettingsException extends ServingException {

	private final transient List<String> faults;

	/**
	 * Creates an exception.
	 * @param faults one message for each missing or invalid setting
	 */
	public SettingsException(List<String> faults) {
		super(FailureCode.INVALID_SETTING, String.join("; ", faults));
		this.faults = List.copyOf(faults);
	}

	/**
	 * Returns all errors found.
	 * @return one message for each missing or invalid setting
	 */
	public List<String> faults() {
		return this.faults;
	}

}
