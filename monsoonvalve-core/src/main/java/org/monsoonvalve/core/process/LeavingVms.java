package org.monsoonvalve.core.process;

import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import org.monsoonvalve.core.connection.PeerFrame;

/**
 * Remembers which VMs the platform's VM list lately named as leaving, as read here or
 * heard from peers.
 *
 * @author monsoonvalve maintainers
 */
public final class LeavingVms {

	private static final long PASS_ON_MILLIS = 10_000;

	private static final long KEEP_MILLIS = 20_000;

	private final ElapsedClock clock;

	private final ConcurrentMap<String, ElapsedClock.Reading> seen = new ConcurrentHashMap<>();

	private LeavingVms(ElapsedClock clock) {
		this.clock = clock;
	}

	/**
	 * Creates an empty memory.
	 * @param clock measures ages
	 * @return the memory
	 */
	public static LeavingVms of(ElapsedClock clock) {
		return new LeavingVms(clock);
	}

	/**
	 * Takes in a sighting.
	 * @param sighting the VM and how long ago the list named it
	 * @return {@code true} if the VM was not known to be leaving
	 */
	public boolean add(PeerFrame.LeavingVm sighting) {
		ElapsedClock.Reading at = this.clock.now().minusMillis(sighting.ageMillis());
		boolean fresh = !contains(sighting.vm());
		this.seen.merge(sighting.vm(), at,
				(known, heard) -> (known.wallMillis() >= heard.wallMillis()) ? known : heard);
		return fresh;
	}

	/**
	 * Tells whether a VM is leaving.
	 * @param vm the VM's name
	 * @return {@code true} if the list named it lately
	 */
	public boolean contains(String vm) {
		ElapsedClock.Reading at = this.seen.get(vm);
		return at != null && this.clock.elapsedMillis(at) <= KEEP_MILLIS;
	}

	/**
	 * Returns what is passed on to peers.
	 * @return the recent sightings
	 */
	public List<PeerFrame.LeavingVm> recent() {
		this.seen.values().removeIf((at) -> this.clock.elapsedMillis(at) > KEEP_MILLIS);
		return this.seen.entrySet()
			.stream()
			.map((entry) -> new PeerFrame.LeavingVm(entry.getKey(), this.clock.elapsedMillis(entry.getValue())))
			.filter((sighting) -> sighting.ageMillis() <= PASS_ON_MILLIS)
			.toList();
	}

}
