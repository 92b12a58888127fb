package org.monsoonvalve.scenarios.version;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.monsoonvalve.scenarios.request.CallKind;

/**
 * A step of a scenario script.
 *
 * @author monsoonvalve maintainers
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_OBJECT)
@JsonSubTypes({ @JsonSubTypes.Type(value = Step.Load.class, name = "load"),
		@JsonSubTypes.Type(value = Step.Finish.class, name = "finish"),
		@JsonSubTypes.Type(value = Step.Pause.class, name = "pause"),
		@JsonSubTypes.Type(value = Step.Act.class, name = "act"),
		@JsonSubTypes.Type(value = Step.Fault.class, name = "fault"),
		@JsonSubTypes.Type(value = Step.CutPlatform.class, name = "cutPlatform"),
		@JsonSubTypes.Type(value = Step.Vm.class, name = "vm"),
		@JsonSubTypes.Type(value = Step.Service.class, name = "service"),
		@JsonSubTypes.Type(value = Step.LateOrder.class, name = "lateOrder"),
		@JsonSubTypes.Type(value = Step.SameKey.class, name = "sameKey"),
		@JsonSubTypes.Type(value = Step.Race.class, name = "race"),
		@JsonSubTypes.Type(value = Step.Expect.class, name = "expect") })
public sealed interface Step {

	/**
	 * Sends requests in the background, at a steady rate whatever becomes of them.
	 *
	 * @param name the load's name
	 * @param kind what is sent
	 * @param perSecond how many a second, over all entries
	 * @param seconds for how long
	 * @param entries the entries' names, all ready ones if not given
	 * @param tokens how many tokens a chat asks for
	 * @param stream whether a chat asks for a stream
	 * @param greedy whether the greedy workspace sends them
	 * @param keyed whether each request carries its own idempotency key
	 */
	record Load(String name, CallKind kind, double perSecond, double seconds, List<String> entries, int tokens,
			boolean stream, boolean greedy, boolean keyed) implements Step {

	}

	/**
	 * Waits until all loads have ended and all their requests have outcomes.
	 */
	record Finish() implements Step {

	}

	/**
	 * Lets time pass.
	 *
	 * @param millis how long, in milliseconds
	 */
	record Pause(long millis) implements Step {

	}

	/**
	 * Does something to a process.
	 *
	 * @param kill the process to kill
	 * @param term the process to end gracefully
	 * @param start the process to start again
	 * @param freeze the process to suspend
	 * @param thaw the suspended process that goes on
	 */
	record Act(String kill, String term, String start, String freeze, String thaw) implements Step {

	}

	/**
	 * Commands a fault at a stand-in.
	 *
	 * @param process the stand-in
	 * @param name the fault
	 * @param number its number, 0 to switch it off
	 */
	record Fault(String process, String name, long number) implements Step {

	}

	/**
	 * Cuts availability zones off from the platform, and reconnects all others.
	 *
	 * @param zones the availability zones that are cut off
	 */
	record CutPlatform(List<String> zones) implements Step {

	}

	/**
	 * Changes a VM in the platform's VM list.
	 *
	 * @param id the VM
	 * @param state {@code live}, {@code leaving} or {@code destroyed}
	 */
	record Vm(String id, String state) implements Step {

	}

	/**
	 * Takes an availability zone or an endpoint out of service or back in.
	 *
	 * @param zoneOut the availability zone to take out
	 * @param zoneIn the availability zone to take in
	 * @param endpointOut the VM to take out
	 * @param endpointIn the VM to take in
	 */
	record Service(String zoneOut, String zoneIn, String endpointOut, String endpointIn) implements Step {

	}

	/**
	 * Sends an engine an order with an old fencing number, as a controller would that was
	 * paused.
	 *
	 * @param engine the engine
	 */
	record LateOrder(String engine) implements Step {

	}

	/**
	 * Sends one booking with one idempotency key several times.
	 *
	 * @param name the name of these requests
	 * @param entries the entries' names
	 * @param together whether all are sent at once
	 */
	record SameKey(String name, List<String> entries, boolean together) implements Step {

	}

	/**
	 * Lets several operators change the rules at once, all from the same base.
	 *
	 * @param operators how many
	 */
	record Race(int operators) implements Step {

	}

	/**
	 * Judges the requests of a load.
	 *
	 * @param load the load's name
	 * @param answeredAtLeast the least share of requests that were answered, 0 to 1
	 * @param cutAtMost the greatest number of requests that were cut off
	 * @param p95Millis the greatest 95th percentile of the time to an outcome, in
	 * milliseconds, 0 for any
	 * @param lastMillis judges only the requests sent in the last of these milliseconds
	 * of the load, 0 for all
	 * @param runsPerRequestAtMost the greatest mean number of runs at endpoints that a
	 * request caused, 0 for any
	 */
	record Expect(String load, double answeredAtLeast, Integer cutAtMost, long p95Millis, long lastMillis,
			double runsPerRequestAtMost) implements Step {

	}

}
