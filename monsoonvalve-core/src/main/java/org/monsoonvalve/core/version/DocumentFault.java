package org.monsoonvalve.core.version;

/**
 * A validation error in a document written by operators.
 *
 * @author monsoonvalve maintainers
 * @param path the path of the invalid field, such as {@code vms[3].pool}
 * @param reason why the field is invalid
 */
public record DocumentFault(String path, String reason) {

	/**
	 * Creates a validation error.
	 * @param path the path of the invalid field
	 * @param reason why the field is invalid
	 * @return the validation error
	 */
	public static DocumentFault of(String path, String reason) {
		return new DocumentFault(path, reason);
	}

	@Override
	public String toString() {
		return this.path + ": " + this.reason;
	}

}
