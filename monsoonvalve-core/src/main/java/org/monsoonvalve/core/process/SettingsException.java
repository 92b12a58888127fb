package org.monsoonvalve.core.process;

import java.util.List;

import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Signals settings with bad values.
 *
 * @author monsoonvalve maintainers
 */
public class SettingsException extends ServingException {

	private final transient List<String> faults;

	/**
	 * Creates an exception.
	 * @param faults every fault found
	 */
	public SettingsException(List<String> faults) {
		super(FailureCode.INVALID_SETTING, String.join("; ", faults));
		this.faults = List.copyOf(faults);
	}

	/**
	 * Returns every fault found.
	 * @return the faults
	 */
	public List<String> faults() {
		return this.faults;
	}

}
