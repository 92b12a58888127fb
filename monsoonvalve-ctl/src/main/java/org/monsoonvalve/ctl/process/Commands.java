package org.monsoonvalve.ctl.process;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.difflib.DiffUtils;
import com.github.difflib.UnifiedDiffUtils;
import org.monsoonvalve.core.connection.HttpResponse;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.version.Rules;
import org.monsoonvalve.ctl.request.AdminClient;

/**
 * What the operators' program does for each of its sub-commands.
 *
 * @author monsoonvalve maintainers
 */
final class Commands {

	/** The exit status on success. */
	static final int EXIT_OK = 0;

	/** The exit status for a document with faults. */
	static final int EXIT_INVALID = 1;

	/** The exit status for a change that lost a race. */
	static final int EXIT_CONFLICT = 4;

	/** The exit status for a change that is not in force everywhere in time. */
	static final int EXIT_LAGGING = 3;

	/** The exit status for an entry that can't be reached or refuses. */
	static final int EXIT_FAILED = 5;

	private static final long POLL_MILLIS = 100;

	private static final int SWITCH_TRIES = 5;

	private static final int DIFF_CONTEXT_LINES = 3;

	private final AdminClient client;

	private final String author;

	private final long waitMillis;

	private final PrintStream out;

	Commands(AdminClient client, String author, long waitMillis, PrintStream out) {
		this.client = client;
		this.author = author;
		this.waitMillis = waitMillis;
		this.out = out;
	}

	int validate(String name, String file) {
		List<String> faults = this.client.validate(name, read(file));
		faults.forEach(this.out::println);
		this.out.println(faults.isEmpty() ? "no faults" : faults.size() + " faults");
		return faults.isEmpty() ? EXIT_OK : EXIT_INVALID;
	}

	int diff(String name, String file) {
		AdminClient.Document current = this.client.get(name);
		List<String> before = current.text().lines().toList();
		List<String> after = read(file).lines().toList();
		UnifiedDiffUtils
			.generateUnifiedDiff(name + " revision " + current.revision(), file, before, DiffUtils.diff(before, after),
					DIFF_CONTEXT_LINES)
			.forEach(this.out::println);
		return EXIT_OK;
	}

	int get(String name) {
		this.out.print(this.client.get(name).text());
		return EXIT_OK;
	}

	int history(String name) {
		JsonNode history = this.client.read("/admin/v1/documents/" + name + "/history");
		this.out.println("revision " + history.path("revision").asLong());
		history.path("changes")
			.forEach((change) -> this.out.println(java.time.Instant.ofEpochMilli(change.path("timeMillis").asLong())
					+ " " + change.path("author").asText() + " " + change.path("id").asText() + " based on "
					+ change.path("baseRevision").asLong()));
		return EXIT_OK;
	}

	int apply(String name, String file, long baseRevision) {
		String text = read(file);
		long base = (baseRevision >= 0) ? baseRevision : this.client.get(name).revision();
		HttpResponse reply = this.client.put(name, text, base, UUID.randomUUID().toString(), this.author);
		return conclude(name, reply);
	}

	int switchZone(String zone, boolean out) {
		return editRules(
				(rules) -> rules.withOutOfService(switched(rules.zonesOut(), zone, out), rules.endpointsOut()));
	}

	int switchEndpoint(String vm, boolean out) {
		return editRules((rules) -> rules.withOutOfService(rules.zonesOut(), switched(rules.endpointsOut(), vm, out)));
	}

