package org.monsoonvalve.standins.process;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.monsoonvalve.core.connection.EndpointStatus;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpLimits;
import org.monsoonvalve.core.connection.HttpServer;
import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.Settings;
import org.monsoonvalve.standins.process.Faults.FaultKind;

/**
 * Stands in for a plain service, such as one that books lorries.
 *
 * @author monsoonvalve maintainers
 */
public final class ServiceStandin {

	private static final int OK = 200;

	private static final int CREATED = 201;

	private final EndpointState state;

	private final AtomicLong bookings = new AtomicLong();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

	private ServiceStandin(Settings settings) {
		this.state = new EndpointState(settings);
	}

	/**
	 * Starts the stand-in.
	 * @param settings the settings
	 * @return the server
	 */
	public static HttpServer start(Settings settings) {
		ServiceStandin service = new ServiceStandin(settings);
		return HttpServer.start(settings.get(StandinSettings.LISTEN), HttpLimits.defaults(), service::handle);
	}

	private void handle(IncomingCall call) {
		if (this.state.handleCommon(call)) {
			return;
		}
		if (call.path().equals("/status")) {
			call.replyJson(OK, this.state.tell(call, new EndpointStatus(this.state.bootId(), this.state.uptimeMillis(),
					this.state.warm(), this.state.leaving(), "", 0, "", true, this.state.running())));
			return;
		}
		if (this.state.faults().take(FaultKind.RESET_BEFORE)) {
			EndpointState.reset(call);
			return;
		}
		EndpointState.Execution execution = this.state.begin(call, call.headers().get("X-Client-Id").orElse(""), "", 0,
				true);
		long millis = this.state.settings().get(StandinSettings.SERVICE_MILLIS)
				+ this.state.faults().get(FaultKind.DELAY_MILLIS);
		this.timer.schedule(() -> finish(call, execution), millis, TimeUnit.MILLISECONDS);
	}

	private void finish(IncomingCall call, EndpointState.Execution execution) {
		boolean alive = this.state.alive(execution);
		this.state.end(execution, true);
		if (!alive || this.state.faults().take(FaultKind.RESET_AFTER)) {
			EndpointState.reset(call);
			return;
		}
		if (this.state.silent(call)) {
			return;
		}
		boolean booking = "POST".equals(call.method());
		ObjectNode answer = Codec.JSON.object();
		answer.put("path", call.target());
		answer.put("requestId", call.headers().get("X-Request-Id").orElse(""));
		answer.put("vm", this.state.settings().get(StandinSettings.VM));
		answer.put("clientId", call.headers().get("X-Client-Id").orElse(""));
		if (booking) {
			answer.put("booking", this.bookings.incrementAndGet());
		}
		byte[] content = Codec.JSON.encode(answer);
		if (this.state.faults().take(FaultKind.TRUNCATE)) {
			call.begin(OK, Headers.of("Content-Type", "application/json"));
			call.write(java.util.Arrays.copyOf(content, content.length / 2));
			call.abort();
			return;
		}
		call.reply(booking ? CREATED : OK, Headers.of("Content-Type", "application/json"), content);
	}

}
