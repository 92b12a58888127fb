package org.monsoonvalve.entry.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

public class SseParserTests {

	private static final String STREAM = "id: 0\ndata: {\"a\":\"é\"}\n\nid: 1\r\ndata: two\r\ndata: lines\r\n\r\n"
			+ ": comment\n\ndata: [DONE]\n\n";

	@Test
	public void yieldsTheSameEventsHoweverTheBytesAreCut() {
		byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
		List<String> whole = texts(SseParser.create().feed(bytes));
		Assert.assertEquals(whole, List.of("0:{\"a\":\"é\"}", "1:two\nlines", "-1:" + SseEvent.DONE));
		for (int cut = 0; cut <= bytes.length; cut++) {
			SseParser parser = SseParser.create();
			List<SseEvent> events = new ArrayList<>(parser.feed(java.util.Arrays.copyOfRange(bytes, 0, cut)));
			events.addAll(parser.feed(java.util.Arrays.copyOfRange(bytes, cut, bytes.length)));
			Assert.assertEquals(texts(events), whole);
		}
	}

	private static List<String> texts(List<SseEvent> events) {
		return events.stream().map(SseEvent::toString).toList();
	}

	@Test
	public void knowsTheLastEventAndKeepsTheBytesAsTheyCame() {
		byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
		List<SseEvent> events = SseParser.create().feed(bytes);
		Assert.assertEquals(events.stream().filter(SseEvent::last).count(), 1);
		Assert.assertTrue(events.get(2).last());
		Assert.assertEquals(new String(events.get(1).raw(), StandardCharsets.UTF_8),
				"id: 1\r\ndata: two\r\ndata: lines\r\n\r\n");
	}

	@Test
	public void aPartialEventIsNeverYielded() {
		Assert.assertTrue(SseParser.create().feed("id: 5\ndata: half".getBytes(StandardCharsets.UTF_8)).isEmpty());
		Assert.assertTrue(SseParser.create().feed("id: 5\ndata: whole?\n".getBytes(StandardCharsets.UTF_8)).isEmpty());
	}

}
