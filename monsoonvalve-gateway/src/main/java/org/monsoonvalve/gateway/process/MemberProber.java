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
 * Detects which member of a group is lost when the group's requests stall, before the
 * member's record is removed. A probe requests a member's report; a member that leaves
 * two consecutive probes unanswered is missing until it answers again. Confined to the
 * control thread.
 *
 * @author monsoonvalve maintainers
 */
final class MemberProber {

	/**
	 * Timeout for a report, which takes milliseconds; the latency between zones is below
	 * 10 ms.
	 */
	static final long PROBE_TIMEOUT_MILLIS = 250;

	/**
	 * Consecutive unanswered probes after which a member is missing; a single one may be
	 * lost.
	 */
	static final int MISSING_AFTER_PROBES = 2;

	/**
	 * Shortest interval between two probes of a stalled group's member or of a missing
	 * member.
	 */
	static final long PROBE_INTERVAL_MILLIS = 1000;

	private final EngineControl engines;

	private final Executor control;

	private final LongSupplier nowMillis;

	private final DecisionLog log;

	private final Map<String, ProbeState> states = new HashMap<>();

	/**
	 * Creates a prober without missing members.
	 * @param engines requests reports
	 * @param control the thread that the prober is confined to
	 * @param nowMillis supplies the current time, in milliseconds
	 * @param log receives the events of members that go missing or come back
	 */
	MemberProber(EngineControl engines, Executor control, LongSupplier nowMillis, DecisionLog log) {
		this.engines = engines;
		this.control = control;
		this.nowMillis = nowMillis;
		this.log = log;
	}

	/**
	 * Probes the members of a group whose requests have stalled.
	 * @param members the members' records
	 */
	void probe(List<EndpointRecord> members) {
		members.forEach(this::probeIfDue);
	}

	/**
	 * Probes missing members again and discards the state of removed VMs.
	 * @param endpoints the current records
	 * @param heads the incarnations of group heads, whose state outlives their records
	 */
	void step(List<EndpointRecord> endpoints, Set<String> heads) {
		Map<String, EndpointRecord> present = new HashMap<>();
		endpoints.forEach((endpoint) -> present.put(endpoint.incarnation(), endpoint));
		this.states.keySet()
			.removeIf((incarnation) -> !present.containsKey(incarnation) && !heads.contains(incarnation));
		present.values().stream().filter(this::isMissing).forEach(this::probeIfDue);
	}

	/**
	 * Discards all state, for a process that no longer plans the zone.
	 */
	void clear() {
		this.states.clear();
	}

	/**
	 * Tells whether a VM has left the last {@value #MISSING_AFTER_PROBES} probes
	 * unanswered.
	 * @param endpoint the VM's record
	 * @return {@code true} if it is missing
	 */
	boolean isMissing(EndpointRecord endpoint) {
		ProbeState state = this.states.get(endpoint.incarnation());
		return state != null && state.unanswered >= MISSING_AFTER_PROBES;
	}

	/**
	 * Returns the time since which a VM has answered no probe.
	 * @param incarnation the VM's incarnation
	 * @return the time of the first unanswered probe, in milliseconds, empty if the last
	 * probe was answered or none was sent
	 */
	OptionalLong silentSinceMillis(String incarnation) {
		ProbeState state = this.states.get(incarnation);
		return (state != null && state.unanswered > 0) ? OptionalLong.of(state.silentSinceMillis)
				: OptionalLong.empty();
	}

	/**
	 * Returns the time of a VM's last answer.
	 * @param incarnation the VM's incarnation
	 * @return the time, in milliseconds, empty if it has answered no probe
	 */
	OptionalLong lastAnswerMillis(String incarnation) {
		ProbeState state = this.states.get(incarnation);
		return (state != null) ? state.lastAnswerMillis : OptionalLong.empty();
	}

	private void probeIfDue(EndpointRecord endpoint) {
		ProbeState state = this.states.computeIfAbsent(endpoint.incarnation(), (absent) -> new ProbeState());
		long now = this.nowMillis.getAsLong();
		if (!state.probing && (!state.probed || now - state.lastProbeMillis >= PROBE_INTERVAL_MILLIS)) {
			state.probing = true;
			state.probed = true;
			state.lastProbeMillis = now;
			sendProbe(endpoint, state);
		}
	}

	private void sendProbe(EndpointRecord endpoint, ProbeState state) {
		long sentMillis = this.nowMillis.getAsLong();
		this.engines.orderCount(endpoint.engine(), PROBE_TIMEOUT_MILLIS)
			.whenCompleteAsync((count, failure) -> probeCompleted(endpoint, state, sentMillis, failure), this.control);
	}

	private void probeCompleted(EndpointRecord endpoint, ProbeState state, long sentMillis, Throwable failure) {
		if (failure == null) {
			if (isMissing(endpoint)) {
				this.log.record(LogEvent.MEMBER_BACK, "endpoint", endpoint.id(), "missing_ms",
						this.nowMillis.getAsLong() - state.silentSinceMillis);
			}
			state.unanswered = 0;
			state.lastAnswerMillis = OptionalLong.of(this.nowMillis.getAsLong());
			state.probing = false;
			return;
		}
		if (state.unanswered == 0) {
			state.silentSinceMillis = sentMillis;
		}
		state.unanswered++;
		if (state.unanswered < MISSING_AFTER_PROBES) {
			sendProbe(endpoint, state);
			return;
		}
		state.probing = false;
		if (state.unanswered == MISSING_AFTER_PROBES) {
			this.log.record(LogEvent.MEMBER_MISSING, "endpoint", endpoint.id(), "group",
					endpoint.membership().map((place) -> place.group()).orElse(""), "silent_ms",
					this.nowMillis.getAsLong() - state.silentSinceMillis, "reason",
					ServingException.from(failure).getMessage());
		}
	}

	/**
	 * The results of the probes of one VM.
	 */
	private static final class ProbeState {

		private boolean probed;

		private boolean probing;

		private long lastProbeMillis;

		private int unanswered;

		private long silentSinceMillis;

		private OptionalLong lastAnswerMillis = OptionalLong.empty();

	}

}
