package org.monsoonvalve.entry.request;

import java.nio.charset.StandardCharsets;

import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ChatRequestTests {

	private static ChatRequest parse(String text) {
		return ChatRequest.of(text.getBytes(StandardCharsets.UTF_8));
	}

	@Test
	public void theEngineIsAlwaysAskedForAStream() {
		ChatRequest request = parse(
				"{\"model\":\"m\",\"temperature\":0.5,\"messages\":[{\"role\":\"user\",\"content\":\"q\"}]}");
		Assert.assertFalse(request.stream());
		Assert.assertTrue(Codec.JSON.tree(request.upstreamBody()).path("stream").asBoolean());
		Assert.assertEquals(Codec.JSON.tree(request.upstreamBody()).path("temperature").asDouble(), 0.5);
	}

	@DataProvider
	public Object[][] bad() {
		return new Object[][] { { "", FailureCode.MALFORMED_CONTENT }, { "{", FailureCode.MALFORMED_CONTENT },
				{ "[]", FailureCode.INVALID_REQUEST }, { "{\"messages\":[]}", FailureCode.INVALID_REQUEST },
				{ "{\"model\":\"m\",\"messages\":[]}", FailureCode.INVALID_REQUEST },
				{ "{\"model\":\"m\",\"messages\":[{}]}", FailureCode.INVALID_REQUEST },
				{ "{\"model\":\"m\",\"stream\":\"yes\",\"messages\":[{\"role\":\"user\"}]}",
						FailureCode.INVALID_REQUEST } };
	}

	@Test(dataProvider = "bad")
	public void badContentGetsATypedRefusal(String text, FailureCode expected) {
		Assert.assertEquals(Assert.expectThrows(ServingException.class, () -> parse(text)).code(), expected);
	}

}
