package org.monsoonvalve.burn.process;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Parts of the report's page.
 *
 * @author monsoonvalve maintainers
 */
final class HtmlRows {

	private static final int WIDTH = 240;

	private static final int HEIGHT = 40;

	private HtmlRows() {
	}

	static String page(String rows, String notes) {
		return """
				<!DOCTYPE html>
				<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>
				body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}
				td,th{border-bottom:1px solid #ccc;padding:.3em .8em;text-align:left}
				tr.alert td{background:#fdd}pre{color:#900}
				</style></head><body><h1>Service-level burn</h1><pre>%s</pre>
				<table><tr><th>Workspace</th><th>Pool</th><th>Objective</th><th>Target</th><th>Good</th><th>Bad</th>
				<th>Budget left</th><th>Burn 5 min</th><th>Burn 1 h</th><th>Causes</th><th>Last hour</th></tr>
				%s</table></body></html>
				""".formatted(notes, rows);
	}

	static String row(BurnReport.Line line) {
		String cells = List.of(line.workspace(), line.pool(), line.objective(), ReportFormat.number(line.target()),
				String.valueOf(line.good()), String.valueOf(line.bad()), ReportFormat.number(line.budgetLeft()),
				ReportFormat.number(line.shortBurn()), ReportFormat.number(line.longBurn()), line.causes().toString())
			.stream()
			.map((cell) -> "<td>" + escape(cell) + "</td>")
			.collect(Collectors.joining());
		return "<tr%s>%s<td>%s</td></tr>%n".formatted(line.alert() ? " class=\"alert\"" : "", cells,
				plot(line.history()));
	}

	static String escape(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
	}

	private static String plot(List<BurnReport.Sample> history) {
		double top = Math.max(1, history.stream().mapToDouble(BurnReport.Sample::burn).max().orElse(1));
		int last = Math.max(1, history.size() - 1);
		String points = IntStream.range(0, history.size())
			.mapToObj((index) -> String.format(Locale.ROOT, "%.1f,%.1f", (double) WIDTH * index / last,
					HEIGHT - HEIGHT * history.get(index).burn() / top))
			.collect(Collectors.joining(" "));
		return "<svg width=\"%d\" height=\"%d\"><polyline fill=\"none\" stroke=\"#06c\" points=\"%s\"/></svg>"
			.formatted(WIDTH, HEIGHT, points);
	}

}
