package org.monsoonvalve.core.connection;

import org.monsoonvalve.core.request.ServingException;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AddressTests {

	@DataProvider
	public Object[][] bad() {
		return new Object[][] { { "" }, { "10.0.0.1" }, { ":80" }, { "10.0.0.1:" }, { "10.0.0.1:65536" },
				{ "host.example:80" }, { "10.0.0.1:x" }, { "999.1.1.1:80" }, { "10.0.1:80" }, { "10.0.0.1.2:80" },
				{ "010.0.0.1:80" }, { "dead.beef:80" }, { "cafe:80" }, { "1:2:80" }, { "::::1:80" }, { "....:80" } };
	}

	// A host that is no IP address was looked up on the thread that opens connections.
	@Test(dataProvider = "bad")
	public void rejectsTextThatIsNotAnIpAddressAndPort(String text) {
		Assert.assertThrows(ServingException.class, () -> Address.of(text));
	}

	@Test
	public void acceptsAddressesOfBothVersions() {
		Assert.assertFalse(Address.of("10.0.0.1:80").toSocketAddress().isUnresolved());
		Assert.assertFalse(Address.of("::1:80").toSocketAddress().isUnresolved());
		Assert.assertFalse(Address.of("2001:db8::10.0.0.1:80").toSocketAddress().isUnresolved());
	}

	@Test
	public void roundTripsThroughText() {
		Assert.assertEquals(Address.of("10.0.0.1:8080"), new Address("10.0.0.1", 8080));
		Assert.assertEquals(Address.of("10.0.0.1:8080").toString(), "10.0.0.1:8080");
	}

}
