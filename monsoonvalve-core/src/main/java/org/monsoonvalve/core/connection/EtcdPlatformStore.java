package org.monsoonvalve.core.connection;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Speaks to the platform's key-value service in the published form of the etcd version 3
 * JSON gateway.
 *
 * @author monsoonvalve maintainers
 */
public final class EtcdPlatformStore implements PlatformStore {

	private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

	private final HttpClient client;

	private final Address address;

	private final String userAgent;

	private final long timeoutMillis;

	private EtcdPlatformStore(HttpClient client, Address address, String userAgent, long timeoutMillis) {
		this.client = client;
		this.address = address;
		this.userAgent = userAgent;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Creates a store.
	 * @param client opens connections
	 * @param address the service's address
	 * @param userAgent names this process to the platform
	 * @param timeoutMillis the longest time for one call, in milliseconds
	 * @return the store
	 */
	public static EtcdPlatformStore of(HttpClient client, Address address, String userAgent, long timeoutMillis) {
		return new EtcdPlatformStore(client, address, userAgent, timeoutMillis);
	}

	@Override
	public CompletableFuture<Snapshot> read(String prefix, long leastRevision) {
		ObjectNode range = Codec.JSON.object();
		range.put("key", encode(prefix));
		range.put("range_end", encode(endOf(prefix)));
		if (leastRevision > 0) {
			range.put("min_mod_revision", String.valueOf(leastRevision));
		}
		return call("/v3/kv/range", range).thenApply((answer) -> new Snapshot(revision(answer), entries(answer)));
	}

	@Override
	public CompletableFuture<WriteResult> write(String key, long expectedRevision, byte[] value, long leaseId) {
		ObjectNode put = Codec.JSON.object();
		put.put("key", encode(key));
		put.put("value", Base64.getEncoder().encodeToString(value));
		if (leaseId != 0) {
			put.put("lease", String.valueOf(leaseId));
		}
		return transaction(key, expectedRevision, "request_put", put);
	}

	@Override
	public CompletableFuture<WriteResult> delete(String key, long expectedRevision) {
		ObjectNode delete = Codec.JSON.object();
		delete.put("key", encode(key));
		return transaction(key, expectedRevision, "request_delete_range", delete);
	}

	@Override
	public CompletableFuture<Long> grantLease(long ttlSeconds) {
		ObjectNode grant = Codec.JSON.object();
		grant.put("TTL", String.valueOf(ttlSeconds));
		return call("/v3/lease/grant", grant).thenApply((answer) -> answer.path("ID").asLong());
	}

	@Override
	public CompletableFuture<Boolean> renewLease(long leaseId) {
		ObjectNode renewal = Codec.JSON.object();
		renewal.put("ID", String.valueOf(leaseId));
		return call("/v3/lease/keepalive", renewal)
			.thenApply((answer) -> answer.path("result").path("TTL").asLong() > 0);
	}

	@Override
	public CompletableFuture<Void> revokeLease(long leaseId) {
		ObjectNode revocation = Codec.JSON.object();
		revocation.put("ID", String.valueOf(leaseId));
		return call("/v3/lease/revoke", revocation).thenAccept((answer) -> {
		});
	}

	private CompletableFuture<WriteResult> transaction(String key, long expectedRevision, String kind,
			ObjectNode operation) {
		ObjectNode compare = Codec.JSON.object();
		compare.put("key", encode(key));
		compare.put("target", "MOD");
		compare.put("result", "EQUAL");
		compare.put("mod_revision", String.valueOf(expectedRevision));
		ObjectNode lookup = Codec.JSON.object();
		lookup.putObject("request_range").put("key", encode(key));
		ObjectNode transaction = Codec.JSON.object();
		transaction.putArray("compare").add(compare);
		transaction.putArray("success").addObject().set(kind, operation);
		transaction.putArray("failure").add(lookup);
		return call("/v3/kv/txn", transaction).thenApply(this::writeResult);
	}

	private WriteResult writeResult(JsonNode answer) {
		boolean succeeded = answer.path("succeeded").asBoolean(false);
		List<Entry> found = entries(answer.path("responses").path(0).path("response_range"));
		Entry current = (succeeded || found.isEmpty()) ? null : found.get(0);
		return new WriteResult(succeeded, revision(answer), current);
	}

	private CompletableFuture<JsonNode> call(String path, ObjectNode content) {
		HttpCall call = HttpCall.json("POST", path, content).withHeader("User-Agent", this.userAgent);
		return this.client.pooled(this.address, call, this.timeoutMillis, MAX_ANSWER_BYTES).handle(this::answerOf);
	}

	private JsonNode answerOf(HttpReply reply, Throwable failure) {
		if (failure != null) {
			throw new ServingException(FailureCode.PLATFORM_UNAVAILABLE, ServingException.from(failure).getMessage());
		}
		if (!reply.successful()) {
			throw new ServingException(FailureCode.PLATFORM_UNAVAILABLE,
					"the platform answered with status " + reply.status());
		}
		return reply.json();
	}

	private static long revision(JsonNode answer) {
		return answer.path("header").path("revision").asLong();
	}

	private static List<Entry> entries(JsonNode answer) {
		List<Entry> entries = new ArrayList<>();
		for (JsonNode item : answer.path("kvs")) {
			entries.add(new Entry(decode(item.path("key").asText()), item.path("mod_revision").asLong(),
					Base64.getDecoder().decode(item.path("value").asText())));
		}
		return entries;
	}

	private static String encode(String text) {
		return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
	}

	private static String decode(String text) {
		return new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
	}

	private static String endOf(String prefix) {
		int last = prefix.length() - 1;
		return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
	}

}
