package org.monsoonvalve.scenarios.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;
import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.version.GroupTable;
import org.monsoonvalve.scenarios.request.StreamLoad;

/**
 * Measures what one entry adds to streams.
 *
 * @author monsoonvalve maintainers
 */
final class OverheadBench {

	private static final double WARM_UP_SECONDS = 8;

	private static final int MAX_CONCURRENT = 4000;

	private static final double MICROS_PER_MILLI = 1000;

	private OverheadBench() {
	}

	static void run(double perSecond, double seconds, int tokens, int tokenMillis) {
		ClusterSpec spec = new ClusterSpec(List.of("a"), 1, 1, 8, 0, 2, true, 0, tokenMillis, 0, MAX_CONCURRENT, null,
				null);
		try (Cluster cluster = Cluster.start(spec, Path.of("target", "scenario-logs", "overhead"), new Timeline());
				HttpClient client = HttpClient.start(2000)) {
			ManagedProcess entry = cluster.entries().get(0);
			List<Address> leaders = leaders(cluster, entry);
			StreamLoad.of(client, List.of(entry.address()), Cluster.WORKSPACE_KEY, Cluster.MODEL_POOL)
				.run(perSecond, WARM_UP_SECONDS, Math.min(tokens, 50));
			StreamLoad.Figures direct = StreamLoad.of(client, leaders, Cluster.WORKSPACE_KEY, Cluster.MODEL_POOL)
				.run(perSecond, seconds, tokens);
			EntryGauges before = EntryGauges.read(cluster, entry);
			StreamLoad.Figures through = StreamLoad
				.of(client, List.of(entry.address()), Cluster.WORKSPACE_KEY, Cluster.MODEL_POOL)
				.run(perSecond, seconds, tokens);
			EntryGauges after = EntryGauges.read(cluster, entry);
			print("straight to the engines", direct);
			print("through one entry", through);
			long cpuMicros = TimeUnit.NANOSECONDS.toMicros(after.cpuNanos() - before.cpuNanos());
			System.out.printf(Locale.ROOT, "entry: %.1f us of processor time a token, %.0f us a request, %.2f cores%n",
					(double) cpuMicros / through.tokens(), (double) cpuMicros / through.requests(),
					(double) (after.cpuNanos() - before.cpuNanos()) / (after.atNanos() - before.atNanos()));
			System.out.printf(Locale.ROOT, "entry: heap in use %.1f MB at the end%n", after.heapBytes() / 1e6);
		}
	}

	private static List<Address> leaders(Cluster cluster, ManagedProcess entry) {
		GroupTable[] tables = Codec.JSON.decode(Codec.JSON.encode(cluster.admin().status(entry).path("groups")),
				GroupTable[].class);
		return List.of(tables)
			.stream()
			.flatMap((table) -> table.groups().stream())
			.map((group) -> cluster.process(group.leader()).address())
			.filter((address) -> cluster.call(address, HttpRequest.get("/status")).successful())
			.toList();
	}

	private static void print(String name, StreamLoad.Figures figures) {
		System.out.printf(Locale.ROOT, "%s: %d requests, %d failed, %d events%n", name, figures.requests(),
				figures.failed(), figures.tokens());
		print("  first token", figures.firstTokenMicros());
		print("  between tokens", figures.gapMicros());
	}

	private static void print(String name, Histogram micros) {
		System.out.printf(Locale.ROOT, "%s: p50 %.2f ms, p95 %.2f ms, p99 %.2f ms%n", name,
				micros.getValueAtPercentile(50) / MICROS_PER_MILLI, micros.getValueAtPercentile(95) / MICROS_PER_MILLI,
				micros.getValueAtPercentile(99) / MICROS_PER_MILLI);
	}

}
