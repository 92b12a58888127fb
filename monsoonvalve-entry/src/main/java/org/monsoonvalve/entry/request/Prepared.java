package org.monsoonvalve.entry.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

import org.monsoonvalve.core.connection.HttpConnection;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.connection.HttpResponse;
import org.monsoonvalve.core.connection.ResponseListener;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.entry.connection.Endpoint;
import org.monsoonvalve.entry.connection.Slots;
import org.monsoonvalve.entry.version.Target;

/**
 * A target that is ready for one request: a connection on which it has just answered,
 * evidence that it may be sent to, and a cold-start slot if it needs one.
 *
 * @author monsoonvalve maintainers
 */
public final class Prepared {

	private final Target target;

	private final Endpoint endpoint;

	private final HttpConnection connection;

	private final Optional<Slots.Slot> slot;

	private final BooleanSupplier valid;

	private final AtomicBoolean ended = new AtomicBoolean();

	Prepared(Target target, Endpoint endpoint, HttpConnection connection, Optional<Slots.Slot> slot,
			BooleanSupplier valid) {
		this.target = target;
		this.endpoint = endpoint;
		this.connection = connection;
		this.slot = slot;
		this.valid = valid;
		endpoint.outstanding().incrementAndGet();
	}

	/**
	 * Returns the target.
	 * @return the target
	 */
	public Target target() {
		return this.target;
	}

	/**
	 * Returns the endpoint that takes the request.
	 * @return the endpoint
	 */
	public Endpoint endpoint() {
		return this.endpoint;
	}

	/**
	 * Tells whether the target is cold.
	 * @return {@code true} if the request holds a cold-start slot
	 */
	public boolean cold() {
		return this.slot.isPresent();
	}

	/**
	 * Sends the request, unless the evidence has become too old in the meantime.
	 * @param call the request
	 * @param progressTimeoutMillis the longest silence, in milliseconds
	 * @param listener the receiver of the response
	 * @throws ServingException with {@link FailureCode#UNREACHABLE} if no byte was sent
	 */
	public void send(HttpRequest call, long progressTimeoutMillis, ResponseListener listener) {
		if (!this.valid.getAsBoolean()) {
			throw notReady();
		}
		this.connection.send(call, progressTimeoutMillis, listener);
	}

	/**
	 * Sends the request, unless the evidence has become too old in the meantime, and
	 * collects the whole response.
	 * @param call the request
	 * @param timeoutMillis the longest time for the whole exchange, in milliseconds
	 * @param limitBytes the largest content, in bytes
	 * @return the response, or a {@link ServingException}, with
	 * {@link FailureCode#UNREACHABLE} if no byte was sent
	 */
	public CompletableFuture<HttpResponse> exchange(HttpRequest call, long timeoutMillis, int limitBytes) {
		if (!this.valid.getAsBoolean()) {
			return CompletableFuture.failedFuture(notReady());
		}
		return this.connection.exchange(call, timeoutMillis, limitBytes);
	}

	/**
	 * Ends the use of the target after a whole response.
	 */
	public void succeed() {
		if (this.ended.compareAndSet(false, true)) {
			this.endpoint.succeeded();
			this.endpoint.release(this.connection);
			settle();
		}
	}

	/**
	 * Ends the use of the target without a whole response; the connection is closed.
	 */
	public void fail() {
		if (this.ended.compareAndSet(false, true)) {
			this.connection.close();
			settle();
		}
	}

	private ServingException notReady() {
		return new ServingException(FailureCode.UNREACHABLE, this.target.id() + " is no longer known to be ready");
	}

	private void settle() {
		this.endpoint.outstanding().decrementAndGet();
		this.slot.ifPresent((held) -> held.release().run());
	}

}
