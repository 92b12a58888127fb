package org.monsoonvalve.gateway.request;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.monsoonvalve.core.connection.Headers;

/**
 * Selects the header fields that are forwarded between callers and endpoints.
 *
 * @author monsoonvalve maintainers
 */
final class ForwardedHeaders {

	/** Fields that apply to a single connection only, in lower case. */
	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect");

	/** The caller's key, and the length, which is set again when the body is sent. */
	private static final Set<String> NOT_FORWARDED = Set.of("authorization", "content-length");

	private ForwardedHeaders() {
	}

	/**
	 * Selects the fields of a request that are forwarded to endpoints.
	 * @param headers the caller's fields
	 * @param names the names of header fields, some of which only this system may set
	 * @return the forwarded fields
	 */
	static Headers ofRequest(Headers headers, HeaderNames names) {
		Set<String> dropped = new HashSet<>(NOT_FORWARDED);
		List.of(names.workspace(), names.expectedEndpoint(), names.deadlineMillis())
			.forEach((name) -> dropped.add(name.toLowerCase(Locale.ROOT)));
		return endToEnd(headers, dropped);
	}

	/**
	 * Selects the fields of a response that are forwarded to callers.
	 * @param headers the endpoint's fields
	 * @return the forwarded fields
	 */
	static Headers ofResponse(Headers headers) {
		return endToEnd(headers, Set.of());
	}

	private static Headers endToEnd(Headers headers, Set<String> dropped) {
		Set<String> excluded = new HashSet<>(dropped);
		headers.get("Connection")
			.ifPresent((options) -> Arrays.stream(options.split(","))
				.forEach((option) -> excluded.add(option.strip().toLowerCase(Locale.ROOT))));
		return new Headers(headers.fields().stream().filter((field) -> {
			String name = field.name().toLowerCase(Locale.ROOT);
			return !HOP_BY_HOP.contains(name) && !excluded.contains(name);
		}).toList());
	}

}
