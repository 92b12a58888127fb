package org.monsoonvalve.gateway.version;

import java.util.AbstractMap;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * An immutable map whose keys other clients may choose. Unlike {@link Map#copyOf}, which
 * compares keys with the same hash code one by one, it finds them in logarithmic time.
 *
 * @param <V> the type of the values
 * @author monsoonvalve maintainers
 */
public final class ImmutableHashMap<V> extends AbstractMap<String, V> {

	private final Map<String, V> entries;

	private ImmutableHashMap(Map<String, V> entries) {
		this.entries = Collections.unmodifiableMap(new HashMap<>(entries));
	}

	/**
	 * Copies a map unless it is immutable already.
	 * @param <V> the type of the values
	 * @param map the map
	 * @return the copy
	 */
	public static <V> ImmutableHashMap<V> copyOf(Map<String, V> map) {
		return (map instanceof ImmutableHashMap<V> immutable) ? immutable : new ImmutableHashMap<>(map);
	}

	@Override
	public V get(Object key) {
		return this.entries.get(key);
	}

	@Override
	public boolean containsKey(Object key) {
		return this.entries.containsKey(key);
	}

	@Override
	public Set<String> keySet() {
		return this.entries.keySet();
	}

	@Override
	public Set<Entry<String, V>> entrySet() {
		return this.entries.entrySet();
	}

}
