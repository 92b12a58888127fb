package org.monsoonvalve.entry.connection;

import java.util.concurrent.atomic.AtomicReference;

import org.monsoonvalve.core.process.ElapsedClock;

/**
 * How long this entry has had reserved cold-start slots. The time begins only when the
 * change that reserved them is in force everywhere, so that the issuer no longer counts
 * the reserved slot as its own.
 *
 * @author monsoonvalve maintainers
 */
public final class ReserveTerm {

	private static final long IN_FORCE_MILLIS = 6000;

	private final ElapsedClock clock;

	private final AtomicReference<ElapsedClock.Reading> since = new AtomicReference<>();

	private ReserveTerm(ElapsedClock clock) {
		this.clock = clock;
	}

	/**
	 * Creates the term of an entry without reserved slots.
	 * @param clock measures the term
	 * @return the term
	 */
	public static ReserveTerm of(ElapsedClock clock) {
		return new ReserveTerm(clock);
	}

	/**
	 * Notes whether the configuration in force reserves slots for this entry.
	 * @param reserved whether it does
	 */
	public void update(boolean reserved) {
		if (reserved) {
			this.since.compareAndSet(null, this.clock.now());
		}
		else {
			this.since.set(null);
		}
	}

	/**
	 * Returns the term as it stands.
	 * @return the term
	 */
	public SlotIssuer.Term term() {
		ElapsedClock.Reading start = this.since.get();
		long heldMillis = (start != null) ? Math.max(0, this.clock.elapsedMillis(start) - IN_FORCE_MILLIS) : 0;
		return new SlotIssuer.Term(heldMillis, false);
	}

}
