package org.monsoonvalve.core.connection;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.http.HttpBrokenContent;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * A caller's connection: reads requests, hands them on one after another and writes their
 * answers in the same order.
 *
 * @author monsoonvalve maintainers
 */
final class CallerConnection {

	/** Requests that a caller may send ahead of their answers. */
	private static final int MAX_PIPELINED = 16;

	private static final int CONTINUE = 100;

	private final Connection<?> connection;

	private final HttpLimits limits;

	private final BooleanSupplier closing;

	private final Consumer<IncomingCall> receiver;

	private final Deque<IncomingCall> waiting = new ArrayDeque<>();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private IncomingCall current;

	private boolean reading;

	private boolean refusing;

	private long pendingBytes;

	private volatile long activityMillis = EventLoop.nowMillis();

	CallerConnection(Connection<?> connection, HttpLimits limits, BooleanSupplier closing,
			Consumer<IncomingCall> receiver) {
		this.connection = connection;
		this.limits = limits;
		this.closing = closing;
		this.receiver = receiver;
	}

	long number() {
		return this.connection.getId();
	}

	boolean closingSoon() {
		return this.closing.getAsBoolean();
	}

	synchronized int callsInProgress() {
		return this.waiting.size() + ((this.current != null) ? 1 : 0);
	}

	void received(HttpContent content) {
		HttpRequestPacket request = (HttpRequestPacket) content.getHttpHeader();
		this.activityMillis = EventLoop.nowMillis();
		if (this.refusing || content instanceof HttpBrokenContent) {
			close();
			return;
		}
		if (!this.reading) {
			begin(request);
		}
		Buffer buffer = content.getContent();
		if (this.body.size() + buffer.remaining() > this.limits.bodyBytes()) {
			refuse(request, new ServingException(FailureCode.BODY_TOO_LARGE,
					"the body is larger than " + this.limits.bodyBytes() + " bytes"));
			return;
		}
		append(buffer);
		if (content.isLast()) {
			this.reading = false;
			accept(new IncomingCall(this, request, headersOf(request), this.body.toByteArray()));
			this.body.reset();
		}
	}

	private void begin(HttpRequestPacket request) {
		this.reading = true;
		if (request.requiresAcknowledgement()) {
			HttpResponsePacket response = request.getResponse();
			response.setStatus(CONTINUE);
			response.setAcknowledgement(true);
			this.connection.write(HttpContent.builder(response).build());
		}
	}

	private void append(Buffer buffer) {
		int length = buffer.remaining();
		if (length > 0) {
			byte[] chunk = new byte[length];
			buffer.get(chunk);
			this.body.write(chunk, 0, length);
		}
	}

	private void refuse(HttpRequestPacket request, ServingException failure) {
		this.refusing = true;
		IncomingCall call = new IncomingCall(this, request, headersOf(request), new byte[0]);
		synchronized (this) {
			this.current = call;
		}
		call.refuse(failure);
	}

	private void accept(IncomingCall call) {
		if (ambiguousFraming(call.headers())) {
			synchronized (this) {
				this.current = call;
			}
			this.refusing = true;
			call.refuse(new ServingException(FailureCode.MALFORMED_CONTENT, "the length of the body is ambiguous"));
			return;
		}
		synchronized (this) {
			if (this.current != null) {
				if (this.waiting.size() >= MAX_PIPELINED) {
					close();
					return;
				}
				this.waiting.add(call);
				return;
			}
			this.current = call;
		}
		deliver(call);
	}

	// Two readers may frame such a request differently, which request smuggling needs.
	private static boolean ambiguousFraming(Headers headers) {
		long lengths = headers.count("Content-Length");
		long encodings = headers.count("Transfer-Encoding");
		return lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0);
	}

	private void deliver(IncomingCall call) {
		try {
			this.receiver.accept(call);
		}
		catch (RuntimeException ex) {
			call.refuse(ServingException.from(ex));
		}
	}

	void answered(IncomingCall call, boolean keep) {
		this.activityMillis = EventLoop.nowMillis();
		IncomingCall next;
		synchronized (this) {
			if (this.current != call) {
				return;
			}
			next = keep ? this.waiting.poll() : null;
			this.current = next;
		}
		if (!keep || this.refusing) {
			this.connection.closeSilently();
		}
		else if (next != null) {
			deliver(next);
		}
	}

	// Returns false if the connection is closed or the caller has left too much unread.
	boolean write(HttpResponsePacket response, byte[] chunk, boolean last) {
		if (!this.connection.isOpen()) {
			return false;
		}
		synchronized (this) {
			if (this.pendingBytes > this.limits.pendingBytes()) {
				return false;
			}
			this.pendingBytes += chunk.length;
		}
		Buffer buffer = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, chunk);
		write(this.connection, HttpContent.builder(response).content(buffer).last(last).build(),
				() -> written(chunk.length));
		return true;
	}

	private synchronized void written(int bytes) {
		this.pendingBytes -= bytes;
	}

	private static <L> void write(Connection<L> connection, HttpContent content, Runnable whenWritten) {
		connection.write(content, new EmptyCompletionHandler<WriteResult<HttpContent, L>>() {

			@Override
			public void completed(WriteResult<HttpContent, L> result) {
				whenWritten.run();
			}

		});
	}

	synchronized boolean writable() {
		return this.pendingBytes == 0;
	}

	void closeIfIdle(long idleMillis, long headerMillis) {
		long quietMillis = EventLoop.nowMillis() - this.activityMillis;
		boolean expired = this.reading ? quietMillis > headerMillis : quietMillis > idleMillis;
		if (expired && callsInProgress() == 0) {
			close();
		}
	}

	void close() {
		this.connection.terminateSilently();
	}

	void closed() {
		List<IncomingCall> left = new ArrayList<>();
		synchronized (this) {
			if (this.current != null) {
				left.add(this.current);
			}
			this.current = null;
			this.waiting.clear();
		}
		left.forEach(IncomingCall::abandon);
	}

	static boolean keepsConnection(HttpRequestPacket request, Headers headers) {
		String option = headers.get("Connection").orElse("").toLowerCase(Locale.ROOT);
		return (request.getProtocol() == Protocol.HTTP_1_1) ? !option.contains("close") : option.contains("keep-alive");
	}

	static Headers headersOf(HttpHeader packet) {
		MimeHeaders source = packet.getHeaders();
		List<Headers.Field> fields = new ArrayList<>(source.size());
		for (int i = 0; i < source.size(); i++) {
			fields.add(new Headers.Field(source.getName(i).toString(), source.getValue(i).toString()));
		}
		return new Headers(fields);
	}

}
