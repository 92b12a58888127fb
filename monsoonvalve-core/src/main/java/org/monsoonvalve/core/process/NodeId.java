package org.monsoonvalve.core.process;

/**
 * Identifies a process of the system.
 *
 * @author monsoonvalve maintainers
 * @param value the name given in the settings, unique in the system
 */
public record NodeId(String value) implements Comparable<NodeId> {

	/**
	 * Creates an identifier.
	 * @param value the name given in the settings
	 * @return the identifier
	 */
	public static NodeId of(String value) {
		return new NodeId(value);
	}

	@Override
	public int compareTo(NodeId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
