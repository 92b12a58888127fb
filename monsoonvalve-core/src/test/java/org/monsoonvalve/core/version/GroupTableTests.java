package org.monsoonvalve.core.version;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

public class GroupTableTests {

	private static GroupTable.Group group(String id, String... members) {
		return new GroupTable.Group(id, "p", "m", "1", 1, List.of(members));
	}

	@Test
	public void rejectsVmInTwoGroups() {
		Assert.assertThrows(IllegalArgumentException.class,
				() -> new GroupTable("a", 1, List.of(group("g1", "v1", "v2"), group("g2", "v2", "v3")), List.of()));
	}

	@Test
	public void vmInGroupOrBeingReleasedIsNotFree() {
		GroupTable table = new GroupTable("a", 1, List.of(group("g1", "v1")),
				List.of(new GroupTable.Release("v2", 1, 0)));
		Assert.assertFalse(table.free("v1"));
		Assert.assertFalse(table.free("v2"));
		Assert.assertTrue(table.free("v3"));
	}

}
