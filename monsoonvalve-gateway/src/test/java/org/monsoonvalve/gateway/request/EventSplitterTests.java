package org.monsoonvalve.gateway.request;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EventSplitterTests {

	@DataProvider
	public Object[][] lineEndings() {
		return new Object[][] { { "\n" }, { "\r\n" } };
	}

	@Test(dataProvider = "lineEndings")
	public void eventsEndAtBlankLinesWhereverTheBytesAreSplit(String end) {
		String stream = "id: 1" + end + "data: a" + end + end + "id:22" + end + "data: b" + end + end + "id: 3" + end;
		for (int cut = 0; cut <= stream.length(); cut++) {
			EventSplitter splitter = new EventSplitter();
			List<EventSplitter.Event> events = new java.util.ArrayList<>(
					splitter.add(stream.substring(0, cut).getBytes(StandardCharsets.UTF_8)));
			events.addAll(splitter.add(stream.substring(cut).getBytes(StandardCharsets.UTF_8)));
			Assert.assertEquals(events.stream().map(EventSplitter.Event::id).toList(),
					List.of(Optional.of(1L), Optional.of(22L)));
			Assert.assertTrue(splitter.hasPartialEvent(), "the third event has not ended");
			StringBuilder relayed = new StringBuilder();
			events.forEach((event) -> relayed.append(new String(event.bytes(), StandardCharsets.UTF_8)));
			Assert.assertEquals(relayed.toString(), stream.substring(0, stream.indexOf("id: 3")));
		}
	}

}
