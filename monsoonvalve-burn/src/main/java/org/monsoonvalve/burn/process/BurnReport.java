package org.monsoonvalve.burn.process;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * How fast each workspace and pool uses up its error budget.
 *
 * @author monsoonvalve maintainers
 * @param lines the lines, the fastest burn first
 * @param unreachable the entries that did not answer, whose events are missing
 */
public record BurnReport(List<Line> lines, List<String> unreachable) {

	/** The length of the short window, in milliseconds. */
	public static final long SHORT_MILLIS = 300_000;

	/** The length of the long window, in milliseconds. */
	public static final long LONG_MILLIS = 3_600_000;

	/** The burn rate in both windows from which a line alerts. */
	public static final double ALERT_RATE = 14.4;

	/**
	 * Merges what entries published.
	 * @param series the series of all entries that answered
	 * @param unreachable the entries that did not answer
	 * @param nowMillis the time, in milliseconds since the epoch
	 * @return the report
	 */
	public static BurnReport of(List<SloSeries> series, List<String> unreachable, long nowMillis) {
		List<Line> lines = series.stream()
			.collect(Collectors.groupingBy((one) -> one.workspace() + "\n" + one.pool() + "\n" + one.objective(),
					TreeMap::new, Collectors.toList()))
			.values()
			.stream()
			.map((same) -> line(same, nowMillis))
			.sorted(Comparator.comparingDouble((Line line) -> -line.longBurn()))
			.toList();
		return new BurnReport(lines, List.copyOf(unreachable));
	}

	private static Line line(List<SloSeries> same, long nowMillis) {
		SloSeries first = same.get(0);
		Window shortWindow = window(same, nowMillis - SHORT_MILLIS);
		Window longWindow = window(same, nowMillis - LONG_MILLIS);
		double allowed = 1 - first.target();
		double shortBurn = shortWindow.badShare() / allowed;
		double longBurn = longWindow.badShare() / allowed;
		return new Line(first.workspace(), first.pool(), first.objective(), first.target(), longWindow.good,
				longWindow.bad, 1 - longBurn, shortBurn, longBurn, shortBurn >= ALERT_RATE && longBurn >= ALERT_RATE,
				longWindow.causes, history(same, nowMillis));
	}

	private static Window window(List<SloSeries> same, long sinceMillis) {
		Window window = new Window();
		same.stream()
			.flatMap((one) -> one.points().stream())
			.filter((point) -> point.startMillis() >= sinceMillis)
			.forEach(window::add);
		return window;
	}

	private static List<Sample> history(List<SloSeries> same, long nowMillis) {
		Map<Long, Window> minutes = new TreeMap<>();
		long minuteMillis = 60_000;
		same.stream()
			.flatMap((one) -> one.points().stream())
			.filter((point) -> point.startMillis() >= nowMillis - LONG_MILLIS)
			.forEach((point) -> minutes
				.computeIfAbsent(point.startMillis() / minuteMillis * minuteMillis, (absent) -> new Window())
				.add(point));
		double allowed = 1 - same.get(0).target();
		return minutes.entrySet()
			.stream()
			.map((entry) -> new Sample(entry.getKey(), entry.getValue().badShare() / allowed))
			.toList();
	}

	/**
	 * The burn of one workspace, pool and objective.
	 *
	 * @param workspace the workspace
	 * @param pool the pool
	 * @param objective the objective
	 * @param target the share of events that has to be good
	 * @param good how many events of the long window were good
	 * @param bad how many events of the long window were bad
	 * @param budgetLeft the share of the long window's error budget that is left, below 0
	 * when it is overdrawn
	 * @param shortBurn the burn rate of the short window; 1 uses the budget up just in
	 * time
	 * @param longBurn the burn rate of the long window
	 * @param alert whether both windows burn too fast
	 * @param causes the bad events of the long window by cause
	 * @param history the burn rate minute by minute
	 */
	public record Line(String workspace, String pool, String objective, double target, long good, long bad,
			double budgetLeft, double shortBurn, double longBurn, boolean alert, Map<String, Long> causes,
			List<Sample> history) {

	}

	/**
	 * The burn rate of one minute.
	 *
	 * @param startMillis the minute's start, in milliseconds since the epoch
	 * @param burn the burn rate
	 */
	public record Sample(long startMillis, double burn) {

	}

	private static final class Window {

		private final Map<String, Long> causes = new TreeMap<>();

		private long good;

		private long bad;

		private void add(SloSeries.Point point) {
			this.good += point.good();
			this.bad += point.badCount();
			point.bad().forEach((cause, count) -> this.causes.merge(cause, count, Long::sum));
		}

		private double badShare() {
			long all = this.good + this.bad;
			return (all != 0) ? (double) this.bad / all : 0;
		}

	}

}
