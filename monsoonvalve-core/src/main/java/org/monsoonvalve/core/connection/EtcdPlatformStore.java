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
 * Accesses the platform's key-value service over the published JSON gateway API of etcd
 * version 3.
 *
 * @author monsoonvalve maintainers
 */
public final class EtcdPlatformStore implements PlatformStore {

	private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

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
	 * @param client the HTTP client
	 * @param address the service's address
	 * @param userAgent the {@code User-Agent} that identifies this process to the
	 * platform
	 * @param timeoutMillis the timeout of each call, in milliseconds
	 * @return the store
	 */
	public static EtcdPlatformStore of(HttpClient client, Address address, String userAgent, long timeoutMillis) {
		return new EtcdPlatformStore(client, address, userAgent, timeoutMillis);
	}

	@Override
	public CompletableFuture<Snapshot> read(String prefix, long minModRevision) {
		ObjectNode range = Codec.JSON.object();
		range.put("key", encode(prefix));
		range.put("range_end", encode(rangeEnd(prefix)));
		if (minModRevision > 0) {
			range.put("min_mod_revision", String.valueOf(minModRevision));
		}
		return post("/v3/kv/range", range).thenApply((response) -> new Snapshot(revision(response), entries(response)));
	}

	@Override
	public CompletableFuture<WriteResult> write(String key, StorePosition expected, byte[] value, StoreLease lease) {
		ObjectNode put = Codec.JSON.object();
		put.put("key", encode(key));
		put.put("value", Base64.getEncoder().encodeToString(value));
		if (!lease.equals(StoreLease.NONE)) {
			put.put("lease", String.valueOf(lease.id()));
		}
		return transaction(key, expected.revision(), "request_put", put);
	}

	@Override
	public CompletableFuture<WriteResult> delete(String key, StorePosition expected) {
		ObjectNode delete = Codec.JSON.object();
		delete.put("key", encode(key));
		return transaction(key, expected.revision(), "request_delete_range", delete);
	}

	@Override
	public CompletableFuture<StoreLease> grantLease(long ttlSeconds) {
		ObjectNode grant = Codec.JSON.object();
		grant.put("TTL", String.valueOf(ttlSeconds));
		return post("/v3/lease/grant", grant).thenApply((response) -> StoreLease.of(response.path("ID").asLong()));
	}

	@Override
	public CompletableFuture<Boolean> renewLease(StoreLease lease) {
		ObjectNode renewal = Codec.JSON.object();
		renewal.put("ID", String.valueOf(lease.id()));
		return post("/v3/lease/keepalive", renewal)
			.thenApply((response) -> response.path("result").path("TTL").asLong() > 0);
	}

	@Override
	public CompletableFuture<Void> revokeLease(StoreLease lease) {
		ObjectNode revocation = Codec.JSON.object();
		revocation.put("ID", String.valueOf(lease.id()));
		return post("/v3/lease/revoke", revocation).thenAccept((response) -> {
		});
	}

	private CompletableFuture<WriteResult> transaction(String key, long expectedRevision, String operationType,
			ObjectNode operation) {
		ObjectNode compare = Codec.JSON.object();
		compare.put("key", encode(key));
		compare.put("target", "MOD");
		compare.put("result", "EQUAL");
		compare.put("mod_revision", String.valueOf(expectedRevision));
		ObjectNode currentRange = Codec.JSON.object();
		currentRange.putObject("request_range").put("key", encode(key));
		ObjectNode transaction = Codec.JSON.object();
		transaction.putArray("compare").add(compare);
		transaction.putArray("success").addObject().set(operationType, operation);
		transaction.putArray("failure").add(currentRange);
		return post("/v3/kv/txn", transaction).thenApply(this::toWriteResult);
	}

	private WriteResult toWriteResult(JsonNode response) {
		boolean succeeded = response.path("succeeded").asBoolean(false);
		List<Entry> found = entries(response.path("responses").path(0).path("response_range"));
		Entry current = (succeeded || found.isEmpty()) ? null : found.get(0);
		return new WriteResult(succeeded, revision(response), current);
	}

	private CompletableFuture<JsonNode> post(String path, ObjectNode content) {
		HttpRequest request = HttpRequest.json("POST", path, content).withHeader("User-Agent", this.userAgent);
		return this.client.exchangePooled(this.address, request, this.timeoutMillis, MAX_RESPONSE_BYTES)
			.handle(this::decodeResponse);
	}

	private JsonNode decodeResponse(HttpResponse response, Throwable failure) {
		if (failure != null) {
			throw new ServingException(FailureCode.PLATFORM_UNAVAILABLE, ServingException.from(failure).getMessage());
		}
		if (!response.successful()) {
			throw new ServingException(FailureCode.PLATFORM_UNAVAILABLE,
					"the platform responded with status " + response.status());
		}
		return response.json();
	}

	private static long revision(JsonNode response) {
		return response.path("header").path("revision").asLong();
	}

	private static List<Entry> entries(JsonNode response) {
		List<Entry> entries = new ArrayList<>();
		for (JsonNode item : response.path("kvs")) {
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

	// A range excludes its end; this end directly follows all keys with the prefix.
	private static String rangeEnd(String prefix) {
		int last = prefix.length() - 1;
		return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
	}

}
