package org.monsoonvalve.gateway.request;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.Test;

public class PromptPartTests {

	private static List<PromptPart> shared(String list) {
		return PromptPart.sharedParts(Optional.of(list));
	}

	@Test
	public void theLastPartBelongsToTheRequestAlone() {
		Assert.assertEquals(shared("5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
				List.of(new PromptPart(0x5c1e07a2L), new PromptPart(0x91bd3f06L)));
		Assert.assertEquals(shared("5c1e07a2:800"), List.of());
		Assert.assertEquals(PromptPart.sharedParts(Optional.empty()), List.of());
	}

	@Test
	public void aPartKeepsItsIdentityAtEveryPlaceAndCountsOnce() {
		Assert.assertEquals(shared("a:1,b:2,a:3,c:4"), List.of(new PromptPart(10), new PromptPart(11)));
		Assert.assertEquals(shared("ffffffffffffffff:1,x:1").get(0).toString(), "ffffffffffffffff");
	}

	@Test
	public void namesOfAnyFormAreIdentifiers() {
		Assert.assertEquals(shared("not hex:1,not hex:2,x").size(), 1);
		Assert.assertNotEquals(shared("not hex:1,x"), shared("other:1,x"));
		Assert.assertEquals(shared(",,,").size(), 1);
		Assert.assertEquals(shared("00000000000000000000000000000001:1,x").size(), 1);
	}

	// Callers choose how many parts they name.
	@Test
	public void onlyTheFirstPartsOfALongListAreExamined() {
		String list = "1:1,2:1" + IntStream.range(3, 5000)
			.mapToObj((part) -> "," + Integer.toHexString(part) + ":1")
			.collect(Collectors.joining());
		Assert.assertEquals(shared(list).size(), PromptPart.MAX_PARTS);
	}

}
