package org.monsoonvalve.core.connection;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * An HTTP server that hands whole requests to one receiver and lets it answer from any
 * thread.
 *
 * @author monsoonvalve maintainers
 */
public final class HttpFrontend {

	private final HttpServer server;

	private final AtomicBoolean closing;

	private HttpFrontend(HttpServer server, AtomicBoolean closing) {
		this.server = server;
		this.closing = closing;
	}

	/**
	 * Starts a server.
	 * @param address the address to listen on
	 * @param limits the size limits
	 * @param receiver the receiver of requests
	 * @return the server
	 */
	public static HttpFrontend start(Address address, HttpLimits limits, Consumer<IncomingCall> receiver) {
		HttpServer server = new HttpServer();
		AtomicBoolean closing = new AtomicBoolean();
		NetworkListener listener = new NetworkListener("http", address.host(), address.port());
		listener.setMaxHttpHeaderSize(limits.headerBytes());
		listener.setMaxPendingBytes(limits.pendingBytes());
		listener.getTransport().setTcpNoDelay(true);
		listener.getKeepAlive().setMaxRequestsCount(-1);
		server.addListener(listener);
		server.getServerConfiguration().addHttpHandler(new Handler(limits, receiver, closing::get), "/");
		try {
			server.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("can't listen on " + address, ex);
		}
		return new HttpFrontend(server, closing);
	}

	/**
	 * Asks callers, by each answer from now on, to close their connections.
	 */
	public void drain() {
		this.closing.set(true);
	}

	/**
	 * Stops accepting connections and waits for requests in progress.
	 * @param graceMillis the longest wait, in milliseconds
	 */
	public void shutdown(long graceMillis) {
		try {
			this.server.shutdown(graceMillis, TimeUnit.MILLISECONDS).get(graceMillis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException ex) {
			this.server.shutdownNow();
		}
	}

	/**
	 * Stops at once, breaking off requests in progress.
	 */
	public void close() {
		this.server.shutdownNow();
	}

	private static final class Handler extends HttpHandler {

		private final HttpLimits limits;

		private final Consumer<IncomingCall> receiver;

		private final BooleanSupplier closing;

		private Handler(HttpLimits limits, Consumer<IncomingCall> receiver, BooleanSupplier closing) {
			this.closing = closing;
			this.limits = limits;
			this.receiver = receiver;
		}

		@Override
		public void service(Request request, Response response) {
			response.suspend();
			NIOInputStream input = request.getNIOInputStream();
			input.notifyAvailable(new BodyReader(request, response, input));
		}

		private void deliver(IncomingCall call) {
			try {
				this.receiver.accept(call);
			}
			catch (RuntimeException ex) {
				call.refuse(ServingException.from(ex));
			}
		}

		private final class BodyReader implements ReadHandler {

			private final Request request;

			private final Response response;

			private final NIOInputStream input;

			private final ByteArrayOutputStream body = new ByteArrayOutputStream();

			private BodyReader(Request request, Response response, NIOInputStream input) {
				this.request = request;
				this.response = response;
				this.input = input;
			}

			@Override
			public void onDataAvailable() throws IOException {
				readAvailable();
				if (this.body.size() > Handler.this.limits.bodyBytes()) {
					refuseTooLarge();
					return;
				}
				this.input.notifyAvailable(this);
			}

			@Override
			public void onAllDataRead() throws IOException {
				readAvailable();
				if (this.body.size() > Handler.this.limits.bodyBytes()) {
					refuseTooLarge();
					return;
				}
				deliver(new IncomingCall(this.request, this.response, this.body.toByteArray(), Handler.this.closing));
			}

			@Override
			public void onError(Throwable error) {
				this.response.resume();
			}

			private void refuseTooLarge() {
				new IncomingCall(this.request, this.response, new byte[0], Handler.this.closing)
					.refuse(new ServingException(FailureCode.BODY_TOO_LARGE,
							"the body is larger than " + Handler.this.limits.bodyBytes() + " bytes"));
			}

			private void readAvailable() throws IOException {
				while (this.input.isReady()) {
					byte[] chunk = new byte[Math.max(1, this.input.available())];
					int length = this.input.read(chunk);
					if (length <= 0) {
						return;
					}
					this.body.write(chunk, 0, length);
				}
			}

		}

	}

}
