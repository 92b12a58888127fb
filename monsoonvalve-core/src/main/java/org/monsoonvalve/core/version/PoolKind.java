package org.monsoonvalve.core.version;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Kinds of endpoints.
 *
 * @author monsoonvalve maintainers
 */
public enum PoolKind {

	/** Model engines, which serve in replica groups. */
	MODEL("model"),

	/** Plain services, each of whose VMs serves on its own. */
	SERVICE("service");

	private final String label;

	PoolKind(String label) {
		this.label = label;
	}

	/**
	 * Finds a kind by its label.
	 * @param label the label used in documents
	 * @return the kind
	 */
	@JsonCreator
	public static PoolKind of(String label) {
		return java.util.Arrays.stream(values())
			.filter((kind) -> kind.label.equals(label))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("kind must be 'model' or 'service', not '" + label + "'"));
	}

	/**
	 * Returns the label.
	 * @return the label used in documents
	 */
	@JsonValue
	public String label() {
		return this.label;
	}

}
