package org.monsoonvalve.gateway.process;

import java.util.Optional;
import java.util.OptionalLong;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.ServingException;

/**
 * Decides which records stay in effect when the platform's store comes back from an older
 * copy.
 *
 * @author monsoonvalve maintainers
 */
final class RecordRetention {

	private final EntryDecoder decoder;

	private final DecisionLog log;

	RecordRetention(EntryDecoder decoder, DecisionLog log) {
		this.decoder = decoder;
		this.log = log;
	}

	/**
	 * Decides whether a record stays in effect against what the restored store has.
	 * @param held the record in effect
	 * @param found the record that the restored store has, empty if it lacks the key
	 * @return the time for which it stays, in milliseconds, empty if it doesn't
	 */
	OptionalLong retainMillis(PlatformStore.Entry held, Optional<PlatformStore.Entry> found) {
		RecordKind kind = kindOf(held);
		if (found.isEmpty()) {
			return positive(kind.missingMillis());
		}
		return isOlder(kind, found.get(), held) ? positive(kind.olderMillis()) : OptionalLong.empty();
	}

	/**
	 * Decides whether a record that was removed stays without effect although the
	 * restored store has it.
	 * @param last the record before its removal
	 * @param found the record that the restored store has
	 * @return the time for which it has no effect, in milliseconds, empty if it has one
	 */
	OptionalLong withholdMillis(PlatformStore.Entry last, PlatformStore.Entry found) {
		RecordKind kind = kindOf(last);
		return isOlder(kind, last, found) ? OptionalLong.empty() : positive(kind.withheldMillis());
	}

	/**
	 * Decides whether a write in the present era ends the effect of a retained record.
	 * @param held the retained record
	 * @param written the record that was written, empty if the key was removed
	 * @return {@code true} if the written one takes effect
	 */
	boolean releases(PlatformStore.Entry held, Optional<PlatformStore.Entry> written) {
		RecordKind kind = kindOf(held);
		return kind.releasedByAnyWrite() || written.filter((entry) -> !isOlder(kind, entry, held)).isPresent();
	}

	/**
	 * Decides whether a record that a peer retained takes effect here.
	 * @param retained the peer's record
	 * @param held the record in effect here, empty if there is none
	 * @return {@code true} if there is none, or an older one
	 */
	boolean takesEffect(PlatformStore.Entry retained, Optional<PlatformStore.Entry> held) {
		RecordKind kind = kindOf(retained);
		return isTold(retained) && held.filter((current) -> !isOlder(kind, current, retained)).isEmpty();
	}

	/**
	 * Tells whether peers are told of a retained record.
	 * @param retained the record
	 * @return {@code true} for records that stay until others replace them
	 */
	boolean isTold(PlatformStore.Entry retained) {
		return kindOf(retained).missingMillis() == Long.MAX_VALUE;
	}

	private RecordKind kindOf(PlatformStore.Entry entry) {
		try {
			return RecordKind.of(entry, this.decoder);
		}
		catch (RuntimeException ex) {
			return unreadable(entry, ex, RecordKind.OTHER);
		}
	}

	private boolean isOlder(RecordKind kind, PlatformStore.Entry found, PlatformStore.Entry held) {
		try {
			return kind.isOlder(found, held, this.decoder);
		}
		catch (RuntimeException ex) {
			return unreadable(found, ex, true);
		}
	}

	// Other clients may write arbitrary bytes.
	private <T> T unreadable(PlatformStore.Entry entry, RuntimeException ex, T substitute) {
		this.log.record(LogEvent.FACT_REFUSED, "key", entry.key(), "position", entry.position(), "reason",
				ServingException.from(ex).getMessage());
		return substitute;
	}

	private static OptionalLong positive(long millis) {
		return (millis > 0) ? OptionalLong.of(millis) : OptionalLong.empty();
	}

}
