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
 * Stores the highest revision received of each document. A lower revision is rejected
 * regardless of its source, so that an accepted change never reverts in this process.
 *
 * @author monsoonvalve maintainers
 */
public final class DocumentStore {

	private final AtomicReference<Map<DocumentKey, VersionedDocument>> documents = new AtomicReference<>(Map.of());

	private final List<Consumer<VersionedDocument>> listeners = new CopyOnWriteArrayList<>();

	private final Object updateLock = new Object();

	/**
	 * Creates an empty store.
	 * @return the store
	 */
	public static DocumentStore empty() {
		return new DocumentStore();
	}

	/**
	 * Adds a listener that is called with each accepted document, in the order of
	 * acceptance. Updates are blocked until the listener returns.
	 * @param listener the listener
	 */
	public void addListener(Consumer<VersionedDocument> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Stores a document if it is newer than the stored revision.
	 * @param document the document
	 * @return {@code true} if the document was stored
	 */
	public boolean offer(VersionedDocument document) {
		synchronized (this.updateLock) {
			Map<DocumentKey, VersionedDocument> previous = this.documents.get();
			VersionedDocument current = previous.get(document.key());
			if (current != null && !replaces(document, current)) {
				return false;
			}
			Map<DocumentKey, VersionedDocument> updated = new java.util.HashMap<>(previous);
			updated.put(document.key(), document);
			this.documents.set(Map.copyOf(updated));
			this.listeners.forEach((listener) -> listener.accept(document));
			return true;
		}
	}

	private static boolean replaces(VersionedDocument candidate, VersionedDocument current) {
		return Mechanism.MONOTONIC_DOCUMENTS.on() ? candidate.revision() > current.revision()
				: candidate.revision() != current.revision();
	}

	/**
	 * Finds the stored revision of a document.
	 * @param key the document's key
	 * @return the highest revision received, if any
	 */
	public Optional<VersionedDocument> get(DocumentKey key) {
		return Optional.ofNullable(this.documents.get().get(key));
	}

	/**
	 * Returns the revision number of a stored document.
	 * @param key the document's key
	 * @return the revision, 0 if the document is not stored
	 */
	public long revision(DocumentKey key) {
		return get(key).map(VersionedDocument::revision).orElse(0L);
	}

	/**
	 * Returns all documents.
	 * @return the highest revision received of each document
	 */
	public Collection<VersionedDocument> all() {
		return this.documents.get().values();
	}

	/**
	 * Returns the revision of every stored document, for comparison with a peer.
	 * @return the digest
	 */
	public Digest digest() {
		return new Digest(all().stream()
			.collect(Collectors.toMap((document) -> document.key().shortPath(), VersionedDocument::revision)));
	}

	/**
	 * Returns the documents of which a peer has a lower revision or none.
	 * @param peerDigest the peer's digest
	 * @return the documents whose revision in this store is higher
	 */
	public List<VersionedDocument> newerThan(Digest peerDigest) {
		return all().stream().filter((document) -> document.revision() > peerDigest.revision(document.key())).toList();
	}

	/**
	 * The revisions of the documents that a process stores.
	 *
	 * @param revisions the revisions by {@link DocumentKey#shortPath() shortened path}
	 */
	public record Digest(Map<String, Long> revisions) {

		/**
		 * Returns the revision of a document.
		 * @param key the document's key
		 * @return the revision, 0 if the process does not store the document
		 */
		public long revision(DocumentKey key) {
			return this.revisions.getOrDefault(key.shortPath(), 0L);
		}

	}

}
