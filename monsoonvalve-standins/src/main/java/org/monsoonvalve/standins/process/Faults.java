package org.monsoonvalve.standins.process;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;

import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Faults that a test commands over HTTP with {@code POST /faults}.
 *
 * @author monsoonvalve maintainers
 */
public final class Faults {

	private static final int NO_CONTENT = 204;

	private final ConcurrentMap<FaultKind, AtomicLong> values = new ConcurrentHashMap<>();

	private Faults() {
	}

	/**
	 * Creates a set without faults.
	 * @return the set
	 */
	public static Faults none() {
		return new Faults();
	}

	/**
	 * Takes a command: a JSON object of fault names and numbers.
	 * @param call the command
	 */
	public void command(IncomingCall call) {
		Codec.JSON.tree(call.body())
			.properties()
			.forEach((field) -> set(FaultKind.of(field.getKey()), field.getValue().asLong()));
		call.reply(NO_CONTENT, org.monsoonvalve.core.connection.Headers.empty(), new byte[0]);
	}

	/**
	 * Reads a fault.
	 * @param kind the fault
	 * @return its number, 0 if it is off
	 */
	public long get(FaultKind kind) {
		return value(kind).get();
	}

	/**
	 * Uses a fault up by one.
	 * @param kind the fault
	 * @return {@code true} if its number was above 0
	 */
	public boolean take(FaultKind kind) {
		return value(kind).getAndUpdate((count) -> Math.max(0, count - 1)) > 0;
	}

	/**
	 * Sets a fault.
	 * @param kind the fault
	 * @param number its number, 0 to switch it off
	 */
	public void set(FaultKind kind, long number) {
		value(kind).set(number);
	}

	private AtomicLong value(FaultKind kind) {
		return this.values.computeIfAbsent(kind, (absent) -> new AtomicLong());
	}

	/**
	 * Kinds of faults.
	 */
	public enum FaultKind {

		/** The platform answers nobody while this is above 0. */
		OUTAGE,

		/** The platform waits this many milliseconds before it answers. */
		SLOW_MILLIS,

		/** The platform loses the answers of this many writes after they took effect. */
		LOSE_ANSWERS,

		/** The platform's reads answer from before this many writes. */
		STALE_READS,

		/** All leases end now. */
		LAPSE_LEASES,

		/** The VM list shows changes after this many milliseconds. */
		VM_LIST_LAG_MILLIS,

		/** Connections that are open now swallow everything. */
		SILENCE,

		/** This many streams break in mid-token. */
		BREAK_STREAMS,

		/** This many requests are reset before they run. */
		RESET_BEFORE,

		/** This many requests are reset after they ran. */
		RESET_AFTER,

		/** This many answers break off in their middle. */
		TRUNCATE,

		/** Requests take this many milliseconds more. */
		DELAY_MILLIS,

		/** The endpoint says that it is leaving while this is above 0. */
		LEAVING,

		/** The endpoint goes cold without restarting. */
		COLD_AGAIN,

		/** The engine hears none of its group while this is above 0. */
		CUT_FROM_GROUP;

		/**
		 * Finds a kind by its name.
		 * @param name the name in lower case with hyphens
		 * @return the kind
		 */
		public static FaultKind of(String name) {
			try {
				return valueOf(name.toUpperCase(java.util.Locale.ROOT).replace('-', '_'));
			}
			catch (IllegalArgumentException ex) {
				throw new ServingException(FailureCode.INVALID_REQUEST, "no fault '" + name + "'", ex);
			}
		}

	}

}