	int status() {
		JsonNode status = this.client.read("/admin/v1/status");
		this.out.println("inventory revision " + status.path("inventoryRevision").asLong() + ", rules revision "
				+ status.path("rulesRevision").asLong() + ", platform "
				+ (status.path("platformAnswers").asBoolean() ? "answers" : "does not answer"));
		status.path("nodes")
			.forEach((node) -> this.out.println(node.path("role").asText() + " " + node.path("id").asText() + " in "
					+ node.path("zone").asText() + " at " + node.path("httpAddress").asText() + ": inventory "
					+ node.path("inventoryRevision").asLong() + ", rules " + node.path("rulesRevision").asLong()
					+ (node.path("leaving").asBoolean() ? ", leaving" : "")));
		status.path("groups")
			.forEach((table) -> table.path("groups")
				.forEach((group) -> this.out
					.println("group " + group.path("id").asText() + " of " + group.path("pool").asText() + ", fence "
							+ group.path("fence").asLong() + ", members " + group.path("members"))));
		return EXIT_OK;
	}

	private int editRules(UnaryOperator<Rules> edit) {
		HttpResponse reply = null;
		for (int i = 0; i < SWITCH_TRIES; i++) {
			AdminClient.Document current = this.client.get("rules");
			Rules rules = Codec.YAML.decode(current.text().getBytes(StandardCharsets.UTF_8), Rules.class);
			String text = new String(Codec.YAML.encode(edit.apply(rules)), StandardCharsets.UTF_8);
			reply = this.client.put("rules", text, current.revision(), UUID.randomUUID().toString(), this.author);
			if (reply.status() != FailureCode.CONFLICT.status()) {
				break;
			}
		}
		return conclude("rules", reply);
	}

	private static List<String> switched(List<String> names, String name, boolean present) {
		List<String> all = new ArrayList<>(names);
		all.remove(name);
		if (present) {
			all.add(name);
		}
		return all;
	}

	private int conclude(String name, HttpResponse reply) {
		if (reply.status() == FailureCode.INVALID_DOCUMENT.status()) {
			AdminClient.faults(reply).forEach(this.out::println);
			return EXIT_INVALID;
		}
		JsonNode answer = reply.json();
		if (reply.status() == FailureCode.CONFLICT.status()) {
			printConflict(name, answer);
			return EXIT_CONFLICT;
		}
		if (!reply.successful()) {
			this.out.println(answer.path("code").asText() + ": " + answer.path("detail").asText());
			return EXIT_FAILED;
		}
		return awaitInForce(name, answer.path("revision").asLong());
	}

	private void printConflict(String name, JsonNode answer) {
		this.out.println("conflict: " + name + " was changed to revision " + answer.path("revision").asLong() + " by "
				+ answer.path("winner").path("author").asText() + " (change "
				+ answer.path("winner").path("id").asText() + "); yours was based on "
				+ answer.path("change").path("baseRevision").asLong());
		List<String> current = answer.path("current").asText().lines().toList();
		List<String> yours = answer.path("yours").asText().lines().toList();
		UnifiedDiffUtils
			.generateUnifiedDiff("current", "yours", current, DiffUtils.diff(current, yours), DIFF_CONTEXT_LINES)
			.forEach(this.out::println);
	}

	private int awaitInForce(String name, long revision) {
		long start = System.nanoTime();
		String field = name + "Revision";
		List<String> lagging = List.of("all");
		while (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start) < this.waitMillis) {
			JsonNode nodes = this.client.read("/admin/v1/status").path("nodes");
			lagging = lagging(nodes, field, revision);
			if (lagging.isEmpty()) {
				this.out.println(name + " revision " + revision + " is in force on " + nodes.size() + " nodes after "
						+ TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start) + " ms");
				return EXIT_OK;
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
		}
		this.out.println(name + " revision " + revision + " is accepted, but not yet in force on " + lagging);
		return EXIT_LAGGING;
	}

	private static List<String> lagging(JsonNode nodes, String field, long revision) {
		List<String> names = new ArrayList<>();
		nodes.forEach((node) -> {
			if (node.path(field).asLong() < revision) {
				names.add(node.path("id").asText());
			}
		});
		return names;
	}

	private static String read(String file) {
		try {
			return Files.readString(Path.of(file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("can't read " + file, ex);
		}
	}

}
