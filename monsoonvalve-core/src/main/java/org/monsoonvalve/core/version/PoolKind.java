package org.monsoonvalve.core.version;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The kind of the endpoints in a pool.
 *
 * @author monsoonvalve maintainers
 */
public enum PoolKind {

	/** Model engines, which serve requests in replica groups. */
	MODEL("model"),

	/** Plain services, in which each VM serves requests on its own. */
	SERVICE("service");

	private final String label;

	PoolKind(String label) {
		this.label = label;
	}

	/**
	 * Returns the kind with a label.
	 * @param label the label used in documents
	 * @return the kind
	 * @throws IllegalArgumentException if no kind has this label
	 */
	@JsonCreator
	public static PoolKind of(String label) {
		return java.util.Arrays.stream(values())
			.filter((kind) -> kind.label.equals(label))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("kind must be 'model' or 'service', not '" + label + "'"));
	}

	/**
	 * Returns the label of this kind.
	 * @return the label used in documents
	 */
	@JsonValue
	public String label() {
		return this.label;
	}

}
