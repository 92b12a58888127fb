package org.monsoonvalve.entry.connection;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.core.process.ElapsedClock;

/**
 * Issues cold-start slots. One request may be sent to a cold endpoint for each slot, so
 * the sum over all entries stays within the endpoint's capacity. An issuer that took over
 * does not know what its predecessor issued; until those slots have expired it issues
 * only for endpoints that started after it took over.
 *
 * @author monsoonvalve maintainers
 */
public final class SlotIssuer {

	/** How long a request may hold a slot, in milliseconds. */
	public static final long SLOT_MILLIS = 30_000;

	private final ElapsedClock clock;

	private final Map<String, Incarnation> incarnations = new HashMap<>();

	private final Map<String, String> vmBySlot = new HashMap<>();

	private SlotIssuer(ElapsedClock clock) {
		this.clock = clock;
	}

	/**
	 * Creates an issuer that has issued nothing.
	 * @param clock measures the age of slots
	 * @return the issuer
	 */
	public static SlotIssuer of(ElapsedClock clock) {
		return new SlotIssuer(clock);
	}

	/**
	 * Issues a slot if the endpoint can take one more request.
	 * @param request who asks for which endpoint
	 * @param term this process's time as the issuer
	 * @return the slot, if one was issued
	 */
	public synchronized Optional<String> issue(PeerFrame.SlotRequest request, Term term) {
		if (!term.covers(request.uptimeMillis())) {
			return Optional.empty();
		}
		Incarnation incarnation = this.incarnations.compute(request.vm(),
				(vm, known) -> current(known, request, this.clock.now()));
		if (!incarnation.bootId.equals(request.bootId())) {
			return Optional.empty();
		}
		incarnation.slots.entrySet().removeIf((slot) -> {
			boolean expired = this.clock.elapsedMillis(slot.getValue()) > SLOT_MILLIS;
			if (expired) {
				this.vmBySlot.remove(slot.getKey());
			}
			return expired;
		});
		if (incarnation.slots.size() >= request.capacity()) {
			return Optional.empty();
		}
		String slot = request.slotId();
		incarnation.slots.put(slot, this.clock.now());
		this.vmBySlot.put(slot, request.vm());
		return Optional.of(slot);
	}

	/**
	 * Takes a slot back.
	 * @param slot the slot
	 */
	public synchronized void release(String slot) {
		String vm = this.vmBySlot.remove(slot);
		if (vm != null && this.incarnations.containsKey(vm)) {
			this.incarnations.get(vm).slots.remove(slot);
		}
	}

	/**
	 * Counts the slots in use.
	 * @return the number of slots
	 */
	public synchronized int outstanding() {
		return this.vmBySlot.size();
	}

	/**
	 * Forgets all slots, as when this process ceases to be the issuer.
	 */
	public synchronized void clear() {
		this.incarnations.clear();
		this.vmBySlot.clear();
	}

	private static Incarnation current(Incarnation known, PeerFrame.SlotRequest request, ElapsedClock.Reading now) {
		long bootMillis = now.wallMillis() - request.uptimeMillis();
		boolean newer = known == null || (!known.bootId.equals(request.bootId()) && bootMillis > known.bootMillis);
		return newer ? new Incarnation(request.bootId(), bootMillis) : known;
	}

	/**
	 * A process's time as the issuer.
	 *
	 * @param heldMillis how long it has been the issuer, in milliseconds
	 * @param clean whether no predecessor's slots can be outstanding
	 */
	public record Term(long heldMillis, boolean clean) {

		private boolean covers(long uptimeMillis) {
			return this.clean || uptimeMillis < this.heldMillis || this.heldMillis >= SLOT_MILLIS;
		}

	}

	private static final class Incarnation {

		private final String bootId;

		private final long bootMillis;

		private final Map<String, ElapsedClock.Reading> slots = new HashMap<>();

		private Incarnation(String bootId, long bootMillis) {
			this.bootId = bootId;
			this.bootMillis = bootMillis;
		}

	}

}
