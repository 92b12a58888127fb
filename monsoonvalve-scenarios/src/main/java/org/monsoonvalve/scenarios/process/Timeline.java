package org.monsoonvalve.scenarios.process;

import java.time.Clock;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * What a scenario did to the system, and when.
 *
 * @author monsoonvalve maintainers
 */
public final class Timeline {

	private final Clock clock = Clock.systemUTC();

	private final Queue<Event> events = new ConcurrentLinkedQueue<>();

	/**
	 * Notes an event that happens now.
	 * @param kind what happens
	 * @param target the process, VM or availability zone that it happens to
	 */
	public void note(EventKind kind, String target) {
		note(kind, target, 0);
	}

	/**
	 * Notes an event that happens now.
	 * @param kind what happens
	 * @param target the process, VM or availability zone that it happens to
	 * @param number a revision, where there is one
	 */
	public void note(EventKind kind, String target, long number) {
		this.events.add(new Event(this.clock.millis(), kind, target, number));
	}

	/**
	 * Returns the events of a kind.
	 * @param kind the kind
	 * @return the events in order
	 */
	public List<Event> of(EventKind kind) {
		return this.events.stream().filter((event) -> event.kind() == kind).toList();
	}

	/**
	 * Returns the events of a target.
	 * @param target the target
	 * @return the events in order
	 */
	public List<Event> about(String target) {
		return this.events.stream().filter((event) -> event.target().equals(target)).toList();
	}

	/**
	 * An event.
	 *
	 * @param timeMillis when it happened, in milliseconds since the epoch
	 * @param kind what happened
	 * @param target the process, VM or availability zone
	 * @param number a revision, where there is one
	 */
	public record Event(long timeMillis, EventKind kind, String target, long number) {

	}

	/**
	 * Kinds of events.
	 */
	public enum EventKind {

		/** A process was started. */
		STARTED,

		/** A process was killed. */
		KILLED,

		/** A process was asked to end. */
		TERMINATED,

		/** A process was suspended. */
		FROZEN,

		/** A suspended process goes on. */
		THAWED,

		/** An availability zone was taken out of service. */
		ZONE_OUT,

		/** An availability zone was taken back into service. */
		ZONE_IN,

		/** A VM is leaving. */
		VM_LEAVING,

		/** A VM is back in service. */
		VM_BACK,

		/** A member can't hear its group. */
		CUT_FROM_GROUP,

		/** A change of the inventory was accepted. */
		INVENTORY_ACCEPTED,

		/** A change of the rules was accepted. */
		RULES_ACCEPTED,

		/** An endpoint is allowed to be slow or silent. */
		FAULT

	}

}
