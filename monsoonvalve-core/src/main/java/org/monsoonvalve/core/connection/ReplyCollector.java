package org.monsoonvalve.core.connection;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;

import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Collects a response until it is whole.
 *
 * @author monsoonvalve maintainers
 */
public final class ReplyCollector implements ReplyListener {

	private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final int limitBytes;

	private int status;

	private Headers headers = Headers.empty();

	private ReplyCollector(int limitBytes) {
		this.limitBytes = limitBytes;
	}

	/**
	 * Creates a collector without content.
	 * @param limitBytes the largest content, in bytes
	 * @return the collector
	 */
	public static ReplyCollector of(int limitBytes) {
		return new ReplyCollector(limitBytes);
	}

	/**
	 * Returns the response to come.
	 * @return the whole response, or a {@link ServingException}, with
	 * {@link FailureCode#ANSWER_TOO_LARGE} for content over the limit
	 */
	public CompletableFuture<HttpReply> reply() {
		return this.reply;
	}

	@Override
	public void onHeaders(int replyStatus, Headers replyHeaders) {
		this.status = replyStatus;
		this.headers = replyHeaders;
	}

	@Override
	public void onBody(byte[] chunk) {
		if (this.body.size() + chunk.length > this.limitBytes) {
			onFailure(new ServingException(FailureCode.ANSWER_TOO_LARGE,
					"the answer is larger than " + this.limitBytes + " bytes"));
			return;
		}
		this.body.writeBytes(chunk);
	}

	@Override
	public void onComplete() {
		this.reply.complete(new HttpReply(this.status, this.headers, this.body.toByteArray()));
	}

	@Override
	public void onFailure(ServingException failure) {
		this.reply.completeExceptionally(failure);
	}

}
