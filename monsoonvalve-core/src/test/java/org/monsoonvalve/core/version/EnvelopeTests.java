package org.monsoonvalve.core.version;

import org.testng.Assert;
import org.testng.annotations.Test;

public class EnvelopeTests {

	private static Envelope.Change change(String id) {
		return new Envelope.Change(id, "operator", 1, 0);
	}

	@Test
	public void includesCurrentAndEarlierChanges() {
		Envelope envelope = Envelope.of(change("c1"), "one").followedBy(change("c2"), "two");
		Assert.assertTrue(envelope.includes("c1"));
		Assert.assertTrue(envelope.includes("c2"));
		Assert.assertFalse(envelope.includes("c3"));
	}

	@Test
	public void decodeRestoresEncodedEnvelope() {
		Envelope envelope = Envelope.of(change("c1"), "one").followedBy(change("c2"), "two");
		Assert.assertEquals(Envelope.decode(envelope.encode()), envelope);
	}

}
