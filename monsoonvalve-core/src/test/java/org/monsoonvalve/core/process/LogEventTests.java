package org.monsoonvalve.core.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.monsoonvalve.core.request.Excerpt;
import org.testng.Assert;
import org.testng.annotations.Test;

public class LogEventTests {

	@Test
	public void theDocumentedEventsMatchTheCatalogue() throws IOException {
		List<String> documented = Files
			.readAllLines(Path.of(System.getProperty("monsoonvalve.root"), "docs", "events.md"))
			.stream()
			.filter((line) -> line.startsWith("| MV"))
			.map((line) -> line.replaceAll(" *\\| *", "|"))
			.map((line) -> line.substring(0, line.lastIndexOf('|', line.length() - 2) + 1))
			.toList();
		List<String> expected = Arrays.stream(LogEvent.values())
			.map((event) -> "|MV%04d|%s|%s|`%s`|".formatted(event.number(), event.name(), event.level(),
					event.template()))
			.toList();
		Assert.assertEquals(documented, expected);
	}

	@Test
	public void numbersAreUnique() {
		Assert.assertEquals(Arrays.stream(LogEvent.values()).map(LogEvent::number).distinct().count(),
				LogEvent.values().length);
	}

	// What a peer or a caller sent was logged at full length.
	@Test
	public void longArgumentsAreShortened() {
		String message = EventLog.message(LogEvent.TASK_FAILED, "poll", "x".repeat(1_000_000));
		Assert.assertEquals(message,
				"MV1004 task poll failed: " + "x".repeat(Excerpt.MAX_LENGTH) + "... (1000000 characters)");
	}

}
