package org.monsoonvalve.core.connection;

import java.util.List;

import org.monsoonvalve.core.request.Excerpt;
import org.monsoonvalve.core.request.ServingException;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AddressTests {

	/** Largest value of the store. */
	private static final int VALUE_BYTES = 1_048_576;

	/** Time within which a stored configuration is in force. */
	private static final long CONFIG_APPLY_MILLIS = 2000;

	@DataProvider
	public Object[][] bad() {
		return new Object[][] { { "" }, { "10.0.0.1" }, { ":80" }, { "10.0.0.1:" }, { "10.0.0.1:65536" },
				{ "host.example:80" }, { "10.0.0.1:x" }, { "999.1.1.1:80" }, { "10.0.1:80" }, { "10.0.0.1.2:80" },
				{ "010.0.0.1:80" }, { "dead.beef:80" }, { "cafe:80" }, { "1:2:80" }, { "::::1:80" }, { "....:80" },
				{ ".:80" }, { ".::1:80" }, { ".:1:80" }, { "::1%1:80" }, { "[::1]:80" } };
	}

	// A host that is no IP address was looked up on the thread that opens connections.
	@Test(dataProvider = "bad")
	public void rejectsTextThatIsNotAnIpAddressAndPort(String text) {
		Assert.assertThrows(ServingException.class, () -> Address.of(text));
	}

	@DataProvider
	public Object[][] parts() {
		return new Object[][] { { ":" }, { "." }, { "1" }, { "1:" }, { "f.:" }, { "255." }, { "x" } };
	}

	// One long address of another writer stopped all updates of the store's replica.
	@Test(dataProvider = "parts", timeOut = CONFIG_APPLY_MILLIS)
	public void rejectsLongTextWithoutDelay(String part) {
		String text = part.repeat(VALUE_BYTES / part.length());
		List.of(":none:80", "none:80", ":80", ":")
			.forEach((end) -> Assert.assertThrows(ServingException.class, () -> Address.of(text + end)));
	}

	// The message becomes part of log lines.
	@Test
	public void messageQuotesAnExcerptOfALongText() {
		ServingException failure = Assert.expectThrows(ServingException.class,
				() -> Address.of(":".repeat(VALUE_BYTES)));
		Assert.assertTrue(failure.getMessage().length() < 2 * Excerpt.MAX_LENGTH);
	}

	@Test
	public void acceptsAddressesOfBothVersions() {
		Assert.assertFalse(Address.of("10.0.0.1:80").toSocketAddress().isUnresolved());
		Assert.assertFalse(Address.of("::1:80").toSocketAddress().isUnresolved());
		Assert.assertFalse(Address.of("2001:db8::10.0.0.1:80").toSocketAddress().isUnresolved());
		Assert.assertFalse(
				Address.of("0000:0000:0000:0000:0000:ffff:255.255.255.255:65535").toSocketAddress().isUnresolved());
	}

	@Test
	public void roundTripsThroughText() {
		Assert.assertEquals(Address.of("10.0.0.1:8080"), new Address("10.0.0.1", 8080));
		Assert.assertEquals(Address.of("10.0.0.1:8080").toString(), "10.0.0.1:8080");
	}

}
