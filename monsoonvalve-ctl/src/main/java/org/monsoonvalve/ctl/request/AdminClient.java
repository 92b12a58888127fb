package org.monsoonvalve.ctl.request;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.connection.HttpResponse;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Calls the administration API at the first entry that answers.
 *
 * @author monsoonvalve maintainers
 */
public final class AdminClient implements AutoCloseable {

	private static final long CONNECT_TIMEOUT_MILLIS = 1500;

	private static final long CALL_TIMEOUT_MILLIS = 10_000;

	private static final int LIMIT_BYTES = 16 * 1024 * 1024;

	private static final int NOT_FOUND = 404;

	private final HttpClient client;

	private final List<Address> entries;

	private final String adminKey;

	private AdminClient(HttpClient client, List<Address> entries, String adminKey) {
		this.client = client;
		this.entries = entries;
		this.adminKey = adminKey;
	}

	/**
	 * Creates a client.
	 * @param entries the entries' addresses
	 * @param adminKey the administration key
	 * @return the client
	 */
	public static AdminClient of(List<Address> entries, String adminKey) {
		return new AdminClient(HttpClient.start(CONNECT_TIMEOUT_MILLIS), List.copyOf(entries), adminKey);
	}

	/**
	 * Reads a document.
	 * @param name {@code inventory} or {@code rules}
	 * @return the document, with revision 0 and no text if there is none yet
	 */
	public Document get(String name) {
		HttpResponse reply = call(HttpRequest.get("/admin/v1/documents/" + name));
		if (reply.status() == NOT_FOUND) {
			return new Document(0, "");
		}
		expectSuccess(reply);
		String tag = reply.headers().get("ETag").orElse("0").replace("\"", "");
		return new Document(Long.parseLong(tag), new String(reply.body(), StandardCharsets.UTF_8));
	}

	/**
	 * Changes a document.
	 * @param name {@code inventory} or {@code rules}
	 * @param text the new text
	 * @param baseRevision the revision that the change is based on
	 * @param changeId identifies the change, so that it can be sent again
	 * @param author who makes the change
	 * @return the answer, which is a conflict if another change was first
	 */
	public HttpResponse put(String name, String text, long baseRevision, String changeId, String author) {
		Headers headers = Headers.of("Content-Type", "application/yaml")
			.with("If-Match", "\"" + baseRevision + "\"")
			.with("X-Change-Id", changeId)
			.with("X-Author", author);
		return call(
				new HttpRequest("PUT", "/admin/v1/documents/" + name, headers, text.getBytes(StandardCharsets.UTF_8)));
	}

	/**
	 * Checks a document without changing anything.
	 * @param name {@code inventory} or {@code rules}
	 * @param text the text
	 * @return the faults, none if it can be accepted
	 */
	public List<String> validate(String name, String text) {
		HttpResponse reply = call(new HttpRequest("POST", "/admin/v1/documents/" + name + "/validate", Headers.empty(),
				text.getBytes(StandardCharsets.UTF_8)));
		expectSuccess(reply);
		return faults(reply);
	}

	/**
	 * Reads the faults in an answer.
	 * @param reply the answer
	 * @return a line for each fault
	 */
	public static List<String> faults(HttpResponse reply) {
		List<String> lines = new java.util.ArrayList<>();
		reply.json()
			.path("faults")
			.forEach((fault) -> lines.add(fault.path("path").asText() + ": " + fault.path("reason").asText()));
		return lines;
	}

	/**
	 * Reads a JSON resource.
	 * @param path its path
	 * @return its content
	 */
	public JsonNode read(String path) {
		HttpResponse reply = call(HttpRequest.get(path));
		expectSuccess(reply);
		return reply.json();
	}

	@Override
	public void close() {
		this.client.close();
	}

	private HttpResponse call(HttpRequest call) {
		HttpRequest authorised = call.withHeader("Authorization", "Bearer " + this.adminKey);
		ServingException last = new ServingException(FailureCode.INVALID_SETTING, "no entries were given");
		for (Address entry : this.entries) {
			try {
				return this.client.exchangeOnNewConnection(entry, authorised, CALL_TIMEOUT_MILLIS, LIMIT_BYTES).join();
			}
			catch (CompletionException ex) {
				last = ServingException.from(ex);
				if (last.code() != FailureCode.UNREACHABLE) {
					throw last;
				}
			}
		}
		throw last;
	}

	private static void expectSuccess(HttpResponse reply) {
		if (!reply.successful()) {
			throw new ServingException(FailureCode.INVALID_REQUEST,
					"status " + reply.status() + ": " + new String(reply.body(), StandardCharsets.UTF_8));
		}
	}

	/**
	 * A document with its revision.
	 *
	 * @param revision the revision
	 * @param text the text
	 */
	public record Document(long revision, String text) {

	}

}
