package org.monsoonvalve.core.version;

/**
 * One fault of an operators' document.
 *
 * @author monsoonvalve maintainers
 * @param path where the fault is, such as {@code vms[3].pool}
 * @param reason what was expected and what was found
 */
public record DocumentFault(String path, String reason) {

	/**
	 * Describes a fault.
	 * @param path where the fault is
	 * @param reason what was expected and what was found
	 * @return the fault
	 */
	public static DocumentFault of(String path, String reason) {
		return new DocumentFault(path, reason);
	}

	@Override
	public String toString() {
		return this.path + ": " + this.reason;
	}

}
