package org.monsoonvalve.core.version;

import java.util.List;
import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.Test;

public class DocumentStoreTests {

	private final DocumentStore store = DocumentStore.empty();

	private static VersionedDocument rules(long revision) {
		return new VersionedDocument(DocumentKey.RULES, revision, new byte[0]);
	}

	@Test
	public void rejectsLowerAndEqualRevisions() {
		Assert.assertTrue(this.store.offer(rules(7)));
		Assert.assertFalse(this.store.offer(rules(6)));
		Assert.assertFalse(this.store.offer(rules(7)));
		Assert.assertEquals(this.store.revision(DocumentKey.RULES), 7);
	}

	@Test
	public void returnsDocumentsMissingAtPeer() {
		DocumentStore local = DocumentStore.empty();
		local.offer(rules(7));
		local.offer(new VersionedDocument(DocumentKey.INVENTORY, 3, new byte[0]));
		List<VersionedDocument> missing = local
			.newerThan(new DocumentStore.Digest(Map.of(DocumentKey.RULES.shortPath(), 7L)));
		Assert.assertEquals(missing.size(), 1);
		Assert.assertEquals(missing.get(0).key(), DocumentKey.INVENTORY);
	}

}
