package org.monsoonvalve.scenarios.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.monsoonvalve.scenarios.process.Timeline;
import org.monsoonvalve.scenarios.process.Timeline.Event;
import org.monsoonvalve.scenarios.process.Timeline.EventKind;
import org.monsoonvalve.scenarios.request.Observation.Outcome;
import org.monsoonvalve.standins.request.LedgerEntry;

/**
 * What must always hold, each with the checker that finds where it did not. All checkers
 * run after every scenario.
 *
 * @author monsoonvalve maintainers
 */
public enum Promise {

	/** No replica group serves unless all its members are present. */
	GROUPS_WHOLE(1, Promise::incompleteGroups),

	/** No VM belongs to two groups at once. */
	ONE_GROUP(2, Promise::doubleMembers),

	/** An endpoint that has just started receives no more load than it can take. */
	COLD_START(3, Promise::coldOverloads),

	/** An availability zone that is out receives no new work after a few seconds. */
	ZONE_OUT(4, Promise::workInZonesOut),

	/** Every caller receives the whole answer to its own request. */
	WHOLE_ANSWERS(5, Promise::wrongAnswers),

	/** A refusal that says "not run" is true. */
	NOT_RUN(6, Promise::falseNotRun),

	/** A request that may not be repeated runs at most once. */
	AT_MOST_ONCE(7, Promise::repeatedRuns),

	/** A leaving endpoint receives no new work after a few seconds. */
	LEAVING(8, Promise::workForLeaving),

	/** A graceful shutdown cuts off no request. */
	GRACEFUL_SHUTDOWN(9, Promise::cutByShutdown),

	/** An accepted configuration is in force within seconds and never reverts. */
	CONFIGURATION(10, Promise::configurationFaults);

	private static final long GROUP_LOSS_MILLIS = 1500;

	private static final long OUT_MILLIS = 3000;

	private static final long IN_FORCE_MILLIS = 6000;

	private final int number;

	private final Function<Evidence, List<String>> checker;

	Promise(int number, Function<Evidence, List<String>> checker) {
		this.number = number;
		this.checker = checker;
	}

	/**
	 * Returns the promise's number in scripts.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Finds where the promise was broken.
	 * @param evidence what a scenario left behind
	 * @return a line for each breach
	 */
	public List<String> breaches(Evidence evidence) {
		return this.checker.apply(evidence)
			.stream()
			.map((breach) -> this.number + " " + name() + ": " + breach)
			.toList();
	}

	private static Stream<LedgerEntry> runs(Evidence evidence) {
		return evidence.ledger().stream().filter((entry) -> LedgerEntry.RUN.equals(entry.kind()));
	}

	/**
	 * Finds requests that groups took without all their members. A request to whose
	 * connection the leader had just said that its group was complete can't be known to
	 * meet an incomplete one; the time since a member was lost is checked for all.
	 * @param evidence what a scenario left behind
	 * @return a line for each breach
	 */
	private static List<String> incompleteGroups(Evidence evidence) {
		return runs(evidence).filter((run) -> !run.group().isEmpty()).flatMap((run) -> {
			List<String> faults = new ArrayList<>();
			if (!run.complete() && !run.toldComplete()) {
				faults.add("group " + run.group() + " took a request without hearing all members: " + run);
			}
			membersOf(evidence, run)
				.filter((member) -> unfitFor(evidence.timeline(), member, run.timeMillis()) > GROUP_LOSS_MILLIS)
				.forEach((member) -> faults
					.add("group " + run.group() + " took a request long after " + member + " was lost: " + run));
			return faults.stream();
		}).toList();
	}

	private static Stream<String> membersOf(Evidence evidence, LedgerEntry run) {
		return evidence.ledger()
			.stream()
			.filter((entry) -> LedgerEntry.LOAD.equals(entry.kind()) && entry.group().equals(run.group())
					&& entry.fence() == run.fence())
			.map(LedgerEntry::vm)
			.distinct();
	}

