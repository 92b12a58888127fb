package org.monsoonvalve.standins.process;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.Settings;
import org.monsoonvalve.standins.process.Faults.FaultKind;
import org.monsoonvalve.standins.request.LedgerEntry;

/**
 * What stand-in engines and plain services have in common: incarnation, warmth, ledger
 * and faults.
 *
 * @author monsoonvalve maintainers
 */
final class EndpointState {

	private static final int OK = 200;

	private static final long COLLAPSED_MILLIS = 1000;

	private final Settings settings;

	private final Faults faults = Faults.none();

	private final Queue<LedgerEntry> ledger = new ConcurrentLinkedQueue<>();

	private final Set<Long> connections = ConcurrentHashMap.newKeySet();

	private final Set<Long> silenced = ConcurrentHashMap.newKeySet();

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicInteger coldRunning = new AtomicInteger();

	private final AtomicInteger served = new AtomicInteger();

	private volatile String bootId = UUID.randomUUID().toString();

	private volatile long bootNanos = System.nanoTime();

	private volatile long downUntilNanos = System.nanoTime();

	EndpointState(Settings settings) {
		this.settings = settings;
	}

	Settings settings() {
		return this.settings;
	}

	Faults faults() {
		return this.faults;
	}

	String bootId() {
		return this.bootId;
	}

	long uptimeMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.bootNanos);
	}

	int running() {
		return this.running.get();
	}

	boolean warm() {
		return this.served.get() >= this.settings.get(StandinSettings.WARM_REQUESTS);
	}

	boolean leaving() {
		return this.faults.get(FaultKind.LEAVING) > 0;
	}

	void goCold() {
		this.served.set(0);
	}

	boolean silent(IncomingCall call) {
		return this.silenced.contains(call.connectionNumber());
	}

	/**
	 * Handles what is the same for all endpoints.
	 * @param call the request
	 * @return {@code true} if nothing is left to do
	 */
	boolean handleCommon(IncomingCall call) {
		this.connections.add(call.connectionNumber());
		if (call.path().equals("/ledger")) {
			call.replyJson(OK, List.copyOf(this.ledger));
			return true;
		}
		if (call.path().equals("/faults")) {
			this.faults.command(call);
			if (this.faults.take(FaultKind.SILENCE)) {
				this.silenced.addAll(this.connections);
			}
			if (this.faults.take(FaultKind.COLD_AGAIN)) {
				goCold();
			}
			return true;
		}
		if (System.nanoTime() - this.downUntilNanos < 0) {
			reset(call);
			return true;
		}
		return silent(call);
	}

	static void reset(IncomingCall call) {
		call.begin(OK, Headers.empty());
		call.abort();
	}

	/**
	 * Begins an execution.
	 * @param call the request
	 * @param clientId what the caller named the request
	 * @param group the replica group, empty for plain services
	 * @param fence the fencing number in force
	 * @param complete whether all members of the group are heard
	 * @return the execution, whose incarnation has ended if the endpoint collapsed under
	 * it
	 */
	Execution begin(IncomingCall call, String clientId, String group, long fence, boolean complete) {
		Execution execution = new Execution(this.bootId, !warm());
		this.running.incrementAndGet();
		int concurrent = execution.cold() ? this.coldRunning.incrementAndGet() : this.running.get();
		record(LedgerEntry.RUN, call, clientId, execution.cold(), concurrent, group, fence, complete);
		if (execution.cold() && concurrent > this.settings.get(StandinSettings.COLD_CAPACITY)) {
			record(LedgerEntry.COLLAPSE, call, clientId, true, concurrent, group, fence, complete);
			collapse();
		}
		return execution;
	}

	boolean alive(Execution execution) {
		return this.bootId.equals(execution.bootId());
	}

	void end(Execution execution, boolean whole) {
		if (!alive(execution)) {
			return;
		}
		this.running.decrementAndGet();
		if (execution.cold()) {
			this.coldRunning.decrementAndGet();
		}
		if (whole) {
			this.served.incrementAndGet();
		}
	}

	void record(String kind, IncomingCall call, String clientId, boolean cold, int concurrent, String group, long fence,
			boolean complete) {
		LedgerEntry entry = new LedgerEntry(System.currentTimeMillis(), kind,
				call.headers().get("X-Request-Id").orElse(""), call.headers().get("Idempotency-Key").orElse(""),
				clientId, this.settings.get(StandinSettings.VM), this.settings.get(StandinSettings.ZONE), this.bootId,
				cold, concurrent, group, fence, complete, call.method() + " " + call.target());
		this.ledger.add(entry);
		System.out.println(LedgerEntry.LINE_PREFIX + new String(Codec.JSON.encode(entry), StandardCharsets.UTF_8));
	}

	private void collapse() {
		this.bootId = UUID.randomUUID().toString();
		this.bootNanos = System.nanoTime();
		this.downUntilNanos = this.bootNanos + TimeUnit.MILLISECONDS.toNanos(COLLAPSED_MILLIS);
		this.running.set(0);
		this.coldRunning.set(0);
		this.served.set(0);
	}

	/**
	 * A request in execution.
	 *
	 * @param bootId the incarnation that began it
	 * @param cold whether it began while the endpoint was cold
	 */
	record Execution(String bootId, boolean cold) {

	}

}
