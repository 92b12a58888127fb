package org.monsoonvalve.entry.request;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;
import org.monsoonvalve.entry.version.Target;

/**
 * Orders the targets of a request: the own availability zone first, warm before cold,
 * then by prefix affinity with bounded load.
 *
 * @author monsoonvalve maintainers
 */
public final class Router {

	private static final double LOAD_BOUND = 1.25;

	private Router() {
	}

	/**
	 * Orders candidates by preference and leaves out those at their capacity.
	 * @param candidates the candidates
	 * @param zone the availability zone of this process
	 * @param affinity what requests that should meet the same target have in common
	 * @return the targets, most preferred first
	 */
	public static List<Target> order(List<Candidate> candidates, String zone, String affinity) {
		double mean = candidates.stream().mapToInt(Candidate::outstanding).average().orElse(0);
		double bound = Math.ceil((mean + 1) * LOAD_BOUND);
		return candidates.stream()
			.filter((candidate) -> candidate.outstanding() < candidate.capacity())
			.sorted(Comparator.comparing((Candidate candidate) -> !candidate.target().zone().equals(zone))
				.thenComparing(Candidate::penalised)
				.thenComparing(Candidate::cold)
				.thenComparing((candidate) -> candidate.outstanding() >= bound)
				.thenComparingLong((candidate) -> -score(affinity, candidate.target().id())))
			.map(Candidate::target)
			.toList();
	}

	private static long score(String affinity, String targetId) {
		byte[] bytes = (affinity + "\n" + targetId).getBytes(StandardCharsets.UTF_8);
		return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0] >>> 1;
	}

}
