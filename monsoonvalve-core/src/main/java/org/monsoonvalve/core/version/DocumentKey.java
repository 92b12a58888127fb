package org.monsoonvalve.core.version;

/**
 * The key of a document in the platform's store.
 *
 * @author monsoonvalve maintainers
 * @param path the key as the platform's store holds it
 */
public record DocumentKey(String path) implements Comparable<DocumentKey> {

	/** The common prefix of the keys of all replicated documents. */
	public static final String PREFIX = "monsoonvalve/documents/";

	/** The key of the inventory. */
	public static final DocumentKey INVENTORY = new DocumentKey(PREFIX + "inventory");

	/** The key of the rules. */
	public static final DocumentKey RULES = new DocumentKey(PREFIX + "rules");

	private static final String GROUPS_PREFIX = PREFIX + "groups/";

	/**
	 * Returns the key of an availability zone's group table.
	 * @param zone the availability zone's name
	 * @return the key
	 */
	public static DocumentKey groups(String zone) {
		return new DocumentKey(GROUPS_PREFIX + zone);
	}

	/**
	 * Returns the path without {@link #PREFIX}, as digests list it.
	 * @return the shortened path, or the whole path if it lacks the prefix
	 */
	public String shortPath() {
		return this.path.startsWith(PREFIX) ? this.path.substring(PREFIX.length()) : this.path;
	}

	/**
	 * Returns whether this key names a group table.
	 * @return {@code true} for the group table of any availability zone
	 */
	public boolean isGroups() {
		return this.path.startsWith(GROUPS_PREFIX);
	}

	@Override
	public int compareTo(DocumentKey other) {
		return this.path.compareTo(other.path);
	}

}
