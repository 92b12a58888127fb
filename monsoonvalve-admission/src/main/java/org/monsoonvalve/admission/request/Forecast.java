package org.monsoonvalve.admission.request;

/**
 * The forecast of a request at an engine.
 *
 * @author monsoonvalve maintainers
 * @param firstEventMillis the time from sending the request to its first event, in
 * milliseconds
 * @param gapMillis the mean time between two of its events, in milliseconds
 * @param endMillis the time from sending the request to its last event, in milliseconds
 */
public record Forecast(double firstEventMillis, double gapMillis, double endMillis) {

	/**
	 * Multiplies all times.
	 * @param factor the factor
	 * @return the product
	 */
	public Forecast times(double factor) {
		return new Forecast(this.firstEventMillis * factor, this.gapMillis * factor, this.endMillis * factor);
	}

	/**
	 * Replaces the time to the first event; the end moves with it.
	 * @param millis the time to the first event, in milliseconds
	 * @return the changed forecast
	 */
	public Forecast withFirstEvent(double millis) {
		return new Forecast(millis, this.gapMillis, this.endMillis + millis - this.firstEventMillis);
	}

}
