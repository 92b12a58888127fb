package org.monsoonvalve.ctl.request;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.testng.Assert;
import org.testng.annotations.Test;

public class ExplanationTests {

	private static final List<String> LOG = List.of(
			"{\"wall_ms\":9000,\"process\":\"p2\",\"name\":\"GROUP_REMOVED\",\"group\":\"kano-a-1: a member is gone\"}",
			" 14.7 edge-1 {\"wall_ms\":5300,\"process\":\"p1\",\"name\":\"REQUEST_REFUSED\",\"request\":\"r1\","
					+ "\"code\":\"no-capacity\",\"reason\":\"all endpoints are full\",\"candidates\":3,\"sends\":2,"
					+ "\"age_ms\":322,\"view\":407}",
			"{\"wall_ms\":5000,\"process\":\"p1\",\"name\":\"REQUEST_SENT\",\"request\":\"r1\",\"endpoint\":\"i-1\"}",
			"{\"wall_ms\":5100,\"process\":\"p1\",\"name\":\"REQUEST_SENT\",\"request\":\"r2\",\"endpoint\":\"i-1\"}",
			"{\"wall_ms\":5200,\"process\":\"p2\",\"name\":\"ENDPOINT_LEFT\",\"endpoint\":\"i-1\"}",
			"{\"wall_ms\":1000,\"process\":\"p2\",\"name\":\"GROUP_PLANNED\",\"members\":\"[i-1, i-2]\"}",
			"{\"wall_ms\":90000,\"process\":\"p2\",\"name\":\"ENDPOINT_LEFT\",\"endpoint\":\"i-1\"}",
			"{\"wall_ms\":5250,\"process\":\"p1\",\"name\":\"REQ", "no object");

	@Test
	public void linesOfARequestAndItsEndpointsAreGatheredInOrder() {
		Explanation explanation = Explanation.of("r1", LOG.stream());
		Assert.assertEquals(explanation.lines().stream().map((JsonNode line) -> line.path("name").asText()).toList(),
				List.of("GROUP_PLANNED", "REQUEST_SENT", "ENDPOINT_LEFT", "REQUEST_REFUSED"));
	}

	// The part was blocked long before, by another process.
	@Test
	public void theBlockOfAPartOfItsPromptIsGathered() {
		List<String> log = List.of(
				"{\"wall_ms\":600000,\"name\":\"REQUEST_REFUSED\",\"request\":\"r1\",\"code\":\"prompt-blocked\",\"part\":\"bad1\"}",
				"{\"wall_ms\":1000,\"name\":\"PROMPT_PART_BLOCKED\",\"part\":\"bad1\",\"crashes\":3}",
				"{\"wall_ms\":1000,\"name\":\"PROMPT_PART_BLOCKED\",\"part\":\"bad2\",\"crashes\":3}");
		Assert.assertEquals(
				Explanation.of("r1", log.stream()).lines().stream().map((line) -> line.path("part").asText()).toList(),
				List.of("bad1", "bad1"));
	}

	// The view's position has the era of the store, as revisions recur after a
	// restoration.
	@Test
	public void theEndNamesTheConfigurationAndThePositionThatDecidedIt() {
		List<String> log = List.of("{\"wall_ms\":5300,\"name\":\"REQUEST_REFUSED\",\"request\":\"r1\","
				+ "\"code\":\"not-found\",\"reason\":\"no route\",\"view\":\"2/331\",\"configuration\":16}");
		Assert.assertEquals(Explanation.of("r1", log.stream()).cause().orElseThrow(),
				"refused as not run (not-found): no route, 0 candidates after 0 sends, 0 ms old, view 2/331, configuration 16");
	}

	@Test
	public void theEndNamesTheInputsThatDecidedIt() {
		Assert.assertEquals(Explanation.of("r1", LOG.stream()).cause().orElseThrow(),
				"refused as not run (no-capacity): all endpoints are full, 3 candidates after 2 sends, 322 ms old, view 407");
		Assert.assertTrue(Explanation.of("r2", LOG.stream()).cause().isEmpty(), "no line shows its end");
		Assert.assertTrue(Explanation.of("unknown", LOG.stream()).lines().isEmpty());
	}

}
