package org.monsoonvalve.core.version;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.monsoonvalve.core.process.Mechanism;

/**
 * Keeps the highest revision seen of each document. A lower revision is refused, whoever
 * offers it, so that an accepted change never reverts in this process.
 *
 * @author monsoonvalve maintainers
 */
public final class DocumentStore {

	private final AtomicReference<Map<DocumentKey, VersionedDocument>> documents = new AtomicReference<>(Map.of());

	private final List<Consumer<VersionedDocument>> listeners = new CopyOnWriteArrayList<>();

	private final Object updateLock = new Object();

	/**
	 * Creates a store without documents.
	 * @return the store
	 */
	public static DocumentStore empty() {
		return new DocumentStore();
	}

	/**
	 * Adds a listener that is told of each newer revision, in order.
	 * @param listener the listener
	 */
	public void addListener(Consumer<VersionedDocument> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Offers a document.
	 * @param document the document
	 * @return {@code true} if it is newer than what was kept
	 */
	public boolean offer(VersionedDocument document) {
		synchronized (this.updateLock) {
			Map<DocumentKey, VersionedDocument> before = this.documents.get();
			VersionedDocument kept = before.get(document.key());
			if (kept != null && !replaces(document, kept)) {
				return false;
			}
			Map<DocumentKey, VersionedDocument> after = new java.util.HashMap<>(before);
			after.put(document.key(), document);
			this.documents.set(Map.copyOf(after));
			this.listeners.forEach((listener) -> listener.accept(document));
			return true;
		}
	}

	private static boolean replaces(VersionedDocument offered, VersionedDocument kept) {
		return Mechanism.MONOTONIC_DOCUMENTS.on() ? offered.revision() > kept.revision()
				: offered.revision() != kept.revision();
	}

	/**
	 * Finds a document.
	 * @param key its name
	 * @return the highest revision seen, if there is one
	 */
	public Optional<VersionedDocument> get(DocumentKey key) {
		return Optional.ofNullable(this.documents.get().get(key));
	}

	/**
	 * Returns the revision kept of a document.
	 * @param key its name
	 * @return the revision, 0 if none was seen
	 */
	public long revision(DocumentKey key) {
		return get(key).map(VersionedDocument::revision).orElse(0L);
	}

	/**
	 * Returns all documents.
	 * @return the highest revision of each
	 */
	public Collection<VersionedDocument> all() {
		return this.documents.get().values();
	}

	/**
	 * Summarises what is kept, for comparison with a peer.
	 * @return the revisions by document path
	 */
	public Digest digest() {
		return new Digest(all().stream()
			.collect(Collectors.toMap((document) -> document.key().shortPath(), VersionedDocument::revision)));
	}

	/**
	 * Finds what a peer lacks.
	 * @param theirs the peer's summary
	 * @return the documents whose revision here is higher
	 */
	public List<VersionedDocument> newerThan(Digest theirs) {
		return all().stream().filter((document) -> document.revision() > theirs.revision(document.key())).toList();
	}

	/**
	 * Summarises the revisions that a process keeps.
	 *
	 * @param revisions the revisions by document path without the common prefix
	 */
	public record Digest(Map<String, Long> revisions) {

		/**
		 * Returns the revision of a document.
		 * @param key its name
		 * @return the revision, 0 if none is kept
		 */
		public long revision(DocumentKey key) {
			return this.revisions.getOrDefault(key.shortPath(), 0L);
		}

	}

}
