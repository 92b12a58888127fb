package org.monsoonvalve.gateway.request;

import java.util.Optional;
import java.util.OptionalDouble;

import org.testng.Assert;
import org.testng.annotations.Test;

public class RequestLimitTests {

	@Test
	public void decimalNumbersAreLimitsAndAllElseIsNone() {
		Assert.assertEquals(RequestLimit.of(Optional.of(" 2.75")), OptionalDouble.of(2.75));
		Assert.assertEquals(RequestLimit.of(Optional.of("0")), OptionalDouble.of(0));
		for (String malformed : new String[] { "", "-1", "1e3", "NaN", ".5", "1.", "9".repeat(400) }) {
			Assert.assertEquals(RequestLimit.of(Optional.of(malformed)), OptionalDouble.empty(), malformed);
		}
		Assert.assertEquals(RequestLimit.of(Optional.empty()), OptionalDouble.empty());
	}

}
