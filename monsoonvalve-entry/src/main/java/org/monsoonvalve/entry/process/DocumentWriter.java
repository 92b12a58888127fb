package org.monsoonvalve.entry.process;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StoreLease;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.process.EventLog;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.process.Node;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.core.version.DocumentKey;
import org.monsoonvalve.core.version.Envelope;
import org.monsoonvalve.core.version.VersionedDocument;

/**
 * Writes operators' changes to the platform. A change whose answer was lost is recognised
 * by its identifier when it is read back or sent again.
 *
 * @author monsoonvalve maintainers
 */
public final class DocumentWriter {

	private static final int READ_BACKS = 3;

	private final EventLog log = EventLog.of(DocumentWriter.class);

	private final Node node;

	private DocumentWriter(Node node) {
		this.node = node;
	}

	/**
	 * Creates a writer.
	 * @param node this process
	 * @return the writer
	 */
	public static DocumentWriter of(Node node) {
		return new DocumentWriter(node);
	}

	/**
	 * Writes a change.
	 * @param key the document
	 * @param change the change
	 * @param text the document's text after the change
	 * @return the outcome, or a {@link ServingException} with
	 * {@link FailureCode#CHANGE_UNKNOWN} or {@link FailureCode#PLATFORM_UNAVAILABLE}
	 */
	public CompletableFuture<Outcome> write(DocumentKey key, Envelope.Change change, String text) {
		return current(key).thenCompose((current) -> {
			Optional<Outcome> settled = current.flatMap((document) -> settled(document, change, text));
			long revision = current.map(VersionedDocument::revision).orElse(0L);
			if (settled.isPresent() || revision != change.baseRevision()) {
				return CompletableFuture.completedFuture(settled.orElseGet(() -> conflict(key, current, change, text)));
			}
			Envelope envelope = current.map((document) -> document.envelope().followedBy(change, text))
				.orElseGet(() -> Envelope.of(change, text));
			return put(key, change, text, envelope);
		});
	}

	private CompletableFuture<Outcome> put(DocumentKey key, Envelope.Change change, String text, Envelope envelope) {
		byte[] value = envelope.encode();
		return this.node.platform()
			.write(key.path(), StorePosition.of(change.baseRevision()), value, StoreLease.NONE)
			.handle((result, failure) -> {
				if (failure != null) {
					return readBack(key, change, text, READ_BACKS);
				}
				if (result.succeeded()) {
					return CompletableFuture
						.completedFuture(accepted(new VersionedDocument(key, result.revision(), value), change));
				}
				Optional<VersionedDocument> winner = Optional.ofNullable(result.current())
					.map((entry) -> document(key, entry));
				return CompletableFuture.completedFuture(winner.flatMap((document) -> settled(document, change, text))
					.orElseGet(() -> conflict(key, winner, change, text)));
			})
			.thenCompose((next) -> next);
	}

	private CompletableFuture<Outcome> readBack(DocumentKey key, Envelope.Change change, String text, int attempts) {
		return current(key).handle((found, failure) -> {
			if (failure != null && attempts > 1) {
				return readBack(key, change, text, attempts - 1);
			}
			Optional<VersionedDocument> current = (failure != null) ? Optional.empty() : found;
			boolean moved = current.map(VersionedDocument::revision).orElse(0L) != change.baseRevision();
			if (failure == null && moved) {
				return CompletableFuture.completedFuture(current.flatMap((document) -> settled(document, change, text))
					.orElseGet(() -> conflict(key, current, change, text)));
			}
			return CompletableFuture.<Outcome>failedFuture(new ServingException(FailureCode.CHANGE_UNKNOWN,
					"the platform did not confirm change " + change.id() + "; send it again with the same identifier"));
		}).thenCompose((next) -> next);
	}

	private CompletableFuture<Optional<VersionedDocument>> current(DocumentKey key) {
		return this.node.platform()
			.read(key.path(), 0)
			.thenApply((snapshot) -> snapshot.entries()
				.stream()
				.filter((entry) -> entry.key().equals(key.path()))
				.findFirst()
				.map((entry) -> document(key, entry)));
	}

	private Optional<Outcome> settled(VersionedDocument document, Envelope.Change change, String text) {
		if (!document.envelope().includes(change.id())) {
			return Optional.empty();
		}
		boolean latest = document.envelope().change().id().equals(change.id());
		boolean sameText = !latest || document.envelope().text().equals(text);
		return sameText ? Optional.of(accepted(document, change)) : Optional.empty();
	}

	private Outcome accepted(VersionedDocument document, Envelope.Change change) {
		this.node.accept(document);
		this.log.emit(LogEvent.CHANGE_ACCEPTED, change.id(), document.key().path(), change.author(),
				document.revision());
		return new Outcome(true, document.revision(), change, null, "", "");
	}

	private Outcome conflict(DocumentKey key, Optional<VersionedDocument> winner, Envelope.Change change, String text) {
		long revision = winner.map(VersionedDocument::revision).orElse(0L);
		winner.ifPresent(this.node::accept);
		this.log.emit(LogEvent.CHANGE_CONFLICT, change.id(), key.path(), change.author(), change.baseRevision(),
				revision);
		return new Outcome(false, revision, change, winner.map((document) -> document.envelope().change()).orElse(null),
				text, winner.map((document) -> document.envelope().text()).orElse(""));
	}

	private static VersionedDocument document(DocumentKey key, PlatformStore.Entry entry) {
		return new VersionedDocument(key, entry.revision(), entry.value());
	}

	/**
	 * The outcome of a change.
	 *
	 * @param accepted whether it is in force or on its way to be
	 * @param revision the document's revision after it
	 * @param change the change
	 * @param winner the change that was there first, {@code null} if this was accepted
	 * @param yours the refused text
	 * @param current the text in force instead
	 */
	public record Outcome(boolean accepted, long revision, Envelope.Change change, Envelope.Change winner, String yours,
			String current) {

	}

}
