package org.monsoonvalve.core.version;

/**
 * Names a document kept at the platform.
 *
 * @author monsoonvalve maintainers
 * @param path the platform's key
 */
public record DocumentKey(String path) implements Comparable<DocumentKey> {

	/** The prefix of all replicated documents. */
	public static final String PREFIX = "monsoonvalve/documents/";

	/** The operators' inventory. */
	public static final DocumentKey INVENTORY = new DocumentKey(PREFIX + "inventory");

	/** The operators' rules. */
	public static final DocumentKey RULES = new DocumentKey(PREFIX + "rules");

	private static final String GROUPS = PREFIX + "groups/";

	/**
	 * Names the replica groups of an availability zone.
	 * @param zone the availability zone
	 * @return the key
	 */
	public static DocumentKey groups(String zone) {
		return new DocumentKey(GROUPS + zone);
	}

	/**
	 * Returns the path without the prefix that all documents share.
	 * @return the short path
	 */
	public String shortPath() {
		return this.path.startsWith(PREFIX) ? this.path.substring(PREFIX.length()) : this.path;
	}

	/**
	 * Tells whether this document is one of replica groups.
	 * @return {@code true} for the groups of an availability zone
	 */
	public boolean isGroups() {
		return this.path.startsWith(GROUPS);
	}

	@Override
	public int compareTo(DocumentKey other) {
		return this.path.compareTo(other.path);
	}

}
