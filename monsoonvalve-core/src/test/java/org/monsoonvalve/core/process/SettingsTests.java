package org.monsoonvalve.core.process;

import java.util.List;
import java.util.Map;

import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.testng.Assert;
import org.testng.annotations.Test;

public class SettingsTests {

	private static final Setting<String> NAME = Setting.name("node-id", "name");

	private static final Setting<Integer> NUMBER = Setting.number("linger-millis", "linger", 0, 100, 5);

	private static final List<Setting<?>> ALL = List.of(NAME, NUMBER);

	private static Settings parse(Map<String, String> environment, String... arguments) throws ArgumentParserException {
		Namespace parsed = Settings.parser("program", "description", ALL).parseArgs(arguments);
		return Settings.parse(parsed, environment, ALL);
	}

	@Test
	public void aFlagTakesPrecedenceOverItsVariable() throws ArgumentParserException {
		Settings settings = parse(Map.of("MONSOONVALVE_LINGER_MILLIS", "7"), "--node-id", "n", "--linger-millis", "9");
		Assert.assertEquals(settings.get(NUMBER), Integer.valueOf(9));
	}

	@Test
	public void aVariableTakesPrecedenceOverTheDefault() throws ArgumentParserException {
		Settings settings = parse(Map.of("MONSOONVALVE_LINGER_MILLIS", "7", "MONSOONVALVE_NODE_ID", "n"));
		Assert.assertEquals(settings.get(NUMBER), Integer.valueOf(7));
	}

	@Test
	public void reportsAllErrorsAtOnce() {
		SettingsException failure = Assert.expectThrows(SettingsException.class,
				() -> parse(Map.of(), "--linger-millis", "200"));
		Assert.assertEquals(failure.faults().size(), 2);
		Assert.assertTrue(failure.faults().get(0).contains("MONSOONVALVE_NODE_ID"));
		Assert.assertTrue(failure.faults().get(1).contains("a whole number from 0 to 100, found '200'"));
	}

}
