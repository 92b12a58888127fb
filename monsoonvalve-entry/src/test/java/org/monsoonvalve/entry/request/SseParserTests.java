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
		List<SseEvent> whole = SseParser.create().feed(bytes);
		Assert.assertEquals(whole, List.of(new SseEvent(0, "{\"a\":\"é\"}"), new SseEvent(1, "two\nlines"),
				new SseEvent(-1, SseEvent.DONE)));
		for (int cut = 0; cut <= bytes.length; cut++) {
			SseParser parser = SseParser.create();
			List<SseEvent> events = new ArrayList<>(parser.feed(java.util.Arrays.copyOfRange(bytes, 0, cut)));
			events.addAll(parser.feed(java.util.Arrays.copyOfRange(bytes, cut, bytes.length)));
			Assert.assertEquals(events, whole);
		}
	}

	@Test
	public void aPartialEventIsNeverYielded() {
		Assert.assertTrue(SseParser.create().feed("id: 5\ndata: half".getBytes(StandardCharsets.UTF_8)).isEmpty());
		Assert.assertTrue(SseParser.create().feed("id: 5\ndata: whole?\n".getBytes(StandardCharsets.UTF_8)).isEmpty());
	}

}
