package org.monsoonvalve.burn.process;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.stream.Collectors;

import org.monsoonvalve.core.process.Codec;

/**
 * Forms of the burn report.
 *
 * @author monsoonvalve maintainers
 */
public enum ReportFormat {

	/** A table for people. */
	TEXT {

		@Override
		public String render(BurnReport report) {
			String head = row("WORKSPACE", "POOL", "OBJECTIVE", "TARGET", "GOOD", "BAD", "BUDGET", "BURN 5M", "BURN 1H",
					"ALERT", "CAUSES");
			String body = report.lines()
				.stream()
				.map((line) -> row(line.workspace(), line.pool(), line.objective(), number(line.target()),
						String.valueOf(line.good()), String.valueOf(line.bad()), number(line.budgetLeft()),
						number(line.shortBurn()), number(line.longBurn()), line.alert() ? "yes" : "no",
						line.causes().toString()))
				.collect(Collectors.joining());
			return head + body + unreachable(report);
		}

		private String row(Object... cells) {
			return String.format(Locale.ROOT, "%-16s %-14s %-13s %7s %8s %7s %8s %8s %8s %5s %s%n", cells);
		}

	},

	/** JSON for programs. */
	JSON {

		@Override
		public String render(BurnReport report) {
			return new String(Codec.JSON.encode(report), StandardCharsets.UTF_8) + "\n";
		}

	},

	/** A self-contained page with plots. */
	HTML {

		@Override
		public String render(BurnReport report) {
			String rows = report.lines().stream().map(HtmlRows::row).collect(Collectors.joining());
			return HtmlRows.page(rows, HtmlRows.escape(unreachable(report)));
		}

	};

	/**
	 * Renders a report.
	 * @param report the report
	 * @return its text
	 */
	public abstract String render(BurnReport report);

	static String number(double value) {
		return String.format(Locale.ROOT, "%.3f", value);
	}

	static String unreachable(BurnReport report) {
		return report.unreachable()
			.stream()
			.map((entry) -> "entry " + entry + " did not answer; its events are missing\n")
			.collect(Collectors.joining());
	}

}
