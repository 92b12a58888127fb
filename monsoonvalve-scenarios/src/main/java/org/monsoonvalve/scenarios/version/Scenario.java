package org.monsoonvalve.scenarios.version;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.scenarios.process.ClusterSpec;

/**
 * A scenario script.
 *
 * @author monsoonvalve maintainers
 * @param name its name
 * @param promises the numbers of the promises that it was written for
 * @param shows what it shows, in one sentence
 * @param withoutMechanisms the mechanisms without which it must fail, separated by commas
 * @param cluster what it starts
 * @param steps what it does
 */
public record Scenario(String name, List<Integer> promises, String shows, String withoutMechanisms, ClusterSpec cluster,
		List<Step> steps) {

	/**
	 * Reads a script.
	 * @param file the YAML file
	 * @return the scenario
	 */
	public static Scenario read(Path file) {
		try {
			return Codec.YAML.decode(Files.readAllBytes(file), Scenario.class);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Switches mechanisms off.
	 * @param mechanisms the mechanisms, separated by commas
	 * @return the changed scenario
	 */
	public Scenario without(String mechanisms) {
		return new Scenario(this.name, this.promises, this.shows, this.withoutMechanisms,
				this.cluster.without(mechanisms), this.steps);
	}

}
