package org.monsoonvalve.entry.request;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.commons.codec.digest.DigestUtils;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpResponse;
import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StoreLease;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.ElapsedClock;
import org.monsoonvalve.core.process.Node;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Claims idempotency keys at the platform before requests are sent, and keeps their
 * outcomes there, so that a key runs at most once wherever its caller asks again.
 *
 * @author monsoonvalve maintainers
 */
public final class Claims {

	private static final String PREFIX = "monsoonvalve/claims/";

	private static final long LEASE_SECONDS = 86_400;

	private static final long LEASE_REUSE_MILLIS = 3_600_000;

	private static final long OUTCOME_WAIT_MILLIS = 3000;

	private static final long OUTCOME_POLL_MILLIS = 200;

	private static final int MAX_KEPT_BODY_BYTES = 65_536;

	private static final int READ_BACKS = 2;

	private final Node node;

	private final AtomicReference<SharedLease> lease = new AtomicReference<>();

	private Claims(Node node) {
		this.node = node;
	}

	/**
	 * Creates claims.
	 * @param node this process
	 * @return the claims
	 */
	public static Claims of(Node node) {
		return new Claims(node);
	}

	/**
	 * Claims a key, or finds the outcome of its first run.
	 * @param workspace the caller's workspace
	 * @param idempotencyKey the caller's key
	 * @param fingerprint a digest of the request
	 * @return the claim or the outcome, or a {@link ServingException} with
	 * {@link FailureCode#PLATFORM_UNAVAILABLE}, {@link FailureCode#KEY_REUSED} or
	 * {@link FailureCode#OUTCOME_UNKNOWN}
	 */
	public CompletableFuture<Claim> claim(String workspace, String idempotencyKey, String fingerprint) {
		String key = PREFIX + workspace + "/" + DigestUtils.sha256Hex(idempotencyKey);
		String claimId = UUID.randomUUID().toString();
		byte[] value = Codec.JSON.encode(new Stored(claimId, fingerprint, Stored.CLAIMED, 0, "", null));
		return sharedLease().thenCompose((lease) -> this.node.platform().write(key, StorePosition.NONE, value, lease))
			.handle((result, failure) -> {
				if (failure != null) {
					return readBack(key, claimId, fingerprint, READ_BACKS);
				}
				return result.succeeded()
						? CompletableFuture.completedFuture(Claim.mine(key, result.revision(), claimId, fingerprint))
						: existing(key, result.current(), claimId, fingerprint, this.node.clock().now());
			})
			.thenCompose((next) -> next);
	}

	/**
	 * Keeps the outcome of a claimed request.
	 * @param claim the claim
	 * @param reply the endpoint's answer
	 * @return completed when it was kept, or could not be
	 */
	public CompletableFuture<Void> keepOutcome(Claim claim, HttpResponse reply) {
		byte[] body = (reply.body().length <= MAX_KEPT_BODY_BYTES) ? reply.body() : new byte[0];
		Stored outcome = new Stored(claim.claimId(), claim.fingerprint(), Stored.DONE, reply.status(),
				reply.headers().get("Content-Type").orElse(""), body);
		return sharedLease()
			.thenCompose((sharedLease) -> this.node.platform()
				.write(claim.key(), StorePosition.of(claim.revision()), Codec.JSON.encode(outcome), sharedLease))
			.handle((written, failure) -> null);
	}

	/**
	 * Gives up the claim of a request that did not run.
	 * @param claim the claim
	 * @return completed when it was given up, or could not be
	 */
	public CompletableFuture<Void> abandon(Claim claim) {
		return this.node.platform()
			.delete(claim.key(), StorePosition.of(claim.revision()))
			.handle((deleted, failure) -> null);
	}

	private CompletableFuture<StoreLease> sharedLease() {
		SharedLease shared = this.lease.get();
		if (shared != null && this.node.clock().elapsedMillis(shared.granted()) < LEASE_REUSE_MILLIS) {
			return CompletableFuture.completedFuture(shared.lease());
		}
		ElapsedClock.Reading now = this.node.clock().now();
		return this.node.platform().grantLease(LEASE_SECONDS).thenApply((granted) -> {
			this.lease.set(new SharedLease(granted, now));
			return granted;
		});
	}

