package org.monsoonvalve.core.connection;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;

import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Collects the status, header fields and content of a response, up to a maximum size of
 * the content, into an {@link HttpResponse}.
 *
 * @author monsoonvalve maintainers
 */
public final class ResponseCollector implements ResponseListener {

	private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final int maxBodyBytes;

	private int status;

	private Headers headers = Headers.empty();

	private ResponseCollector(int maxBodyBytes) {
		this.maxBodyBytes = maxBodyBytes;
	}

	/**
	 * Creates an empty collector.
	 * @param maxBodyBytes the maximum size of the content, in bytes
	 * @return the collector
	 */
	public static ResponseCollector of(int maxBodyBytes) {
		return new ResponseCollector(maxBodyBytes);
	}

	/**
	 * Returns the future response.
	 * @return the complete response, or a {@link ServingException}, which has
	 * {@link FailureCode#ANSWER_TOO_LARGE} if the content exceeds the limit
	 */
	public CompletableFuture<HttpResponse> response() {
		return this.response;
	}

	@Override
	public void onHeaders(int responseStatus, Headers responseHeaders) {
		this.status = responseStatus;
		this.headers = responseHeaders;
	}

	@Override
	public void onBody(byte[] chunk) {
		if (this.body.size() + chunk.length > this.maxBodyBytes) {
			onFailure(new ServingException(FailureCode.ANSWER_TOO_LARGE,
					"the response body is larger than " + this.maxBodyBytes + " bytes"));
			return;
		}
		this.body.writeBytes(chunk);
	}

	@Override
	public void onComplete() {
		this.response.complete(new HttpResponse(this.status, this.headers, this.body.toByteArray()));
	}

	@Override
	public void onFailure(ServingException failure) {
		this.response.completeExceptionally(failure);
	}

}
