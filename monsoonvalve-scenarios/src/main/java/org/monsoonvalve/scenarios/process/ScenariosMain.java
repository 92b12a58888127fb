package org.monsoonvalve.scenarios.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.monsoonvalve.core.process.LogFormat;
import org.monsoonvalve.core.process.Logs;
import org.monsoonvalve.scenarios.version.RandomScenario;
import org.monsoonvalve.scenarios.version.Scenario;

/**
 * Runs scenario scripts from the command line.
 *
 * @author monsoonvalve maintainers
 */
public final class ScenariosMain {

	private ScenariosMain() {
	}

	/**
	 * Runs scripts; the exit status is 1 if one of them fails.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		Logs.configure(LogFormat.TEXT);
		ArgumentParser parser = ArgumentParsers.newFor("monsoonvalve-scenarios")
			.build()
			.description("Runs scenario scripts and checks every promise after each.");
		parser.addArgument("script").nargs("*").help("paths of scripts");
		parser.addArgument("--off").setDefault("").help("mechanisms to switch off, separated by commas");
		parser.addArgument("--without-mechanism")
			.dest("without")
			.action(Arguments.storeTrue())
			.help("switch off the mechanisms that the script names");
		parser.addArgument("--seed").type(Long.class).nargs("+").help("seeds of random scenarios to run");
		Namespace parsed = parser.parseArgsOrFail(arguments);
		List<ScenarioResult> results = new ArrayList<>();
		List<Scenario> scenarios = new ArrayList<>();
		parsed.<String>getList("script").forEach((script) -> scenarios.add(Scenario.read(Path.of(script))));
		if (parsed.getList("seed") != null) {
			parsed.<Long>getList("seed").forEach((seed) -> scenarios.add(RandomScenario.of(seed)));
		}
		for (Scenario scenario : scenarios) {
			String off = parsed.getBoolean("without") ? scenario.withoutMechanisms() : parsed.getString("off");
			ScenarioResult result = ScenarioRun.run(off.isEmpty() ? scenario : scenario.without(off),
					Path.of("target", "scenario-logs", scenario.name() + (off.isEmpty() ? "" : "-off")));
			System.out.println(result);
			results.add(result);
		}
		System.exit(results.stream().allMatch(ScenarioResult::passed) ? 0 : 1);
	}

}
