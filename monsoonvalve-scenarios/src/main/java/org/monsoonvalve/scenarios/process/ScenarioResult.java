package org.monsoonvalve.scenarios.process;

import java.util.List;
import java.util.stream.Stream;

/**
 * The result of a scenario.
 *
 * @author monsoonvalve maintainers
 * @param name the scenario's name
 * @param summary the outcomes of its requests, counted
 * @param breaches where promises were broken
 * @param faults where the script's own expectations failed
 */
public record ScenarioResult(String name, String summary, List<String> breaches, List<String> faults) {

	private static final int SHOWN = 5;

	/**
	 * Tells whether all promises and expectations held.
	 * @return {@code true} if nothing failed
	 */
	public boolean passed() {
		return this.breaches.isEmpty() && this.faults.isEmpty();
	}

	@Override
	public String toString() {
		String failures = String.join("\n    ",
				Stream.concat(this.breaches.stream(), this.faults.stream()).limit(SHOWN).toList());
		return (passed() ? "PASS " : "FAIL ") + this.name + " " + this.summary + " (" + this.breaches.size()
				+ " breaches, " + this.faults.size() + " failed expectations)"
				+ (failures.isEmpty() ? "" : "\n    " + failures);
	}

}
