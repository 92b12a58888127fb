package org.monsoonvalve.entry.connection;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.monsoonvalve.core.connection.EndpointStatus;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.HttpConnection;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.connection.HttpResponse;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.ElapsedClock;
import org.monsoonvalve.core.process.EventLog;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.core.version.Inventory;

/**
 * Connections to one endpoint, and what is known of it.
 *
 * @author monsoonvalve maintainers
 */
public final class Endpoint {

	private static final long STATUS_TIMEOUT_MILLIS = 500;

	private static final int STATUS_LIMIT_BYTES = 16 * 1024;

	private static final int MAX_IDLE = 64;

	private static final long FIRST_PENALTY_MILLIS = 250;

	private static final long REFUSED_MILLIS = 50;

	private static final int MAX_PENALTY_DOUBLINGS = 5;

	private final EventLog log = EventLog.of(Endpoint.class);

	private final Inventory.Vm vm;

	private final HttpClient client;

	private final ElapsedClock clock;

	private final ConcurrentLinkedDeque<HttpConnection> idle = new ConcurrentLinkedDeque<>();

	private final AtomicReference<Observation> last = new AtomicReference<>();

	private final AtomicReference<CompletableFuture<Observation>> probing = new AtomicReference<>();

	private final AtomicReference<Failures> failures = new AtomicReference<>();

	private final AtomicReference<ElapsedClock.Reading> slotRefused = new AtomicReference<>();

	private final AtomicBoolean coldTry = new AtomicBoolean();

	private final AtomicInteger outstanding = new AtomicInteger();

	private Endpoint(Inventory.Vm vm, HttpClient client, ElapsedClock clock) {
		this.vm = vm;
		this.client = client;
		this.clock = clock;
	}

	/**
	 * Creates an endpoint without connections.
	 * @param vm its VM
	 * @param client opens connections
	 * @param clock measures the age of observations
	 * @return the endpoint
	 */
	public static Endpoint of(Inventory.Vm vm, HttpClient client, ElapsedClock clock) {
		return new Endpoint(vm, client, clock);
	}

	/**
	 * Returns the VM.
	 * @return the VM
	 */
	public Inventory.Vm vm() {
		return this.vm;
	}

	/**
	 * Returns the counter of requests that this process has sent and not seen end.
	 * @return the counter
	 */
	public AtomicInteger outstanding() {
		return this.outstanding;
	}

	/**
	 * Tells whether the endpoint failed lately and should be tried last.
	 * @return {@code true} while its penalty lasts
	 */
	public boolean penalised() {
		Failures recent = this.failures.get();
		return recent != null && this.clock.elapsedMillis(recent.at()) < recent.penaltyMillis();
	}

	/**
	 * Notes that the endpoint failed.
	 */
	public void failed() {
		this.failures
			.updateAndGet((recent) -> new Failures((recent != null) ? recent.count() + 1 : 1, this.clock.now()));
	}

	/**
	 * Notes that the endpoint answered a request.
	 */
	public void succeeded() {
		this.failures.set(null);
	}

	/**
	 * Asks for the only turn of this process to try for a cold-start slot of the
	 * endpoint. While one request tries, and for a moment after it was refused, others
	 * need not reach the endpoint or the issuer.
	 * @return {@code true} if the caller may try; {@link #endColdTry(boolean)} ends it
	 */
	public boolean beginColdTry() {
		ElapsedClock.Reading refused = this.slotRefused.get();
		boolean tooSoon = refused != null && this.clock.elapsedMillis(refused) < REFUSED_MILLIS;
		return !tooSoon && this.coldTry.compareAndSet(false, true);
	}

	/**
	 * Ends a try for a cold-start slot.
	 * @param refused whether the endpoint had no free slot
	 */
	public void endColdTry(boolean refused) {
		this.slotRefused.set(refused ? this.clock.now() : null);
		this.coldTry.set(false);
	}

	/**
	 * Tells whether the endpoint was cold when it was last asked.
	 * @return {@code true} if a request needs a cold-start slot as far as is known
	 */
	public boolean knownCold() {
		Observation known = this.last.get();
		return known != null && !known.status().warm();
	}

