package org.monsoonvalve.burn.process;

import java.util.List;
import java.util.Map;

/**
 * The counts of one workspace, pool and objective, as entries publish them.
 *
 * @author monsoonvalve maintainers
 * @param workspace the workspace
 * @param pool the pool
 * @param objective the objective
 * @param target the share of events that has to be good
 * @param bucketMillis the length of an interval, in milliseconds
 * @param points the intervals
 */
public record SloSeries(String workspace, String pool, String objective, double target, long bucketMillis,
		List<Point> points) {

	/**
	 * The counts of one interval.
	 *
	 * @param startMillis its start, in milliseconds since the epoch
	 * @param good how many events were good
	 * @param bad how many were bad, by cause
	 */
	public record Point(long startMillis, long good, Map<String, Long> bad) {

		/**
		 * Counts the bad events of all causes.
		 * @return the number of bad events
		 */
		public long badCount() {
			return this.bad.values().stream().mapToLong(Long::longValue).sum();
		}

	}

}
