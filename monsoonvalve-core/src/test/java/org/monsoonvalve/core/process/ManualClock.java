package org.monsoonvalve.core.process;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock whose time changes only when a test advances it.
 *
 * @author monsoonvalve maintainers
 */
public final class ManualClock extends Clock {

	private final AtomicLong millis = new AtomicLong(1_700_000_000_000L);

	/**
	 * Advances the clock.
	 * @param byMillis the duration in milliseconds, negative to set the clock back
	 */
	public void advance(long byMillis) {
		this.millis.addAndGet(byMillis);
	}

	@Override
	public ZoneId getZone() {
		return ZoneOffset.UTC;
	}

	@Override
	public Clock withZone(ZoneId zone) {
		return this;
	}

	@Override
	public Instant instant() {
		return Instant.ofEpochMilli(this.millis.get());
	}

}
