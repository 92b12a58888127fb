package org.monsoonvalve.core.process;

import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import org.monsoonvalve.core.connection.PeerFrame;

/**
 * Tracks the VMs that the platform's VM list recently reported as leaving, that is, about
 * to be taken away. The reports come from this process's own reads and from peers.
 *
 * @author monsoonvalve maintainers
 */
public final class LeavingVms {

	private static final long GOSSIP_MAX_AGE_MILLIS = 10_000;

	private static final long RETENTION_MILLIS = 20_000;

	private final ElapsedClock clock;

	private final ConcurrentMap<String, ElapsedClock.Reading> lastObserved = new ConcurrentHashMap<>();

	private LeavingVms(ElapsedClock clock) {
		this.clock = clock;
	}

	/**
	 * Creates an instance without VMs.
	 * @param clock measures the age of observations
	 * @return the instance
	 */
	public static LeavingVms of(ElapsedClock clock) {
		return new LeavingVms(clock);
	}

	/**
	 * Adds an observation of a leaving VM.
	 * @param observation the VM and how long ago the list reported it
	 * @return {@code true} if the VM was not known to be leaving
	 */
	public boolean add(PeerFrame.LeavingVm observation) {
		ElapsedClock.Reading at = this.clock.now().minusMillis(observation.ageMillis());
		boolean added = !contains(observation.vm());
		this.lastObserved.merge(observation.vm(), at,
				(known, received) -> (known.wallMillis() >= received.wallMillis()) ? known : received);
		return added;
	}

	/**
	 * Tells whether a VM is leaving.
	 * @param vm the VM's name
	 * @return {@code true} if the list recently reported it
	 */
	public boolean contains(String vm) {
		ElapsedClock.Reading at = this.lastObserved.get(vm);
		return at != null && this.clock.elapsedMillis(at) <= RETENTION_MILLIS;
	}

	/**
	 * Returns the observations that are recent enough to pass on to peers, and forgets
	 * expired ones.
	 * @return the VMs with the age of their latest observations
	 */
	public List<PeerFrame.LeavingVm> recent() {
		this.lastObserved.values().removeIf((at) -> this.clock.elapsedMillis(at) > RETENTION_MILLIS);
		return this.lastObserved.entrySet()
			.stream()
			.map((entry) -> new PeerFrame.LeavingVm(entry.getKey(), this.clock.elapsedMillis(entry.getValue())))
			.filter((observation) -> observation.ageMillis() <= GOSSIP_MAX_AGE_MILLIS)
			.toList();
	}

}
