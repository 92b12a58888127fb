package org.monsoonvalve.gateway.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.version.EndpointRecord;

/**
 * Finds out which member of a group is lost when the group's requests stand still, before
 * the member's record goes: the members are asked for their reports, and one that leaves
 * two probes in a row unanswered is missing until it answers again. Confined to the
 * control thread.
 *
 * @author monsoonvalve maintainers
 */
final class MemberProber {

	/** Wait for a report, which takes milliseconds; zones are under 10 ms apart. */
	static final long PROBE_TIMEOUT_MILLIS = 250;

	/** Probes without an answer that make a member missing; one may be lost. */
	static final int PROBES = 2;

	/**
	 * Least time between two probes of a group, and between probes of a missing member.
	 */
	static final long PAUSE_MILLIS = 1000;

	private final EngineControl engines;

	private final Executor control;

	private final LongSupplier nowMillis;

	private final DecisionLog log;

	private final Map<String, Subject> subjects = new HashMap<>();

	/**
	 * Creates a prober that suspects nobody.
	 * @param engines asks for reports
	 * @param control the thread that the prober is confined to
	 * @param nowMillis the present time, in milliseconds
	 * @param log is told of members that are missing and that are back
	 */
	MemberProber(EngineControl engines, Executor control, LongSupplier nowMillis, DecisionLog log) {
		this.engines = engines;
		this.control = control;
		this.nowMillis = nowMillis;
		this.log = log;
	}

	/**
	 * Asks the members of a group whose requests stand still.
	 * @param members the records of its members
	 */
	void probe(List<EndpointRecord> members) {
		members.forEach(this::askIfDue);
	}

	/**
	 * Asks missing members again and forgets VMs that are gone.
	 * @param endpoints the present records
	 * @param heads the incarnations of heads, whose silence counts beyond their records
	 */
	void step(List<EndpointRecord> endpoints, Set<String> heads) {
		Map<String, EndpointRecord> present = new HashMap<>();
		endpoints.forEach((endpoint) -> present.put(endpoint.incarnation(), endpoint));
		this.subjects.keySet()
			.removeIf((incarnation) -> !present.containsKey(incarnation) && !heads.contains(incarnation));
		present.values().stream().filter(this::missing).forEach(this::askIfDue);
	}

	/**
	 * Forgets everything, as when this process no longer plans the zone.
	 */
	void forget() {
		this.subjects.clear();
	}

	/**
	 * Tells whether a VM has left the last probes unanswered.
	 * @param endpoint the VM's record
	 * @return {@code true} if it is missing
	 */
	boolean missing(EndpointRecord endpoint) {
		Subject subject = this.subjects.get(endpoint.incarnation());
		return subject != null && subject.unanswered >= PROBES;
	}

	/**
	 * Tells since when a VM has answered no probe.
	 * @param incarnation the VM's incarnation
	 * @return the time of the first of them, in milliseconds, empty if the last one was
	 * answered or none was asked
	 */
	OptionalLong silentSinceMillis(String incarnation) {
		Subject subject = this.subjects.get(incarnation);
		return (subject != null && subject.unanswered > 0) ? OptionalLong.of(subject.silentSinceMillis)
				: OptionalLong.empty();
	}

	/**
	 * Tells when a VM answered last.
	 * @param incarnation the VM's incarnation
	 * @return the time in milliseconds, empty if it has answered no probe
	 */
	OptionalLong answeredMillis(String incarnation) {
		Subject subject = this.subjects.get(incarnation);
		return (subject != null) ? subject.answeredMillis : OptionalLong.empty();
	}

	private void askIfDue(EndpointRecord endpoint) {
		Subject subject = this.subjects.computeIfAbsent(endpoint.incarnation(), (absent) -> new Subject());
		long now = this.nowMillis.getAsLong();
		if (!subject.asking && (!subject.asked || now - subject.askedMillis >= PAUSE_MILLIS)) {
			subject.asking = true;
			subject.asked = true;
			subject.askedMillis = now;
			ask(endpoint, subject);
		}
	}

	private void ask(EndpointRecord endpoint, Subject subject) {
		long sentMillis = this.nowMillis.getAsLong();
		this.engines.orderCount(endpoint, PROBE_TIMEOUT_MILLIS)
			.whenCompleteAsync((count, failure) -> answered(endpoint, subject, sentMillis, failure), this.control);
	}

	private void answered(EndpointRecord endpoint, Subject subject, long sentMillis, Throwable failure) {
		if (failure == null) {
			if (missing(endpoint)) {
				this.log.record(LogEvent.MEMBER_BACK, "endpoint", endpoint.id(), "missing_ms",
						this.nowMillis.getAsLong() - subject.silentSinceMillis);
			}
			subject.unanswered = 0;
			subject.answeredMillis = OptionalLong.of(this.nowMillis.getAsLong());
			subject.asking = false;
			return;
		}
		if (subject.unanswered == 0) {
			subject.silentSinceMillis = sentMillis;
		}
		subject.unanswered++;
		if (subject.unanswered < PROBES) {
			ask(endpoint, subject);
			return;
		}
		subject.asking = false;
		if (subject.unanswered == PROBES) {
			this.log.record(LogEvent.MEMBER_MISSING, "endpoint", endpoint.id(), "group",
					endpoint.membership().map((place) -> place.group()).orElse(""), "silent_ms",
					this.nowMillis.getAsLong() - subject.silentSinceMillis, "reason",
					ServingException.from(failure).getMessage());
		}
	}

	/**
	 * What is known of one VM.
	 */
	private static final class Subject {

		private boolean asked;

		private boolean asking;

		private long askedMillis;

		private int unanswered;

		private long silentSinceMillis;

		private OptionalLong answeredMillis = OptionalLong.empty();

	}

}
