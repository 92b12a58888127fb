package org.monsoonvalve.core.connection;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Reads the platform's list of VMs, which lags behind their actual state.
 *
 * @author monsoonvalve maintainers
 */
public final class VmList {

	private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

	private final HttpClient client;

	private final Address address;

	private final String userAgent;

	private final long timeoutMillis;

	private VmList(HttpClient client, Address address, String userAgent, long timeoutMillis) {
		this.client = client;
		this.address = address;
		this.userAgent = userAgent;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Creates a reader of the list.
	 * @param client the HTTP client
	 * @param address the platform's address
	 * @param userAgent the {@code User-Agent} that identifies this process to the
	 * platform
	 * @param timeoutMillis the timeout of each call, in milliseconds
	 * @return the reader
	 */
	public static VmList of(HttpClient client, Address address, String userAgent, long timeoutMillis) {
		return new VmList(client, address, userAgent, timeoutMillis);
	}

	/**
	 * Reads the list.
	 * @return the VMs, or a {@link ServingException}, which has
	 * {@link FailureCode#PLATFORM_UNAVAILABLE} if the response is not successful
	 */
	public CompletableFuture<Content> read() {
		HttpRequest request = HttpRequest.get("/v1/vms").withHeader("User-Agent", this.userAgent);
		return this.client.exchangePooled(this.address, request, this.timeoutMillis, MAX_RESPONSE_BYTES)
			.thenApply((response) -> {
				if (!response.successful()) {
					throw new ServingException(FailureCode.PLATFORM_UNAVAILABLE,
							"the VM list request failed with status " + response.status());
				}
				return Codec.JSON.decode(response.body(), Content.class);
			});
	}

	/**
	 * The list's content.
	 *
	 * @param vms the VMs
	 */
	public record Content(List<Vm> vms) {

	}

	/**
	 * A VM as the platform reports it.
	 *
	 * @param id its identifier
	 * @param state {@code live}, {@code leaving} or {@code destroyed}
	 */
	public record Vm(String id, String state) {

		/** The state of a VM that the platform is about to remove. */
		public static final String LEAVING = "leaving";

		/** The state of a VM that no longer exists. */
		public static final String DESTROYED = "destroyed";

	}

}
