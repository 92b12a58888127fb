package org.monsoonvalve.core.version;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

public class DocumentValidatorTests {

	private static final String INVENTORY = """
			availabilityZones:
			  - {id: a, region: r}
			pools:
			  - {id: p, kind: model, model: m, version: "1", vmsPerGroup: 2, coldSlots: 1, maxConcurrent: 4}
			vms:
			  - {id: v1, availabilityZone: a, fabricDomain: f, pool: p, address: "127.0.0.1:1", accelerators: 8}
			""";

	private static List<String> faultPaths(DocumentKey key, String text, Configuration current) {
		return DocumentValidator.check(key, text, current).stream().map(DocumentFault::path).toList();
	}

	private static Configuration configurationWithInventory() {
		DocumentStore store = DocumentStore.empty();
		Envelope envelope = Envelope.of(new Envelope.Change("c", "o", 0, 0), INVENTORY);
		store.offer(new VersionedDocument(DocumentKey.INVENTORY, 1, envelope.encode()));
		return Configuration.of(store);
	}

	@Test
	public void acceptsValidInventory() {
		Assert.assertTrue(faultPaths(DocumentKey.INVENTORY, INVENTORY, Configuration.empty()).isEmpty());
	}

	@Test
	public void reportsEveryFaultWithItsPath() {
		String invalid = INVENTORY.replace("pool: p,", "pool: q,")
			.replace("coldSlots: 1", "coldSlots: 0")
			.replace("availabilityZone: a", "availabilityZone: z");
		Assert.assertEquals(faultPaths(DocumentKey.INVENTORY, invalid, Configuration.empty()),
				List.of("pools[0].coldSlots", "vms[0].availabilityZone", "vms[0].pool"));
	}

	@Test
	public void rejectsDuplicateAddress() {
		String invalid = INVENTORY
				+ INVENTORY.lines().reduce((first, second) -> second).orElseThrow().replace("v1", "v2");
		Assert.assertEquals(faultPaths(DocumentKey.INVENTORY, invalid, Configuration.empty()),
				List.of("vms[1].address"));
	}

	@Test
	public void rejectsUnknownFieldsAndMalformedYaml() {
		Assert.assertEquals(faultPaths(DocumentKey.INVENTORY, "surprise: 1", Configuration.empty()), List.of("$"));
		Assert.assertEquals(faultPaths(DocumentKey.RULES, "a: [", Configuration.empty()), List.of("$"));
	}

	@Test
	public void validatesRulesAgainstInventory() {
		String rules = "zonesOut: [b]\nendpointsOut: [v1]\ngroupPolicy: baseline\nnonRepeatable:\n"
				+ "  - {pool: p, method: post, pathPrefix: x}\n";
		Assert.assertEquals(faultPaths(DocumentKey.RULES, rules, configurationWithInventory()),
				List.of("zonesOut[0]", "nonRepeatable[0].method", "nonRepeatable[0].pathPrefix"));
	}

	@Test
	public void mutatedDocumentsDoNotThrow() {
		byte[] seed = INVENTORY.getBytes(StandardCharsets.UTF_8);
		for (int i = 0; i < seed.length; i++) {
			byte[] mutated = seed.clone();
			mutated[i] = (byte) ("{}[]:,\"\n-x".charAt(i % 10));
			DocumentValidator.check(DocumentKey.INVENTORY, new String(mutated, StandardCharsets.UTF_8),
					Configuration.empty());
		}
	}

}