	private static long unfitFor(Timeline timeline, String member, long timeMillis) {
		Optional<Event> last = timeline.about(member)
			.stream()
			.filter((event) -> event.timeMillis() <= timeMillis)
			.filter((event) -> Set
				.of(EventKind.STARTED, EventKind.KILLED, EventKind.FROZEN, EventKind.THAWED, EventKind.CUT_FROM_GROUP)
				.contains(event.kind()))
			.reduce((first, second) -> second);
		boolean unfit = last.filter(
				(event) -> Set.of(EventKind.KILLED, EventKind.FROZEN, EventKind.CUT_FROM_GROUP).contains(event.kind()))
			.isPresent();
		return unfit ? timeMillis - last.get().timeMillis() : 0;
	}

	private static List<String> doubleMembers(Evidence evidence) {
		List<String> faults = new ArrayList<>();
		Map<String, LedgerEntry> jobs = new HashMap<>();
		Map<String, Set<String>> members = new HashMap<>();
		for (LedgerEntry entry : evidence.ledger()) {
			LedgerEntry before = jobs.get(entry.vm());
			if (LedgerEntry.LOAD.equals(entry.kind())) {
				boolean same = before == null || !before.bootId().equals(entry.bootId())
						|| LedgerEntry.UNLOAD.equals(before.kind()) || before.group().equals(entry.group())
						|| evidence.injected(before) || evidence.injected(entry);
				if (!same) {
					faults.add(entry.vm() + " was ordered from group " + before.group() + " into " + entry.group()
							+ " without unloading");
				}
				jobs.put(entry.vm(), entry);
				members.computeIfAbsent(entry.group() + "/" + entry.fence(), (absent) -> new HashSet<>())
					.add(entry.vm());
			}
			else if (LedgerEntry.UNLOAD.equals(entry.kind())) {
				jobs.put(entry.vm(), entry);
			}
			else if (LedgerEntry.RUN.equals(entry.kind()) && !entry.group().isEmpty()) {
				members.getOrDefault(entry.group() + "/" + entry.fence(), Set.of())
					.stream()
					.filter((vm) -> !jobs.get(vm).group().equals(entry.group())
							|| jobs.get(vm).fence() != entry.fence())
					.filter((vm) -> entry.timeMillis() - jobs.get(vm).timeMillis() > GROUP_LOSS_MILLIS)
					.forEach((vm) -> faults.add("group " + entry.group() + " served while its member " + vm
							+ " was in group '" + jobs.get(vm).group() + "'"));
			}
		}
		return faults;
	}

	/**
	 * Finds requests that were sent to a cold endpoint beyond its capacity. A request to
	 * which the endpoint had just said on its connection that it was warm can't be known
	 * to overload it, and does not count.
	 * @param evidence what a scenario left behind
	 * @return a line for each breach
	 */
	private static List<String> coldOverloads(Evidence evidence) {
		return evidence.ledger()
			.stream()
			.filter((entry) -> LedgerEntry.RUN.equals(entry.kind()) || LedgerEntry.COLLAPSE.equals(entry.kind()))
			.filter((entry) -> entry.cold() && entry.toldCold() > evidence.coldCapacity())
			.map((entry) -> entry.vm() + " got more requests than its cold capacity: " + entry)
			.toList();
	}

	private static List<String> workInZonesOut(Evidence evidence) {
		return runs(evidence)
			.filter((run) -> outFor(evidence.timeline(), run.zone(), EventKind.ZONE_OUT, EventKind.ZONE_IN,
					run.timeMillis()) > OUT_MILLIS)
			.map((run) -> "availability zone " + run.zone() + " is out and got a request: " + run)
			.toList();
	}

