package org.monsoonvalve.entry.process;

import com.codahale.metrics.MetricRegistry;
import org.monsoonvalve.core.process.ElapsedClock;
import org.monsoonvalve.core.process.ManualClock;
import org.monsoonvalve.core.request.FailureCode;
import org.testng.Assert;
import org.testng.annotations.Test;

public class SloRecorderTests {

	private final ManualClock wall = new ManualClock();

	@Test
	public void callersOwnMistakesUseNoBudget() {
		SloRecorder recorder = SloRecorder.of(ElapsedClock.of(this.wall), new MetricRegistry());
		recorder.ended("w", "p", FailureCode.INVALID_REQUEST);
		Assert.assertTrue(recorder.report().isEmpty());
	}

	@Test
	public void countsGoodAndBadByCauseAndInterval() {
		SloRecorder recorder = SloRecorder.of(ElapsedClock.of(this.wall), new MetricRegistry());
		recorder.ended("w", "p", null);
		this.wall.advance(SloRecorder.BUCKET_MILLIS);
		recorder.ended("w", "p", FailureCode.NO_CAPACITY);
		SloRecorder.Series series = recorder.report().get(0);
		Assert.assertEquals(series.points().size(), 2);
		Assert.assertEquals(series.points().get(0).good(), 1);
		Assert.assertEquals(series.points().get(1).bad().get("no-capacity"), Long.valueOf(1));
	}

	@Test
	public void theFirstTokenIsGoodUpToItsLimit() {
		SloRecorder recorder = SloRecorder.of(ElapsedClock.of(this.wall), new MetricRegistry());
		recorder.firstToken("w", "p", 1700);
		recorder.firstToken("w", "p", 1701);
		SloRecorder.Point point = recorder.report().get(0).points().get(0);
		Assert.assertEquals(point.good(), 1);
		Assert.assertEquals(point.bad().get("slow"), Long.valueOf(1));
	}

}
