package org.monsoonvalve.gateway.request;

import java.util.Optional;

import org.monsoonvalve.admission.request.Urgency;
import org.monsoonvalve.admission.request.WorkSize;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.gateway.version.EngineProfile;
import org.monsoonvalve.gateway.version.Route;
import org.monsoonvalve.gateway.version.ServiceProfile;
import org.monsoonvalve.gateway.version.Workspace;

/**
 * What the decisions about a request know of it.
 *
 * @author monsoonvalve maintainers
 * @param service the service that it is for
 * @param route its route
 * @param workspace the caller's workspace, empty without a known key
 * @param model the model that it is for, empty for a service without engines
 * @param size its work at an engine
 * @param urgency its urgency
 * @param startMillis the time of the event loop at which it arrived, in milliseconds
 * @param deadlineMillis the time at which the caller gives up, in milliseconds
 */
record RequestProfile(ServiceProfile service, Route route, Optional<Workspace> workspace, Optional<String> model,
		WorkSize size, Urgency urgency, long startMillis, long deadlineMillis) {

	/** The expected output without an estimate, per token of the maximum. */
	private static final double OUTPUT_PER_MAX_TOKEN = 0.5;

	private static final WorkSize NO_WORK = new WorkSize(0, 0);

	/**
	 * Creates the profile of a request.
	 * @param match the route and service of the request
	 * @param headers the header fields of the request
	 * @param names the names of header fields
	 * @param startMillis the time at which it arrived, in milliseconds
	 * @return the profile
	 */
	static RequestProfile of(Router.Match match, Headers headers, HeaderNames names, long startMillis) {
		Route route = match.route();
		long requestedMillis = headers.get(names.deadlineMillis())
			.filter((text) -> text.matches("[0-9]{1,9}"))
			.map(Long::valueOf)
			.orElse(route.timeoutMillis());
		Optional<EngineProfile> engine = match.service().engine();
		return new RequestProfile(match.service(), route, match.workspace(),
				engine.flatMap((profile) -> headers.get(names.model())),
				engine.map((profile) -> sizeOf(headers, names, profile.usualSize())).orElse(NO_WORK),
				new Urgency(match.workspace().map(Workspace::priority).orElse(0), route.priority()), startMillis,
				startMillis + Math.min(requestedMillis, route.timeoutMillis()));
	}

	// The caller's estimate of the output is used within the maximum that it states.
	private static WorkSize sizeOf(Headers headers, HeaderNames names, WorkSize usual) {
		String[] counts = headers.get(names.tokenCounts()).map((text) -> text.split(",", 2)).orElse(new String[0]);
		int prompt = (counts.length > 0) ? number(counts[0], usual.promptTokens()) : usual.promptTokens();
		int maxOutput = (counts.length > 1) ? number(counts[1], 0) : 0;
		int expected = headers.get(names.outputEstimate())
			.map((text) -> number(text, 0))
			.filter((estimate) -> estimate > 0)
			.orElse((maxOutput > 0) ? (int) Math.ceil(maxOutput * OUTPUT_PER_MAX_TOKEN) : usual.outputTokens());
		return new WorkSize(prompt, (maxOutput > 0) ? Math.min(expected, maxOutput) : expected);
	}

	private static int number(String text, int fallback) {
		String digits = text.strip();
		return digits.matches("[0-9]{1,8}") ? Integer.parseInt(digits) : fallback;
	}

	/**
	 * Tells whether the service's engines take longer the more requests run together.
	 * @return {@code true} if the decisions weigh forecasts rather than numbers of
	 * requests
	 */
	boolean batchSensitive() {
		return this.service.engine().filter((engine) -> engine.timings().batchSensitive()).isPresent();
	}

}
