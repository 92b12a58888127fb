package org.monsoonvalve.scenarios.process;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.Sleep;
import org.monsoonvalve.core.version.Rules;

/**
 * Measures what control costs without any requests, at several sizes.
 *
 * @author monsoonvalve maintainers
 */
final class ControlBench {

	private static final long SETTLE_MILLIS = 20_000;

	private static final double NANOS_PER_SECOND = 1e9;

	private ControlBench() {
	}

	static void run(double seconds, List<String> sizes) {
		System.out.println("entries endpoints changes/s | per entry: cpu% heapMB peerB/s httpB/s frames/s"
				+ " | platform: reads/s writes/s vm-lists/s | controller cpu%");
		for (String size : sizes) {
			String[] parts = size.split(",");
			measure(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]), Double.parseDouble(parts[2]), seconds);
		}
	}

	private static void measure(int entries, int endpoints, double changesPerSecond, double seconds) {
		ClusterSpec spec = new ClusterSpec(List.of("a", "b"), entries / 2, 1, endpoints / 2, 0, 2, true, 0, 10, 5, 64,
				null, null);
		Path logs = Path.of("target", "scenario-logs", "control");
		try (Cluster cluster = Cluster.start(spec, logs, new Timeline())) {
			Sleep.millis(SETTLE_MILLIS);
			List<EntryGauges> before = gauges(cluster);
			JsonNode countsBefore = counts(cluster);
			long controllerBefore = controllerCpuNanos(cluster);
			long startNanos = System.nanoTime();
			change(cluster, changesPerSecond, seconds);
			double elapsed = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
			List<EntryGauges> after = gauges(cluster);
			JsonNode countsAfter = counts(cluster);
			double controllerCpu = 100 * (controllerCpuNanos(cluster) - controllerBefore) / NANOS_PER_SECOND / elapsed
					/ cluster.processesOf("controller").size();
			print(entries, endpoints, changesPerSecond, before, after, elapsed);
			System.out.printf(Locale.ROOT, " | %.1f %.1f %.1f | %.2f%n",
					rate(countsBefore, countsAfter, "read", elapsed), rate(countsBefore, countsAfter, "write", elapsed),
					rate(countsBefore, countsAfter, "vm-list", elapsed), controllerCpu);
		}
	}

	private static void change(Cluster cluster, double perSecond, double seconds) {
		long endNanos = System.nanoTime() + (long) (seconds * NANOS_PER_SECOND);
		while (System.nanoTime() - endNanos < 0) {
			if (perSecond == 0) {
				Sleep.millis(200);
				continue;
			}
			Rules rules = cluster.admin().currentRules();
			cluster.admin().apply("rules", new String(Codec.YAML.encode(rules), StandardCharsets.UTF_8));
			Sleep.millis((long) (1000 / perSecond));
		}
	}

	private static void print(int entries, int endpoints, double changes, List<EntryGauges> before,
			List<EntryGauges> after, double elapsed) {
		double cpu = 0;
		double heap = 0;
		double peer = 0;
		double http = 0;
		double frames = 0;
		for (int i = 0; i < before.size(); i++) {
			cpu += after.get(i).cpuNanos() - before.get(i).cpuNanos();
			heap += after.get(i).heapBytes();
			peer += after.get(i).peerBytes() - before.get(i).peerBytes();
			http += after.get(i).httpBytes() - before.get(i).httpBytes();
			frames += after.get(i).peerFrames() - before.get(i).peerFrames();
		}
		int count = before.size();
		System.out.printf(Locale.ROOT, "%7d %9d %9.1f | %.2f %.1f %.0f %.0f %.1f", entries, endpoints, changes,
				100 * cpu / NANOS_PER_SECOND / elapsed / count, heap / 1e6 / count, peer / elapsed / count,
				http / elapsed / count, frames / elapsed / count);
	}

	private static List<EntryGauges> gauges(Cluster cluster) {
		return cluster.entries().stream().map((entry) -> EntryGauges.read(cluster, entry)).toList();
	}

	private static JsonNode counts(Cluster cluster) {
		return cluster.call(cluster.process("platform").address(), HttpRequest.get("/counts")).json();
	}

	private static double rate(JsonNode before, JsonNode after, String name, double elapsed) {
		return (after.path(name).asLong() - before.path(name).asLong()) / elapsed;
	}

	private static long controllerCpuNanos(Cluster cluster) {
		return cluster.processesOf("controller").stream().mapToLong(ManagedProcess::cpuNanos).sum();
	}

}
