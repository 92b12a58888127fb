package org.monsoonvalve.scenarios.process;

import java.nio.charset.StandardCharsets;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.connection.HttpResponse;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.version.Rules;

/**
 * What operators of a scenario do through the administration API.
 *
 * @author monsoonvalve maintainers
 */
public final class Administration {

	private static final long CHANGE_TIMEOUT_MILLIS = 16_000;

	private final Cluster cluster;

	Administration(Cluster cluster) {
		this.cluster = cluster;
	}

	/**
	 * Reads an entry's view of the system.
	 * @param entry the entry
	 * @return its status
	 */
	public JsonNode status(ManagedProcess entry) {
		return this.cluster
			.call(entry.address(),
					HttpRequest.get("/admin/v1/status").withHeader("Authorization", "Bearer " + Cluster.ADMIN_KEY))
			.json();
	}

	/**
	 * Changes a document at the first entry that runs.
	 * @param document {@code inventory} or {@code rules}
	 * @param text the new text
	 * @return the accepted revision
	 */
	public long apply(String document, String text) {
		ManagedProcess entry = anyEntry();
		long base = revision(entry, document);
		HttpResponse reply = put(entry, document, text, base, UUID.randomUUID().toString());
		if (!reply.successful()) {
			throw new IllegalStateException(document + " refused: " + new String(reply.body(), StandardCharsets.UTF_8));
		}
		return reply.json().path("revision").asLong();
	}

	/**
	 * Sends a change of a document.
	 * @param entry the entry that it is sent to
	 * @param document {@code inventory} or {@code rules}
	 * @param text the new text
	 * @param base the revision that it is based on
	 * @param changeId the change's identifier
	 * @return the answer
	 */
	public HttpResponse put(ManagedProcess entry, String document, String text, long base, String changeId) {
		Headers headers = Headers.of("Authorization", "Bearer " + Cluster.ADMIN_KEY)
			.with("If-Match", "\"" + base + "\"")
			.with("X-Change-Id", changeId)
			.with("X-Author", "scenario");
		HttpRequest change = new HttpRequest("PUT", "/admin/v1/documents/" + document, headers,
				text.getBytes(StandardCharsets.UTF_8));
		return this.cluster.call(entry.address(), change, CHANGE_TIMEOUT_MILLIS);
	}

	/**
	 * Reads the revision of a document.
	 * @param entry the entry that is asked
	 * @param document {@code inventory} or {@code rules}
	 * @return the revision in force there
	 */
	public long revision(ManagedProcess entry, String document) {
		return status(entry).path(document + "Revision").asLong();
	}

	/**
	 * Reads the rules in force.
	 * @return the rules
	 */
	public Rules currentRules() {
		ManagedProcess entry = anyEntry();
		HttpResponse reply = this.cluster.call(entry.address(), HttpRequest.get("/admin/v1/documents/rules")
			.withHeader("Authorization", "Bearer " + Cluster.ADMIN_KEY));
		return Codec.YAML.decode(reply.body(), Rules.class);
	}

	private ManagedProcess anyEntry() {
		return this.cluster.entries().stream().filter(ManagedProcess::running).findFirst().orElseThrow();
	}

}
