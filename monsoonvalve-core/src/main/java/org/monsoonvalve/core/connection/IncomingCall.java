package org.monsoonvalve.core.connection;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.Problem;
import org.monsoonvalve.core.request.ServingException;

/**
 * A request received by a server, and the means to answer it from any thread. The first
 * answer counts; later ones are ignored.
 *
 * @author monsoonvalve maintainers
 */
public final class IncomingCall {

	private static final AtomicLong LAST_NUMBER = new AtomicLong();

	private static final Attribute<Long> NUMBER = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(IncomingCall.class.getName(), LAST_NUMBER::incrementAndGet);

	private static final String RETRY_AFTER_SECONDS = "1";

	private final Request request;

	private final Response response;

	private final Headers headers;

	private final byte[] body;

	private final AtomicBoolean answered = new AtomicBoolean();

	private final AtomicBoolean finished = new AtomicBoolean();

	private final NIOOutputStream output;

	private volatile Runnable onAbandoned = () -> {
	};

	private volatile Runnable onFinished = () -> {
	};

	private final BooleanSupplier closing;

	IncomingCall(Request request, Response response, byte[] body, BooleanSupplier closing) {
		this.closing = closing;
		this.request = request;
		this.response = response;
		this.headers = headersOf(request);
		this.body = body;
		this.output = response.getNIOOutputStream();
	}

	/**
	 * Returns the method.
	 * @return the method, such as {@code GET}
	 */
	public String method() {
		return this.request.getMethod().getMethodString();
	}

	/**
	 * Returns the path.
	 * @return the path without the query
	 */
	public String path() {
		return this.request.getRequestURI();
	}

	/**
	 * Returns the path and query.
	 * @return the request target
	 */
	public String target() {
		String query = this.request.getQueryString();
		return (query != null) ? path() + "?" + query : path();
	}

	/**
	 * Identifies the connection that the request came on.
	 * @return the connection's number, unique in this process
	 */
	public long connectionNumber() {
		return NUMBER.get(this.request.getContext().getConnection());
	}

	/**
	 * Reads a query parameter.
	 * @param name the parameter's name
	 * @param fallback the value to use without it
	 * @return the value
	 */
	public String query(String name, String fallback) {
		String value = this.request.getParameter(name);
		return (value != null) ? value : fallback;
	}

	/**
	 * Returns the header fields.
	 * @return the fields
	 */
	public Headers headers() {
		return this.headers;
	}

	/**
	 * Returns the content.
	 * @return the bytes, empty if there are none
	 */
	public byte[] body() {
		return this.body;
	}

	/**
	 * Sets what to do when the caller's connection fails.
	 * @param action the action
	 */
	public void onAbandoned(Runnable action) {
		this.onAbandoned = action;
	}

	/**
	 * Sets what to do when the answer has ended, whole or not.
	 * @param action the action
	 */
	public void onFinished(Runnable action) {
		this.onFinished = action;
	}

	/**
	 * Answers with whole content.
	 * @param status the status
	 * @param fields the header fields
	 * @param content the content
	 */
	public void reply(int status, Headers fields, byte[] content) {
		if (!this.answered.compareAndSet(false, true)) {
			return;
		}
		apply(status, fields);
		this.response.setContentLength(content.length);
		write(content);
		finish();
	}

	/**
	 * Answers with JSON.
	 * @param status the status
	 * @param value the value to encode
	 */
	public void replyJson(int status, Object value) {
		reply(status, Headers.of("Content-Type", "application/json"),
				org.monsoonvalve.core.process.Codec.JSON.encode(value));
	}

	/**
	 * Answers with a refusal.
	 * @param failure the failure
	 */
	public void refuse(ServingException failure) {
		FailureCode code = failure.code();
		Headers fields = Headers.of("Content-Type", Problem.MEDIA_TYPE);
		reply(code.status(), code.retryable() ? fields.with("Retry-After", RETRY_AFTER_SECONDS) : fields,
				Problem.of(failure).encode());
	}

	/**
	 * Begins an answer whose content is written piece by piece.
	 * @param status the status
	 * @param fields the header fields
	 * @return {@code true} unless the request was answered before
	 */
	public boolean begin(int status, Headers fields) {
		if (!this.answered.compareAndSet(false, true)) {
			return false;
		}
		apply(status, fields);
		return true;
	}

	/**
	 * Writes and flushes a piece of content of an answer that was begun.
	 * @param chunk the bytes
	 */
	public void write(byte[] chunk) {
		if (this.finished.get()) {
			return;
		}
		try {
			synchronized (this.output) {
				this.output.write(chunk);
				this.output.flush();
			}
		}
		catch (IOException | IllegalStateException ex) {
			abandon();
		}
	}

	/**
	 * Tells whether the caller takes content as fast as it is written.
	 * @return {@code false} if earlier content still waits in memory
	 */
	public boolean writable() {
		return this.output.canWrite();
	}

	/**
	 * Ends an answer that was begun; its content is complete.
	 */
	public void finish() {
		if (this.finished.compareAndSet(false, true)) {
			this.response.resume();
			this.onFinished.run();
		}
	}

	/**
	 * Breaks off an answer that was begun, so that the caller sees its content as
	 * incomplete.
	 */
	public void abort() {
		if (this.finished.compareAndSet(false, true)) {
			this.request.getContext().getConnection().closeSilently();
			this.response.resume();
			this.onFinished.run();
		}
	}

	/**
	 * Tells whether an answer was begun.
	 * @return {@code true} once a status was chosen
	 */
	public boolean answered() {
		return this.answered.get();
	}

	private void abandon() {
		if (this.finished.compareAndSet(false, true)) {
			this.answered.set(true);
			this.onAbandoned.run();
			this.onFinished.run();
			if (this.response.isSuspended()) {
				this.response.resume();
			}
		}
	}

	private void apply(int status, Headers fields) {
		this.response.setStatus(status);
		if (this.closing.getAsBoolean()) {
			this.response.addHeader("Connection", "close");
		}
		fields.fields().forEach((field) -> {
			if ("Content-Type".equalsIgnoreCase(field.name())) {
				this.response.setContentType(field.value());
			}
			else {
				this.response.addHeader(field.name(), field.value());
			}
		});
	}

	private static Headers headersOf(Request request) {
		List<Headers.Field> fields = new ArrayList<>();
		for (String name : request.getHeaderNames()) {
			request.getHeaders(name).forEach((value) -> fields.add(new Headers.Field(name, value)));
		}
		return new Headers(fields);
	}

}
