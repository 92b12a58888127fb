package org.monsoonvalve.scenarios.process;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonvalve.core.process.Sleep;
import org.monsoonvalve.scenarios.process.Timeline.EventKind;
import org.monsoonvalve.scenarios.version.Evidence;

/**
 * Asks entries again and again which revisions they have in force.
 *
 * @author monsoonvalve maintainers
 */
final class ConfigurationSampler {

	private static final long PERIOD_MILLIS = 200;

	private static final Set<EventKind> INTERRUPTIONS = Set.of(EventKind.STARTED, EventKind.THAWED);

	private final Clock clock = Clock.systemUTC();

	private final Cluster cluster;

	private final Timeline timeline;

	private final List<Evidence.Sample> samples = new ArrayList<>();

	private final Map<String, Long> isolatedUntil = new ConcurrentHashMap<>();

	private final Thread thread = new Thread(this::run, "configuration-sampler");

	private volatile boolean stopped;

	ConfigurationSampler(Cluster cluster, Timeline timeline) {
		this.cluster = cluster;
		this.timeline = timeline;
		this.thread.setDaemon(true);
	}

	void start() {
		this.thread.start();
	}

	List<Evidence.Sample> stop() {
		this.stopped = true;
		try {
			this.thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return List.copyOf(this.samples);
	}

	private void run() {
		while (!this.stopped) {
			this.cluster.entries().stream().filter(ManagedProcess::running).forEach(this::sample);
			Sleep.millis(PERIOD_MILLIS);
		}
	}

	private void sample(ManagedProcess entry) {
		long askedMillis = this.clock.millis();
		try {
			JsonNode status = this.cluster.admin().status(entry);
			long startedMillis = 0;
			for (JsonNode node : status.path("nodes")) {
				if (node.path("id").asText().equals(entry.name())) {
					startedMillis = node.path("startedMillis").asLong();
				}
			}
			this.samples.add(new Evidence.Sample(entry.name(), askedMillis, startedMillis, reachableSince(entry),
					status.path("inventoryRevision").asLong(), status.path("rulesRevision").asLong()));
		}
		catch (RuntimeException ex) {
			this.isolatedUntil.put(entry.name(), askedMillis);
		}
	}

	private long reachableSince(ManagedProcess entry) {
		long interruptedMillis = this.timeline.about(entry.name())
			.stream()
			.filter((event) -> INTERRUPTIONS.contains(event.kind()))
			.mapToLong(Timeline.Event::timeMillis)
			.max()
			.orElse(0);
		return Math.max(interruptedMillis, this.isolatedUntil.getOrDefault(entry.name(), 0L));
	}

}
