package org.monsoonvalve.core.process;

import java.nio.charset.StandardCharsets;

import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.testng.Assert;
import org.testng.annotations.Test;

public class CompressionTests {

	@Test
	public void compressesAnInventoryAtLeastTenfoldAndRestoresIt() {
		byte[] plain = "  - {id: kano-a-engine-1, pool: grass-llm}\n".repeat(600).getBytes(StandardCharsets.UTF_8);
		byte[] compressed = Compression.compress(plain);
		Assert.assertTrue(compressed.length * 10 < plain.length);
		Assert.assertEquals(Compression.decompress(compressed), plain);
	}

	@Test
	public void rejectsContentThatIsNotCompressed() {
		ServingException failure = Assert.expectThrows(ServingException.class,
				() -> Compression.decompress(new byte[20]));
		Assert.assertEquals(failure.code(), FailureCode.MALFORMED_CONTENT);
	}

}