	private CompletableFuture<Claim> readBack(String key, String claimId, String fingerprint, int attempts) {
		return this.node.platform().read(key, 0).handle((snapshot, failure) -> {
			if (failure != null) {
				return (attempts > 1) ? readBack(key, claimId, fingerprint, attempts - 1)
						: CompletableFuture.<Claim>failedFuture(unavailable());
			}
			Optional<PlatformStore.Entry> found = snapshot.entries().stream().findFirst();
			return found.isPresent() ? existing(key, found.get(), claimId, fingerprint, this.node.clock().now())
					: CompletableFuture.<Claim>failedFuture(unavailable());
		}).thenCompose((next) -> next);
	}

	private CompletableFuture<Claim> existing(String key, PlatformStore.Entry entry, String claimId, String fingerprint,
			ElapsedClock.Reading since) {
		if (entry == null) {
			return CompletableFuture.failedFuture(unavailable());
		}
		Stored stored = Codec.JSON.decode(entry.value(), Stored.class);
		if (stored.claimId().equals(claimId)) {
			return CompletableFuture.completedFuture(Claim.mine(key, entry.revision(), claimId, fingerprint));
		}
		if (!stored.fingerprint().equals(fingerprint)) {
			return CompletableFuture.failedFuture(
					new ServingException(FailureCode.KEY_REUSED, "the idempotency key was used with another request"));
		}
		if (Stored.DONE.equals(stored.state())) {
			return CompletableFuture.completedFuture(Claim.known(key, stored.reply()));
		}
		if (this.node.clock().elapsedMillis(since) >= OUTCOME_WAIT_MILLIS) {
			return CompletableFuture.failedFuture(unknown());
		}
		return pollOutcome(key, claimId, fingerprint, since);
	}

	private CompletableFuture<Claim> pollOutcome(String key, String claimId, String fingerprint,
			ElapsedClock.Reading since) {
		CompletableFuture<Void> paused = new CompletableFuture<>();
		this.node.http()
			.timer()
			.schedule(() -> paused.completeAsync(() -> null), OUTCOME_POLL_MILLIS, TimeUnit.MILLISECONDS);
		return paused.thenCompose((done) -> this.node.platform().read(key, 0)).handle((snapshot, failure) -> {
			if (failure != null) {
				return CompletableFuture.<Claim>failedFuture(unknown());
			}
			return snapshot.entries()
				.stream()
				.findFirst()
				.map((entry) -> existing(key, entry, claimId, fingerprint, since))
				.orElseGet(() -> CompletableFuture.failedFuture(unavailable()));
		}).thenCompose((next) -> next);
	}

	private static ServingException unavailable() {
		return new ServingException(FailureCode.PLATFORM_UNAVAILABLE,
				"the idempotency key could not be claimed at the platform");
	}

	private static ServingException unknown() {
		return new ServingException(FailureCode.OUTCOME_UNKNOWN,
				"a request with this idempotency key was sent and its outcome is not known");
	}

	/**
	 * A claimed key, or the outcome of its first run.
	 *
	 * @param key the platform's key
	 * @param revision the claim's revision
	 * @param claimId the claim's identifier
	 * @param fingerprint a digest of the request
	 * @param outcome the outcome of the first run, if it is known
	 */
	public record Claim(String key, long revision, String claimId, String fingerprint, Optional<HttpResponse> outcome) {

		static Claim mine(String key, long revision, String claimId, String fingerprint) {
			return new Claim(key, revision, claimId, fingerprint, Optional.empty());
		}

		static Claim known(String key, HttpResponse outcome) {
			return new Claim(key, 0, "", "", Optional.of(outcome));
		}

	}

	/**
	 * What the platform keeps of a key.
	 *
	 * @param claimId the claim's identifier
	 * @param fingerprint a digest of the request
	 * @param state {@code claimed} or {@code done}
	 * @param status the status of the outcome
	 * @param contentType the media type of the outcome
	 * @param body the content of the outcome
	 */
	record Stored(String claimId, String fingerprint, String state, int status, String contentType, byte[] body) {

		static final String CLAIMED = "claimed";

		static final String DONE = "done";

		HttpResponse reply() {
			byte[] content = (this.body != null) ? this.body : "".getBytes(StandardCharsets.UTF_8);
			return new HttpResponse(this.status,
					Headers.of("Content-Type", this.contentType).with("Idempotency-Replayed", "true"), content);
		}

	}

	private record SharedLease(StoreLease lease, ElapsedClock.Reading granted) {

	}

}
