package org.monsoonvalve.gateway.process;

import java.util.Optional;
import java.util.OptionalLong;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.ServingConfiguration;
import org.monsoonvalve.gateway.version.ZoneGroups;

/**
 * The kinds of records in the platform's store, each with what becomes of a record after
 * the store was restored from an older copy.
 *
 * @author monsoonvalve maintainers
 */
enum RecordKind {

	/**
	 * The configuration, ordered by its version: it is kept until one that is not older
	 * is stored.
	 */
	CONFIGURATION(Long.MAX_VALUE, Long.MAX_VALUE, 0) {

		@Override
		OptionalLong version(PlatformStore.Entry entry, EntryDecoder decoder) {
			Optional<ServingConfiguration> configuration = decoder.configuration(entry);
			return configuration.isPresent() ? OptionalLong.of(configuration.get().version()) : OptionalLong.empty();
		}

	},

	/** The groups of a zone, ordered by their version: a planner stores them again. */
	PLAN(Long.MAX_VALUE, Long.MAX_VALUE, 0) {

		@Override
		OptionalLong version(PlatformStore.Entry entry, EntryDecoder decoder) {
			return OptionalLong.of(Codec.JSON.decode(entry.value(), ZoneGroups.class).version());
		}

	},

	/**
	 * The registration of a process, which registers again. It is kept for the lifetime
	 * of a registration, as a process that the store refuses still runs.
	 */
	MEMBER(ProcessRegistration.LEASE_TTL_SECONDS * 1000, 0, ProcessRegistration.LEASE_TTL_SECONDS * 1000),

	/** The holder of a role, which has lost it with its lease. */
	ROLE(0, 0, 0),

	/** A zone that operators have taken out of service. */
	EVACUATION(RecordKind.REWRITE_MILLIS, 0, RecordKind.REWRITE_MILLIS),

	/** An endpoint, ordered by its incarnation and the number of the record in it. */
	ENDPOINT(RecordKind.REWRITE_MILLIS, RecordKind.EXPIRY_MILLIS, RecordKind.EXPIRY_MILLIS) {

		@Override
		OptionalLong version(PlatformStore.Entry entry, EntryDecoder decoder) {
			return decoder.endpointSequence(entry);
		}

		@Override
		boolean isOlder(PlatformStore.Entry found, PlatformStore.Entry held, EntryDecoder decoder) {
			long foundBorn = decoder.endpoint(found).map(EndpointRecord::bornMillis).orElse(0L);
			long heldBorn = decoder.endpoint(held).map(EndpointRecord::bornMillis).orElse(0L);
			return foundBorn < heldBorn || (foundBorn == heldBorn && super.isOlder(found, held, decoder));
		}

	},

	/** A record that this system doesn't use. */
	OTHER(0, 0, 0);

	/**
	 * Time within which those who wrote lost records write them again; about two seconds
	 * from the return of the store.
	 */
	private static final long REWRITE_MILLIS = 2500;

	/**
	 * Time after which the store has removed the restored record of an endpoint that is
	 * gone: three heartbeats, and a margin.
	 */
	private static final long EXPIRY_MILLIS = 5000;

	private final long missingMillis;

	private final long olderMillis;

	private final long withheldMillis;

	RecordKind(long missingMillis, long olderMillis, long withheldMillis) {
		this.missingMillis = missingMillis;
		this.olderMillis = olderMillis;
		this.withheldMillis = withheldMillis;
	}

	/**
	 * Returns the kind of a record.
	 * @param entry the record
	 * @param decoder decodes the records of operators and endpoints
	 * @return the kind
	 */
	static RecordKind of(PlatformStore.Entry entry, EntryDecoder decoder) {
		if (StoreKeys.MEMBERS.nameOf(entry.key()).isPresent()) {
			return MEMBER;
		}
		if (StoreKeys.GROUPS.nameOf(entry.key()).isPresent()) {
			return PLAN;
		}
		if (StoreKeys.LEASES.nameOf(entry.key()).isPresent()) {
			return ROLE;
		}
		if (decoder.endpoint(entry).isPresent()) {
			return ENDPOINT;
		}
		if (decoder.evacuatedZone(entry).isPresent()) {
			return EVACUATION;
		}
		return decoder.configuration(entry).isPresent() ? CONFIGURATION : OTHER;
	}

	/**
	 * Returns the time for which a record stays in effect that the restored store lacks.
	 * @return the time in milliseconds
	 */
	long missingMillis() {
		return this.missingMillis;
	}

	/**
	 * Returns the time for which a record stays in effect of which the restored store has
	 * an older form.
	 * @return the time in milliseconds
	 */
	long olderMillis() {
		return this.olderMillis;
	}

	/**
	 * Returns the time for which a record that had been removed stays without effect
	 * although the restored store has it again.
	 * @return the time in milliseconds
	 */
	long withheldMillis() {
		return this.withheldMillis;
	}

	/**
	 * Tells whether any write of the key in the new era ends the effect of a record of an
	 * earlier one, whatever their versions are.
	 * @return {@code false} if only a version that is not older does
	 */
	boolean releasedByAnyWrite() {
		return this != CONFIGURATION;
	}

	/**
	 * Returns the version that its writer gave a record.
	 * @param entry the record
	 * @param decoder decodes the records of operators and endpoints
	 * @return the version, empty if the record has none
	 */
	OptionalLong version(PlatformStore.Entry entry, EntryDecoder decoder) {
		return OptionalLong.empty();
	}

	/**
	 * Tells whether a record is an older form of another one.
	 * @param found the record
	 * @param held the other one, of the same key
	 * @param decoder decodes the records of operators and endpoints
	 * @return {@code true} if its version is lower or can't be read; records without
	 * versions have the same age
	 */
	boolean isOlder(PlatformStore.Entry found, PlatformStore.Entry held, EntryDecoder decoder) {
		OptionalLong heldVersion = version(held, decoder);
		OptionalLong foundVersion = version(found, decoder);
		return heldVersion.isPresent()
				&& (foundVersion.isEmpty() || foundVersion.getAsLong() < heldVersion.getAsLong());
	}

}
