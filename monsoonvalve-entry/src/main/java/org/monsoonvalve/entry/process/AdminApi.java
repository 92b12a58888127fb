package org.monsoonvalve.entry.process;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.stream.Stream;

import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.connection.Member;
import org.monsoonvalve.core.process.Node;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.core.version.Configuration;
import org.monsoonvalve.core.version.DocumentFault;
import org.monsoonvalve.core.version.DocumentKey;
import org.monsoonvalve.core.version.DocumentValidator;
import org.monsoonvalve.core.version.Envelope;
import org.monsoonvalve.core.version.GroupTable;
import org.monsoonvalve.core.version.VersionedDocument;
import org.monsoonvalve.entry.request.Caller;

/**
 * The administration API: documents, their history, and the state of the system.
 *
 * @author monsoonvalve maintainers
 */
public final class AdminApi {

	private static final String DOCUMENTS = "/admin/v1/documents/";

	private static final String HISTORY = "/history";

	private static final String VALIDATE = "/validate";

	private static final int OK = 200;

	private final Node node;

	private final String adminKey;

	private final DocumentWriter writer;

	private AdminApi(Node node, String adminKey) {
		this.node = node;
		this.adminKey = adminKey;
		this.writer = DocumentWriter.of(node);
	}

	/**
	 * Creates the API.
	 * @param node this process
	 * @param adminKey the key that operators have to show
	 * @return the API
	 */
	public static AdminApi of(Node node, String adminKey) {
		return new AdminApi(node, adminKey);
	}

	/**
	 * Answers a request.
	 * @param call the request
	 */
	public void handle(IncomingCall call) {
		checkKey(call.headers());
		String path = call.path();
		if (path.equals("/admin/v1/status")) {
			call.replyJson(OK, status());
		}
		else if (path.startsWith(DOCUMENTS)) {
			handleDocument(call, path.substring(DOCUMENTS.length()));
		}
		else {
			throw new ServingException(FailureCode.NOT_FOUND, "no resource " + path);
		}
	}

	private void handleDocument(IncomingCall call, String rest) {
		if (rest.endsWith(HISTORY)) {
			DocumentKey key = key(rest.substring(0, rest.length() - HISTORY.length()));
			VersionedDocument document = existing(key);
			Envelope envelope = document.envelope();
			List<Envelope.Change> changes = Stream.concat(Stream.of(envelope.change()), envelope.history().stream())
				.toList();
			call.replyJson(OK, new History(document.revision(), changes));
		}
		else if (rest.endsWith(VALIDATE)) {
			DocumentKey key = key(rest.substring(0, rest.length() - VALIDATE.length()));
			call.replyJson(OK, new Validation(faults(key, text(call))));
		}
		else if ("PUT".equals(call.method())) {
			put(call, key(rest));
		}
		else {
			VersionedDocument document = existing(key(rest));
			call.reply(OK,
					Headers.of("Content-Type", "application/yaml").with("ETag", "\"" + document.revision() + "\""),
					document.envelope().text().getBytes(StandardCharsets.UTF_8));
		}
	}

	private void put(IncomingCall call, DocumentKey key) {
		String text = text(call);
		List<DocumentFault> faults = faults(key, text);
		if (!faults.isEmpty()) {
			call.replyJson(FailureCode.INVALID_DOCUMENT.status(), new Validation(faults));
			return;
		}
		long base = call.headers()
			.get("If-Match")
			.map((value) -> value.replace("\"", "").trim())
			.filter((value) -> value.matches("[0-9]{1,18}"))
			.map(Long::parseLong)
			.orElseThrow(() -> new ServingException(FailureCode.INVALID_REQUEST,
					"If-Match must hold the revision that the change is based on, 0 for a new document"));
		String changeId = call.headers().get("X-Change-Id").orElseGet(() -> UUID.randomUUID().toString());
		String author = call.headers().get("X-Author").orElse("unknown");
		Envelope.Change change = new Envelope.Change(changeId, author, this.node.clock().wallMillis(), base);
		this.writer.write(key, change, text).whenComplete((outcome, failure) -> {
			if (failure != null) {
				call.refuse(ServingException.from(failure));
			}
			else {
				int status = outcome.accepted() ? OK : FailureCode.CONFLICT.status();
				call.replyJson(status, outcome);
			}
		});
	}

	private List<DocumentFault> faults(DocumentKey key, String text) {
		return DocumentValidator.check(key, text, this.node.configuration());
	}

	private VersionedDocument existing(DocumentKey key) {
		return this.node.documents()
			.get(key)
			.orElseThrow(() -> new ServingException(FailureCode.NOT_FOUND, "no document " + key.path() + " yet"));
	}

	private static String text(IncomingCall call) {
		return new String(call.body(), StandardCharsets.UTF_8);
	}

	private static DocumentKey key(String name) {
		return switch (name) {
			case "inventory" -> DocumentKey.INVENTORY;
			case "rules" -> DocumentKey.RULES;
			default -> throw new ServingException(FailureCode.NOT_FOUND,
					"documents are 'inventory' and 'rules', not '" + name + "'");
		};
	}

	private void checkKey(Headers headers) {
		Optional<String> key = Caller.key(headers);
		byte[] expected = this.adminKey.getBytes(StandardCharsets.UTF_8);
		boolean same = key.isPresent() && MessageDigest.isEqual(expected, key.get().getBytes(StandardCharsets.UTF_8));
		if (!same) {
			throw new ServingException(FailureCode.UNAUTHENTICATED,
					"the Authorization header does not hold the administration key");
		}
	}

	private Status status() {
		Configuration configuration = this.node.configuration();
		List<Member> nodes = Stream.concat(Stream.of(this.node.self()), this.node.membership().live().stream())
			.sorted(Comparator.comparing(Member::id))
			.toList();
		return new Status(configuration.inventoryRevision(), configuration.rulesRevision(),
				this.node.reader().platformAnswers(), nodes, List.copyOf(configuration.groups().values()));
	}

	/**
	 * The state of the system as one entry sees it.
	 *
	 * @param inventoryRevision the inventory's revision in force here
	 * @param rulesRevision the rules' revision in force here
	 * @param platformAnswers whether the platform answered last
	 * @param nodes the live processes
	 * @param groups the replica groups by availability zone
	 */
	public record Status(long inventoryRevision, long rulesRevision, boolean platformAnswers, List<Member> nodes,
			List<GroupTable> groups) {

	}

	/**
	 * The faults of a document.
	 *
	 * @param faults the faults, none if the document can be accepted
	 */
	public record Validation(List<DocumentFault> faults) {

	}

	/**
	 * The changes of a document.
	 *
	 * @param revision the current revision
	 * @param changes the changes, latest first
	 */
	public record History(long revision, List<Envelope.Change> changes) {

	}

}
