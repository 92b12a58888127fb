package org.monsoonvalve.scenarios.process;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonvalve.core.connection.HttpRequest;

/**
 * What an entry says of its own cost.
 *
 * @author monsoonvalve maintainers
 * @param atNanos when it was asked, by the monotonic clock
 * @param cpuNanos processor time since its start, in nanoseconds
 * @param heapBytes heap in use, in bytes
 * @param peerBytes bytes exchanged with peers since its start
 * @param httpBytes bytes exchanged with the platform and endpoints since its start
 * @param peerFrames frames sent to peers since its start
 */
record EntryGauges(long atNanos, long cpuNanos, long heapBytes, long peerBytes, long httpBytes, long peerFrames) {

	static EntryGauges read(Cluster cluster, ManagedProcess entry) {
		JsonNode gauges = cluster.call(entry.address(), HttpRequest.get("/metrics")).json().path("gauges");
		return new EntryGauges(System.nanoTime(), gauges.path("process.cpu-nanos").asLong(),
				gauges.path("process.heap-bytes").asLong(),
				gauges.path("peers.bytes-in").asLong() + gauges.path("peers.bytes-out").asLong(),
				gauges.path("http-client.bytes-in").asLong() + gauges.path("http-client.bytes-out").asLong(),
				gauges.path("peers.frames-out").asLong());
	}

}
