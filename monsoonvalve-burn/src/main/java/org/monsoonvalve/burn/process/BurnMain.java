package org.monsoonvalve.burn.process;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletionException;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.connection.HttpResponse;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.LogFormat;
import org.monsoonvalve.core.process.Logs;
import org.monsoonvalve.core.process.Setting;
import org.monsoonvalve.core.process.Settings;

/**
 * Prints the service-level burn report from the entries' measurements.
 *
 * @author monsoonvalve maintainers
 */
public final class BurnMain {

	private static final Setting<List<Address>> ENTRIES = Setting.addresses("entries",
			"addresses of all entries, IP:port, separated by commas");

	private static final Setting<ReportFormat> FORMAT = Setting.choice("format", "form of the report",
			ReportFormat.class, ReportFormat.TEXT);

	private static final long TIMEOUT_MILLIS = 3000;

	private static final int LIMIT_BYTES = 64 * 1024 * 1024;

	private static final int EXIT_ALERT = 1;

	private BurnMain() {
	}

	/**
	 * Prints the report; the exit status is 1 if a line alerts or an entry can't be
	 * reached.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		Logs.configure(LogFormat.TEXT);
		String[] expanded = Arrays.stream(arguments)
			.flatMap((argument) -> "--json".equals(argument) ? Arrays.stream(new String[] { "--format", "json" })
					: Arrays.stream(new String[] { argument }))
			.toArray(String[]::new);
		Settings settings = Settings.parseOrExit("monsoonvalve-burn",
				"Prints how fast each workspace uses up its error budget; --json is short for --format json.",
				List.of(ENTRIES, FORMAT), expanded);
		BurnReport report = collect(settings.get(ENTRIES));
		System.out.print(settings.get(FORMAT).render(report));
		boolean alert = !report.unreachable().isEmpty() || report.lines().stream().anyMatch(BurnReport.Line::alert);
		System.exit(alert ? EXIT_ALERT : 0);
	}

	private static BurnReport collect(List<Address> entries) {
		List<SloSeries> series = new ArrayList<>();
		List<String> unreachable = new ArrayList<>();
		try (HttpClient client = HttpClient.start(TIMEOUT_MILLIS)) {
			for (Address entry : entries) {
				try {
					HttpResponse reply = client
						.exchangeOnNewConnection(entry, HttpRequest.get("/metrics/slo"), TIMEOUT_MILLIS, LIMIT_BYTES)
						.join();
					series.addAll(List.of(Codec.JSON.decode(reply.body(), SloSeries[].class)));
				}
				catch (CompletionException ex) {
					unreachable.add(entry.toString());
				}
			}
		}
		return BurnReport.of(series, unreachable, Clock.systemUTC().millis());
	}

}
