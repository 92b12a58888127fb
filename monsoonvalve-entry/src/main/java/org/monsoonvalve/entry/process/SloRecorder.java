package org.monsoonvalve.entry.process;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import com.codahale.metrics.MetricRegistry;
import org.monsoonvalve.core.process.ElapsedClock;
import org.monsoonvalve.core.request.FailureCode;

/**
 * Counts good and bad events by workspace, pool and objective in short intervals of the
 * last hour, from which the burn report is made.
 *
 * @author monsoonvalve maintainers
 */
public final class SloRecorder {

	/** The length of an interval, in milliseconds. */
	public static final long BUCKET_MILLIS = 10_000;

	private static final long KEPT_MILLIS = 3_900_000;

	private final ElapsedClock clock;

	private final MetricRegistry metrics;

	private final ConcurrentMap<SeriesKey, ConcurrentSkipListMap<Long, Bucket>> series = new ConcurrentHashMap<>();

	private SloRecorder(ElapsedClock clock, MetricRegistry metrics) {
		this.clock = clock;
		this.metrics = metrics;
	}

	/**
	 * Creates a recorder without events.
	 * @param clock tells the interval
	 * @param metrics takes the distributions of durations
	 * @return the recorder
	 */
	public static SloRecorder of(ElapsedClock clock, MetricRegistry metrics) {
		return new SloRecorder(clock, metrics);
	}

	/**
	 * Records that a request ended.
	 * @param workspace its workspace
	 * @param pool its pool
	 * @param failure its failure, or {@code null} if it was answered
	 */
	public void ended(String workspace, String pool, FailureCode failure) {
		boolean callersFault = failure != null && failure.status() < FailureCode.INTERNAL.status()
				&& failure != FailureCode.OVER_LIMIT;
		if (!callersFault) {
			count(new SeriesKey(workspace, pool, Objective.AVAILABILITY), failure == null,
					(failure != null) ? failure.code() : "");
		}
		this.metrics.counter("requests." + pool + "." + ((failure != null) ? failure.code() : "answered")).inc();
	}

	/**
	 * Records how long a request waited for its first token.
	 * @param workspace its workspace
	 * @param pool its pool
	 * @param millis the wait, in milliseconds
	 */
	public void firstToken(String workspace, String pool, long millis) {
		count(new SeriesKey(workspace, pool, Objective.FIRST_TOKEN), millis <= Objective.FIRST_TOKEN.limitMillis(),
				"slow");
		this.metrics.timer("first-token." + pool).update(millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Records the time between two tokens.
	 * @param workspace the request's workspace
	 * @param pool its pool
	 * @param millis the time, in milliseconds
	 */
	public void tokenGap(String workspace, String pool, long millis) {
		count(new SeriesKey(workspace, pool, Objective.TOKEN_GAP), millis <= Objective.TOKEN_GAP.limitMillis(), "slow");
		this.metrics.timer("token-gap." + pool).update(millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns all series.
	 * @return the counts of the last hour
	 */
	public List<Series> report() {
		return this.series.entrySet()
			.stream()
			.map((entry) -> new Series(entry.getKey().workspace(), entry.getKey().pool(),
					entry.getKey().objective().label(), entry.getKey().objective().target(), BUCKET_MILLIS,
					entry.getValue()
						.entrySet()
						.stream()
						.map((bucket) -> point(bucket.getKey(), bucket.getValue()))
						.toList()))
			.toList();
	}

	private void count(SeriesKey key, boolean good, String cause) {
		ConcurrentSkipListMap<Long, Bucket> buckets = this.series.computeIfAbsent(key,
				(absent) -> new ConcurrentSkipListMap<>());
		long start = this.clock.wallMillis() / BUCKET_MILLIS * BUCKET_MILLIS;
		Bucket bucket = buckets.computeIfAbsent(start, (absent) -> {
			buckets.headMap(start - KEPT_MILLIS).clear();
			return new Bucket();
		});
		if (good) {
			bucket.good.increment();
		}
		else {
			bucket.bad.computeIfAbsent(cause, (absent) -> new LongAdder()).increment();
		}
	}

	private static Point point(long startMillis, Bucket bucket) {
		Map<String, Long> bad = new TreeMap<>();
		bucket.bad.forEach((cause, count) -> bad.put(cause, count.sum()));
		return new Point(startMillis, bucket.good.sum(), bad);
	}

	/**
	 * The counts of one workspace, pool and objective.
	 *
	 * @param workspace the workspace
	 * @param pool the pool
	 * @param objective the objective
	 * @param target the share of events that has to be good
	 * @param bucketMillis the length of an interval, in milliseconds
	 * @param points the intervals
	 */
	public record Series(String workspace, String pool, String objective, double target, long bucketMillis,
			List<Point> points) {

	}

	/**
	 * The counts of one interval.
	 *
	 * @param startMillis its start, in milliseconds since the epoch
	 * @param good how many events were good
	 * @param bad how many were bad, by cause
	 */
	public record Point(long startMillis, long good, Map<String, Long> bad) {

	}

	private record SeriesKey(String workspace, String pool, Objective objective) {

	}

	private static final class Bucket {

		private final LongAdder good = new LongAdder();

		private final ConcurrentMap<String, LongAdder> bad = new ConcurrentHashMap<>();

	}

}
