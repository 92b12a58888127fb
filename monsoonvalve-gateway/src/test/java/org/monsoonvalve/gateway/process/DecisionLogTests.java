package org.monsoonvalve.gateway.process;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.Excerpt;
import org.testng.Assert;
import org.testng.annotations.Test;

public class DecisionLogTests {

	private static final Clock CLOCK = Clock.fixed(Instant.ofEpochMilli(5000), ZoneOffset.UTC);

	@Test
	public void lineIsOneJsonObjectWithEscapedValues() throws InterruptedException {
		BlockingQueue<String> lines = new LinkedBlockingQueue<>();
		DecisionLog log = DecisionLog.start(CLOCK, "gateway-1", lines::add);
		log.record(LogEvent.REQUEST_SENT, "request", "a\"b\n", "load", 3);
		String line = lines.poll(3, TimeUnit.SECONDS);
		Assert.assertEquals(Codec.JSON.tree(line.getBytes()).path("request").asText(), "a\"b\n");
		Assert.assertEquals(line.indexOf('\n'), line.length() - 1);
	}

	// A value of the store that couldn't be used was logged at full length.
	@Test
	public void longValueIsShortened() throws InterruptedException {
		BlockingQueue<String> lines = new LinkedBlockingQueue<>();
		DecisionLog log = DecisionLog.start(CLOCK, "gateway-1", lines::add);
		log.record(LogEvent.FACT_REFUSED, "reason", "\ud83d\ude00".repeat(500_000), "names", List.of("n".repeat(501)));
		JsonNode line = Codec.JSON.tree(lines.poll(3, TimeUnit.SECONDS).getBytes(StandardCharsets.UTF_8));
		Assert.assertEquals(line.path("reason").asText(),
				"\ud83d\ude00".repeat(Excerpt.MAX_LENGTH / 2) + "... (1000000 characters)");
		Assert.assertTrue(line.path("names").asText().endsWith("... (503 characters)"));
	}

	@Test
	public void stalledOutputDropsLinesWithoutBlockingCallers() throws InterruptedException {
		CountDownLatch outputRelease = new CountDownLatch(1);
		DecisionLog log = DecisionLog.start(CLOCK, "gateway-1", (line) -> {
			try {
				outputRelease.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		for (int i = 0; i < 100_000; i++) {
			log.record(LogEvent.values()[i % LogEvent.values().length], "n", i);
		}
		Assert.assertTrue(log.dropped() > 90_000, "dropped " + log.dropped());
		outputRelease.countDown();
	}

	@Test
	public void linesOverTheRateLimitAreCounted() {
		DecisionLog log = DecisionLog.start(CLOCK, "gateway-1", (line) -> {
		});
		for (int i = 0; i < 1000; i++) {
			log.record(LogEvent.REQUEST_SENT, "n", i);
		}
		Assert.assertTrue(log.dropped() >= 950, "dropped " + log.dropped());
	}

}
