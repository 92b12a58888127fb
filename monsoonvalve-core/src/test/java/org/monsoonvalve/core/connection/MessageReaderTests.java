package org.monsoonvalve.core.connection;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.monsoonvalve.core.request.ServingException;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class MessageReaderTests {

	private static final int MAX_SECTION_BYTES = 1000;

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	// Reads parts of a response and returns its status and content.
	private static String read(byte[]... parts) {
		Collected collected = new Collected();
		MessageReader reader = MessageReader.ofResponse(MAX_SECTION_BYTES, collected);
		boolean ended = false;
		for (byte[] part : parts) {
			ended |= reader.read(ByteBuffer.wrap(part));
		}
		return collected.text + (ended ? "." : "");
	}

	@DataProvider
	public Object[][] responses() {
		return new Object[][] { { OK + "Content-Length: 2\r\n\r\nok", "200 ok." },
				{ OK + "content-length:2 \t\r\nX:\t\u00e4\r\n\r\nok", "200 ok." },
				{ CHUNKED + "2\r\nok\r\n0\r\n\r\n", "200 ok." },
				{ CHUNKED + "01;a=b\r\no\r\n1 ; c\r\nk\r\n0\r\nX: 1\r\n\r\n", "200 ok." },
				{ "HTTP/1.0 200 OK\r\n\r\nok", "200 ok" }, { OK + "\r\nok", "200 ok" },
				{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n" + OK + "Content-Length: 0\r\n\r\n",
						"200 ." },
				{ "HTTP/1.1 204 \r\n\r\n", "204 ." }, { "HTTP/1.1 304\r\nContent-Length: 7\r\n\r\n", "304 ." },
				{ "HTTP/1.1 599 \u00fcbel\r\nContent-Length: 1\r\n\r\nx", "599 x." } };
	}

	@Test(dataProvider = "responses")
	public void aWellFormedResponseIsReadInWhateverPartsItArrives(String response, String expected) {
		byte[] whole = bytes(response);
		Assert.assertEquals(read(whole), expected);
		IntStream.range(1, whole.length)
			.forEach((at) -> Assert.assertEquals(
					read(Arrays.copyOf(whole, at), Arrays.copyOfRange(whole, at, whole.length)), expected,
					"split at " + at));
	}

	/**
	 * Responses that the users' servers in trouble sent, and relatives of them.
	 */
	@DataProvider
	public static Object[][] malformedResponses() {
		String[] heads = { "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 20 OK",
				"HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200OK", "HTTP/2.0 200 OK",
				"HTTP/1.1 101 Switching", "http/1.1 200 OK", "\r\nHTTP/1.1 200 OK", "HTTP/1.1 200 O\u0001K",
				"HTTP/1.1 200 OK\rX: y", "HTTP/1.1 200 OK\nX: y" };
		String[] fields = { "Content-Length: 2x", "Content-Length: -2", "Content-Length: +2", "Content-Length: 0x2",
				"Content-Length:", "Content-Length: 2, 2", "Content-Length: 2\r\nContent-Length: 2",
				"Content-Length: 2\r\nContent-Length: 1", "Content-Length: 1 2", "Content-Length: 99999999999999999999",
				"Content-Length 2", "Content-Length : 2", "Content Length: 2", "\u0001Content-Length: 2",
				"Content-Le\u0000ngth: 2", "Content-Length\t: 2", "Content-Length: \u00002", ": 2",
				"Transfer-Encoding: chunke", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, chunked",
				"Transfer-Encoding:", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
				"Transfer-Encoding: chunked\r\nContent-Length: 2", "no field\r\nContent-Length: 2",
				"X\u007fY: z\r\nContent-Length: 2", "X Y: z\r\nContent-Length: 2", "X\u00e4: z\r\nContent-Length: 2",
				"X(y): z\r\nContent-Length: 2", "X: a\u0002b\r\nContent-Length: 2",
				"X: a\r\n folded\r\nContent-Length: 2", " X: a\r\nContent-Length: 2", "X: a\nContent-Length: 2",
				"X: a\rContent-Length: 2\r\nContent-Length: 2" };
		String[] chunks = { "2x\r\nok\r\n0\r\n\r\n", "\r\nok\r\n0\r\n\r\n", "-2\r\nok\r\n0\r\n\r\n",
				"2\nok\r\n0\r\n\r\n", "2\r\nokay\r\n0\r\n\r\n", "2\r\nok0\r\n\r\n", "2 \r\nok\r\n0\r\n\r\n",
				"ffffffffffffffff\r\nok", "2\r\nok\r\n0\r\nno trailer\r\n\r\n", "0x2\r\nok\r\n0\r\n\r\n" };
		return Stream
			.of(Arrays.stream(heads).map((head) -> head + "\r\nRequest-Id: $ID\r\nContent-Length: 2\r\n\r\nok"),
					Arrays.stream(fields).map((field) -> OK + "Request-Id: $ID\r\n" + field + "\r\n\r\nok"),
					Arrays.stream(chunks)
						.map((chunk) -> OK + "Request-Id: $ID\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk))
			.flatMap((responses) -> responses)
			.map((response) -> new Object[] { response })
			.toArray(Object[][]::new);
	}

	@Test(dataProvider = "malformedResponses")
	public void aMalformedResponseIsRejected(String response) {
		byte[] whole = bytes(response);
		Assert.expectThrows(ServingException.class, () -> read(whole));
		byte[][] single = IntStream.range(0, whole.length)
			.mapToObj((at) -> new byte[] { whole[at] })
			.toArray(byte[][]::new);
		Assert.expectThrows(ServingException.class, () -> read(single));
	}

	@DataProvider
	public Object[][] endlessSections() {
		return new Object[][] { { "", "a" }, { OK + "X: ", "a" }, { OK, "X: a\r\n" }, { CHUNKED, "0" },
				{ CHUNKED + "1;", "a" }, { CHUNKED + "0\r\n", "X: a\r\n" }, { "", "HTTP/1.1 100 Continue\r\n\r\n" } };
	}

	// Guards against bytes without end, of which none may be kept beyond the limit.
	@Test(dataProvider = "endlessSections")
	public void aSectionWithoutEndIsRejected(String start, String repeated) {
		String sections = start + repeated.repeat(2 * MAX_SECTION_BYTES / repeated.length());
		Assert.expectThrows(ServingException.class, () -> read(bytes(sections)));
	}

	// What isn't a well-formed response must not pass for one by chance.
	@Test
	public void aResponseWithASpoiltControlByteIsNotComplete() {
		Random random = new Random(44);
		byte[] sound = bytes(OK + "Request-Id: id-1\r\nServed-By: s1\r\nContent-Length: 2\r\n\r\nok");
		int head = sound.length - 2;
		for (int i = 0; i < 5000; i++) {
			byte[] spoilt = sound.clone();
			spoilt[random.nextInt(head)] = (byte) random.nextInt(0x20);
			boolean unchanged = Arrays.equals(spoilt, sound);
			boolean tabInPlaceOfBlank = new String(spoilt, StandardCharsets.ISO_8859_1).replace('\t', ' ')
				.equals(new String(sound, StandardCharsets.ISO_8859_1));
			boolean tabInValue = new String(spoilt, StandardCharsets.ISO_8859_1).indexOf('\t') > 0;
			if (!unchanged && !tabInPlaceOfBlank && !tabInValue) {
				Assert.expectThrows(ServingException.class, () -> read(spoilt));
			}
		}
	}

	/**
	 * Collects a response as text.
	 */
	private static final class Collected implements MessageReader.Listener {

		private final StringBuilder text = new StringBuilder();

		@Override
		public void onHead(int status, Headers headers, boolean untilClose) {
			this.text.append(status).append(' ');
		}

		@Override
		public void onContent(byte[] part) {
			this.text.append(new String(part, StandardCharsets.ISO_8859_1));
		}

	}

}
