package org.monsoonvalve.gateway.process;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/**
 * Formats metrics as text, with one name and value per line.
 *
 * @author monsoonvalve maintainers
 */
final class MetricsText {

	/** Lower quantile of a histogram whose values may be negative. */
	private static final double LOW_QUANTILE = 0.05;

	private MetricsText() {
	}

	static String of(MetricRegistry registry) {
		StringBuilder text = new StringBuilder();
		registry.getCounters().forEach((name, counter) -> appendLine(text, name, counter.getCount()));
		registry.getGauges().forEach((name, gauge) -> appendLine(text, name, gauge.getValue()));
		registry.getHistograms().forEach((name, histogram) -> {
			Snapshot snapshot = histogram.getSnapshot();
			appendLine(text, name + ".count", histogram.getCount());
			appendLine(text, name + ".p5", Math.round(snapshot.getValue(LOW_QUANTILE)));
			appendLine(text, name + ".p50", Math.round(snapshot.getMedian()));
			appendLine(text, name + ".p95", Math.round(snapshot.get95thPercentile()));
		});
		registry.getTimers().forEach((name, timer) -> {
			Snapshot snapshot = timer.getSnapshot();
			appendLine(text, name + ".count", timer.getCount());
			appendLine(text, name + ".p50_ms", formatMillis(snapshot.getMedian()));
			appendLine(text, name + ".p95_ms", formatMillis(snapshot.get95thPercentile()));
			appendLine(text, name + ".p99_ms", formatMillis(snapshot.get99thPercentile()));
			appendLine(text, name + ".max_ms", formatMillis(snapshot.getMax()));
		});
		return text.toString();
	}

	private static void appendLine(StringBuilder text, String name, Object value) {
		text.append(name.replace('.', '_').replace('-', '_')).append(' ').append(value).append('\n');
	}

	private static String formatMillis(double nanos) {
		return String.format(Locale.ROOT, "%.1f", nanos / TimeUnit.MILLISECONDS.toNanos(1));
	}

}
