package org.monsoonvalve.gateway.request;

import java.util.function.DoubleConsumer;

import org.monsoonvalve.admission.connection.RunningRequests;
import org.monsoonvalve.admission.request.Forecast;

/**
 * The forecast of one attempt at a batch-sensitive engine. Counts the attempt among the
 * requests at the endpoint until it ends, and compares its first event with the forecast.
 * Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
final class AttemptForecast {

	private final RunningRequests.Running running;

	private final Forecast forecast;

	private final long startMillis;

	private final DoubleConsumer onFirstEvent;

	/**
	 * Creates the forecast of an attempt that starts.
	 * @param running the attempt among the requests at the endpoint
	 * @param forecast the corrected forecast
	 * @param startMillis the time of the event loop, in milliseconds
	 * @param onFirstEvent receives the time to the first event, in milliseconds
	 */
	AttemptForecast(RunningRequests.Running running, Forecast forecast, long startMillis, DoubleConsumer onFirstEvent) {
		this.running = running;
		this.forecast = forecast;
		this.startMillis = startMillis;
		this.onFirstEvent = onFirstEvent;
	}

	/**
	 * Returns the corrected forecast.
	 * @return the forecast
	 */
	Forecast forecast() {
		return this.forecast;
	}

	/**
	 * Records events of the stream.
	 * @param events the number of events with data
	 * @param nowMillis the time of the event loop, in milliseconds
	 */
	void eventsArrived(int events, long nowMillis) {
		if (this.running.eventsArrived(events)) {
			this.onFirstEvent.accept(nowMillis - this.startMillis);
		}
	}

	/**
	 * Records that the attempt ended.
	 */
	void ended() {
		this.running.end();
	}

}