	/**
	 * Provides an observation that is recent enough, asking the endpoint if need be.
	 * Callers that ask at the same time share one exchange.
	 * @param maxAgeMillis the greatest age, in milliseconds
	 * @return the observation, or a {@link ServingException} with
	 * {@link FailureCode#UNREACHABLE}
	 */
	public CompletableFuture<Observation> observe(long maxAgeMillis) {
		Observation known = this.last.get();
		if (known != null && this.clock.elapsedMillis(known.at()) <= maxAgeMillis) {
			return CompletableFuture.completedFuture(known);
		}
		CompletableFuture<Observation> mine = new CompletableFuture<>();
		CompletableFuture<Observation> other = this.probing.compareAndExchange(null, mine);
		if (other != null) {
			return other;
		}
		checkedConnection().whenComplete((checked, failure) -> {
			this.probing.set(null);
			if (failure != null) {
				mine.completeExceptionally(ServingException.from(failure));
				return;
			}
			release(checked.connection());
			mine.complete(checked.observation());
		});
		return mine;
	}

	/**
	 * Provides a connection on which the endpoint has just answered. A pooled connection
	 * that does not answer is closed with all others, and a new one is tried once.
	 * @return the connection, or a {@link ServingException} with
	 * {@link FailureCode#UNREACHABLE}
	 */
	public CompletableFuture<Checked> checkedConnection() {
		HttpConnection pooled = pollIdle();
		if (pooled == null) {
			return openAndCheck();
		}
		return check(pooled).handle((checked, failure) -> {
			if (failure == null) {
				return CompletableFuture.completedFuture(checked);
			}
			if (ServingException.from(failure).code() == FailureCode.TIMEOUT) {
				this.log.emit(LogEvent.CONNECTION_SILENT, this.vm.address());
			}
			closeIdle();
			return openAndCheck();
		}).thenCompose((next) -> next);
	}

	/**
	 * Asks the endpoint for its state on a connection.
	 * @param connection the connection
	 * @return the connection with what the endpoint said
	 */
	public CompletableFuture<Checked> check(HttpConnection connection) {
		ElapsedClock.Reading start = this.clock.now();
		return connection.exchange(HttpRequest.get("/status"), STATUS_TIMEOUT_MILLIS, STATUS_LIMIT_BYTES)
			.thenApply((reply) -> new Checked(connection, observation(reply, start)))
			.whenComplete((checked, failure) -> {
				if (failure != null) {
					connection.close();
				}
			});
	}

	/**
	 * Takes back a connection whose last response was complete.
	 * @param connection the connection
	 */
	public void release(HttpConnection connection) {
		if (connection.idle() && this.idle.size() < MAX_IDLE) {
			this.idle.addFirst(connection);
		}
		else {
			connection.close();
		}
	}

	/**
	 * Closes the idle connections.
	 */
	public void closeIdle() {
		HttpConnection connection = this.idle.pollFirst();
		while (connection != null) {
			connection.close();
			connection = this.idle.pollFirst();
		}
	}

	private HttpConnection pollIdle() {
		HttpConnection connection = this.idle.pollFirst();
		while (connection != null && !connection.idle()) {
			connection.close();
			connection = this.idle.pollFirst();
		}
		return connection;
	}

	private CompletableFuture<Checked> openAndCheck() {
		return this.client.connect(this.vm.address()).thenCompose(this::check).handle((checked, failure) -> {
			if (failure != null) {
				failed();
				throw new ServingException(FailureCode.UNREACHABLE, ServingException.from(failure).getMessage());
			}
			return checked;
		});
	}

	private Observation observation(HttpResponse reply, ElapsedClock.Reading start) {
		if (!reply.successful()) {
			throw new ServingException(FailureCode.UNREACHABLE,
					this.vm.address() + " answered its status request with " + reply.status());
		}
		Observation seen = new Observation(Codec.JSON.decode(reply.body(), EndpointStatus.class), start);
		Observation before = this.last.getAndSet(seen);
		if (before != null && !before.status().bootId().equals(seen.status().bootId())) {
			this.log.emit(LogEvent.ENDPOINT_RESTARTED, this.vm.id(), seen.status().bootId(), !seen.status().warm());
		}
		return seen;
	}

	/**
	 * What an endpoint said of itself.
	 *
	 * @param status what it said
	 * @param at when it was asked
	 */
	public record Observation(EndpointStatus status, ElapsedClock.Reading at) {

	}

	/**
	 * A connection on which the endpoint has just answered.
	 *
	 * @param connection the connection
	 * @param observation what the endpoint said
	 */
	public record Checked(HttpConnection connection, Observation observation) {

	}

	private record Failures(int count, ElapsedClock.Reading at) {

		private long penaltyMillis() {
			return FIRST_PENALTY_MILLIS << Math.min(this.count - 1, MAX_PENALTY_DOUBLINGS);
		}

	}

}