	private static List<String> workForLeaving(Evidence evidence) {
		return runs(evidence)
			.flatMap((run) -> Stream
				.concat(Stream.of(run.vm()), membersOf(evidence, run).filter((vm) -> !run.group().isEmpty()))
				.distinct()
				.filter((vm) -> outFor(evidence.timeline(), vm, EventKind.VM_LEAVING, EventKind.VM_BACK,
						run.timeMillis()) > OUT_MILLIS)
				.map((vm) -> vm + " is leaving and its endpoint got a request: " + run))
			.toList();
	}

	private static long outFor(Timeline timeline, String target, EventKind out, EventKind in, long timeMillis) {
		return timeline.about(target)
			.stream()
			.filter((event) -> event.timeMillis() <= timeMillis && (event.kind() == out || event.kind() == in))
			.reduce((first, second) -> second)
			.filter((event) -> event.kind() == out)
			.map((event) -> timeMillis - event.timeMillis())
			.orElse(0L);
	}

	private static List<String> wrongAnswers(Evidence evidence) {
		return evidence.observations()
			.stream()
			.filter((seen) -> seen.outcome() == Outcome.WRONG)
			.map((seen) -> "a caller got a wrong or partial answer: " + seen)
			.toList();
	}

	private static List<String> falseNotRun(Evidence evidence) {
		Set<String> ran = runs(evidence).map(LedgerEntry::clientId).collect(Collectors.toSet());
		return evidence.observations()
			.stream()
			.filter((seen) -> seen.outcome() == Outcome.REFUSED && "not-run".equals(seen.run()))
			.filter((seen) -> ran.contains(seen.clientId()))
			.map((seen) -> "refused as not run, but it ran: " + seen)
			.toList();
	}

	private static List<String> repeatedRuns(Evidence evidence) {
		Map<String, Long> byClient = runs(evidence).filter((run) -> run.path().startsWith("POST /bookings"))
			.filter((run) -> !run.clientId().isEmpty())
			.collect(Collectors.groupingBy(LedgerEntry::clientId, Collectors.counting()));
		Map<String, Long> byKey = runs(evidence).filter((run) -> !run.idempotencyKey().isEmpty())
			.collect(Collectors.groupingBy(LedgerEntry::idempotencyKey, Collectors.counting()));
		return Stream.concat(byClient.entrySet().stream(), byKey.entrySet().stream())
			.filter((count) -> count.getValue() > 1)
			.map((count) -> "a booking ran " + count.getValue() + " times: " + count.getKey())
			.toList();
	}

	private static List<String> cutByShutdown(Evidence evidence) {
		return evidence.observations().stream().filter((seen) -> seen.outcome() == Outcome.CUT).filter((seen) -> {
			String entry = evidence.entryNames().get(seen.entry());
			List<EventKind> kinds = evidence.timeline().about(entry).stream().map(Event::kind).toList();
			return kinds.contains(EventKind.TERMINATED) && !kinds.contains(EventKind.KILLED)
					&& !kinds.contains(EventKind.FROZEN);
		}).map((seen) -> "a graceful shutdown cut off a request: " + seen).toList();
	}

	private static List<String> configurationFaults(Evidence evidence) {
		List<String> faults = new ArrayList<>(evidence.reverts());
		Stream
			.concat(evidence.timeline().of(EventKind.RULES_ACCEPTED).stream(),
					evidence.timeline().of(EventKind.INVENTORY_ACCEPTED).stream())
			.sorted(Comparator.comparingLong(Event::timeMillis))
			.forEach((accepted) -> evidence.samples()
				.stream()
				.filter((sample) -> sample.askedMillis() >= accepted.timeMillis() + IN_FORCE_MILLIS)
				.filter((sample) -> sample.reachableSinceMillis() <= accepted.timeMillis())
				.filter((sample) -> sample.revision(accepted.kind()) < accepted.number())
				.findFirst()
				.ifPresent((sample) -> faults.add("revision " + accepted.number() + " is not in force at "
						+ sample.entry() + " after " + (sample.askedMillis() - accepted.timeMillis()) + " ms")));
		return faults;
	}

}
