package org.monsoonvalve.burn.process;

import java.util.List;
import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.Test;

public class BurnReportTests {

	private static final long NOW_MILLIS = 10_000_000;

	private static SloSeries series(long ageMillis, long good, long bad) {
		return new SloSeries("w", "p", "availability", 0.999, 10_000,
				List.of(new SloSeries.Point(NOW_MILLIS - ageMillis, good, Map.of("no-capacity", bad))));
	}

	private static BurnReport.Line line(SloSeries... series) {
		return BurnReport.of(List.of(series), List.of(), NOW_MILLIS).lines().get(0);
	}

	@Test
	public void aBurnRateOfOneUsesTheBudgetUp() {
		BurnReport.Line line = line(series(1000, 999, 1));
		Assert.assertEquals(line.shortBurn(), 1, 1e-9);
		Assert.assertEquals(line.budgetLeft(), 0, 1e-9);
		Assert.assertFalse(line.alert());
	}

	@Test
	public void alertsOnlyWhenBothWindowsBurn() {
		Assert.assertTrue(line(series(1000, 90, 10)).alert());
		Assert.assertFalse(line(series(BurnReport.SHORT_MILLIS + 1000, 90, 10)).alert());
	}

	@Test
	public void mergesEntriesAndNamesCauses() {
		BurnReport.Line line = line(series(1000, 10, 1), series(2000, 20, 2));
		Assert.assertEquals(line.good(), 30);
		Assert.assertEquals(line.causes(), Map.of("no-capacity", 3L));
	}

	@Test
	public void anEntryThatDidNotAnswerIsNamedInEveryForm() {
		BurnReport report = BurnReport.of(List.of(series(1000, 1, 0)), List.of("10.0.0.1:8080"), NOW_MILLIS);
		for (ReportFormat format : ReportFormat.values()) {
			Assert.assertTrue(format.render(report).contains("10.0.0.1:8080"), format.name());
		}
	}

}
