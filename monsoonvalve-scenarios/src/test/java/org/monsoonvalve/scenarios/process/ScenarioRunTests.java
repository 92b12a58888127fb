package org.monsoonvalve.scenarios.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.monsoonvalve.scenarios.version.RandomScenario;
import org.monsoonvalve.scenarios.version.Scenario;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ScenarioRunTests {

	private static final Path ROOT = Path.of(System.getProperty("monsoonvalve.root"));

	@DataProvider
	public Object[][] scripts() throws IOException {
		try (Stream<Path> files = Files.list(ROOT.resolve("scenarios"))) {
			List<Path> sorted = files.filter((file) -> file.toString().endsWith(".yaml")).sorted().toList();
			return sorted.stream()
				.map((file) -> new Object[] { file.getFileName().toString() })
				.toArray(Object[][]::new);
		}
	}

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1L }, { 2L }, { 3L }, { 4L }, { 5L }, { 6L } };
	}

	@Test(dataProvider = "seeds")
	public void everyPromiseHoldsAfterARandomScenario(long seed) throws IOException {
		ScenarioResult result = ScenarioRun.run(RandomScenario.of(seed),
				Path.of("target", "scenario-logs", "seed-" + seed));
		KnownRed.check(result, ROOT);
	}

	@Test(dataProvider = "scripts")
	public void everyPromiseHoldsAfterTheScript(String script) throws IOException {
		Scenario scenario = Scenario.read(ROOT.resolve("scenarios").resolve(script));
		ScenarioResult result = ScenarioRun.run(scenario, Path.of("target", "scenario-logs", scenario.name()));
		KnownRed.check(result, ROOT);
	}

}
