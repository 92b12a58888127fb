package org.monsoonvalve.entry.process;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/**
 * The measurements of an entry in the form that {@code /metrics} publishes.
 *
 * @author monsoonvalve maintainers
 * @param gauges the gauges by name
 * @param counters the counters by name
 * @param timers the distributions of durations by name
 */
public record MetricsReport(Map<String, Object> gauges, Map<String, Long> counters, Map<String, Distribution> timers) {

	private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	/**
	 * Reads a registry.
	 * @param registry the registry
	 * @return the report
	 */
	public static MetricsReport of(MetricRegistry registry) {
		Map<String, Object> gauges = new TreeMap<>();
		registry.getGauges().forEach((name, gauge) -> gauges.put(name, gauge.getValue()));
		Map<String, Long> counters = new TreeMap<>();
		registry.getCounters().forEach((name, counter) -> counters.put(name, counter.getCount()));
		Map<String, Distribution> timers = new TreeMap<>();
		registry.getTimers()
			.forEach((name, timer) -> timers.put(name, distribution(timer.getCount(), timer.getSnapshot())));
		return new MetricsReport(gauges, counters, timers);
	}

	private static Distribution distribution(long count, Snapshot snapshot) {
		return new Distribution(count, snapshot.getMedian() / NANOS_PER_MILLI,
				snapshot.get95thPercentile() / NANOS_PER_MILLI, snapshot.get99thPercentile() / NANOS_PER_MILLI);
	}

	/**
	 * A distribution of durations.
	 *
	 * @param count how many were measured
	 * @param p50Millis the median, in milliseconds
	 * @param p95Millis the 95th percentile, in milliseconds
	 * @param p99Millis the 99th percentile, in milliseconds
	 */
	public record Distribution(long count, double p50Millis, double p95Millis, double p99Millis) {

	}

}
