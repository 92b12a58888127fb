package org.monsoonvalve.scenarios.process;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

public class ClientLibraryTests {

	private static final ClusterSpec SPEC = new ClusterSpec(List.of("a"), 1, 1, 2, 0, 2, true, 0, 5, 5, 64, null, null);

	private static final ChatCompletionCreateParams QUESTION = ChatCompletionCreateParams.builder()
		.model(Cluster.MODEL_POOL)
		.addUserMessage("Draft a planting schedule.")
		.maxCompletionTokens(30)
		.build();

	private Cluster cluster;

	@BeforeClass
	public void start() {
		this.cluster = Cluster.start(SPEC, Path.of("target", "scenario-logs", "client-library"), new Timeline());
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		if (this.cluster != null) {
			this.cluster.close();
		}
	}

	private OpenAIClient client(String key) {
		return OpenAIOkHttpClient.builder()
			.apiKey(key)
			.maxRetries(0)
			.baseUrl("http://" + this.cluster.entries().get(0).address() + "/v1")
			.build();
	}

	@Test
	public void aPublicClientLibraryGetsTheSameAnswerWholeAndStreamed() {
		OpenAIClient client = client(Cluster.WORKSPACE_KEY);
		ChatCompletion whole = client.chat().completions().create(QUESTION);
		String text = whole.choices().get(0).message().content().orElseThrow();
		Assert.assertEquals(text.trim().split(" ").length, 30);
		try (StreamResponse<ChatCompletionChunk> stream = client.chat().completions().createStreaming(QUESTION)) {
			String streamed = stream.stream()
				.flatMap((chunk) -> chunk.choices().stream())
				.flatMap((choice) -> choice.delta().content().stream())
				.collect(Collectors.joining());
			Assert.assertEquals(streamed, text);
		}
	}

	@Test
	public void aPublicClientLibraryListsTheModels() {
		Assert.assertEquals(client(Cluster.WORKSPACE_KEY).models().list().data().get(0).id(), Cluster.MODEL_POOL);
	}

	@Test
	public void aWrongKeyIsRefused() {
		Assert.assertThrows(com.openai.errors.UnauthorizedException.class,
				() -> client("wrong").chat().completions().create(QUESTION));
	}

}
