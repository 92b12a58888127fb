package org.monsoonvalve.gateway.process;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.ImmutableHashMap;
import org.monsoonvalve.gateway.version.Member;
import org.monsoonvalve.gateway.version.ServingConfiguration;
import org.monsoonvalve.gateway.version.ZoneGroups;

/**
 * Builds fleet views from the replica of the store. Only entries that changed since the
 * previous view are decoded, and a view shares with the previous one each collection that
 * did not change.
 *
 * @author monsoonvalve maintainers
 */
final class FleetViewBuilder {

	private final EntryDecoder decoder;

	private final DecisionLog log;

	private final Map<String, Object> decodedByKey = new HashMap<>();

	private final SnapshotMap<EndpointRecord> endpoints = new SnapshotMap<>();

	private final SnapshotMap<Member> members = new SnapshotMap<>();

	private final SnapshotMap<FleetView.PlannedGroups> groups = new SnapshotMap<>();

	private final SnapshotMap<String> roleHolders = new SnapshotMap<>();

	private final Set<String> evacuatedZones = new HashSet<>();

	private Optional<ServingConfiguration> configuration = Optional.empty();

	private StorePosition configurationPosition = StorePosition.NONE;

	private long keptConfigurations;

	FleetViewBuilder(EntryDecoder decoder, DecisionLog log) {
		this.decoder = decoder;
		this.log = log;
	}

	/**
	 * Builds the view of the replica's current content.
	 * @param replica the replica, always the same one
	 * @return the view
	 */
	FleetView build(StoreReplica replica) {
		replica.takeChangedKeys().forEach((key) -> update(key, replica.entry(key), replica.storedPosition(key)));
		return new FleetView(replica.position(), this.configuration, this.configurationPosition, this.evacuatedZones,
				this.endpoints.snapshot(), this.members.snapshot(), this.groups.snapshot(),
				this.roleHolders.snapshot());
	}

	/**
	 * Returns how often a configuration stayed in force against an older one.
	 * @return the number of older configurations
	 */
	long keptConfigurations() {
		return this.keptConfigurations;
	}

	private void update(String key, Optional<PlatformStore.Entry> entry, StorePosition stored) {
		remove(key, this.decodedByKey.remove(key));
		entry.ifPresent((current) -> {
			Object decoded = decode(current);
			if (decoded != null) {
				this.decodedByKey.put(key, decoded);
				add(current, decoded, stored);
			}
		});
	}

	private void remove(String key, Object decoded) {
		// The last usable configuration stays in force until another one replaces it.
		if (decoded instanceof EvacuatedZone zone) {
			this.evacuatedZones.remove(zone.name());
		}
		else if (decoded instanceof EndpointRecord endpoint) {
			this.endpoints.remove(endpoint.id());
		}
		else if (decoded instanceof Member member) {
			this.members.remove(member.name());
		}
		else if (decoded instanceof ZoneGroups) {
			StoreKeys.GROUPS.nameOf(key).ifPresent(this.groups::remove);
		}
		else if (decoded instanceof RoleHolder holder) {
			this.roleHolders.remove(holder.role());
		}
	}

	private void add(PlatformStore.Entry entry, Object decoded, StorePosition stored) {
		if (decoded instanceof ServingConfiguration found) {
			put(found, entry.position());
		}
		else if (decoded instanceof EvacuatedZone zone) {
			this.evacuatedZones.add(zone.name());
			this.log.record(LogEvent.ZONE_EVACUATED, "zone", zone.name(), "position", entry.position());
		}
		else if (decoded instanceof EndpointRecord endpoint) {
			this.endpoints.put(endpoint.id(), endpoint);
		}
		else if (decoded instanceof Member member) {
			this.members.put(member.name(), member);
		}
		else if (decoded instanceof ZoneGroups planned) {
			StoreKeys.GROUPS.nameOf(entry.key())
				.ifPresent((zone) -> this.groups.put(zone,
						stored.equals(entry.position()) ? new FleetView.PlannedGroups(planned, stored)
								: FleetView.PlannedGroups.lost(planned, stored)));
		}
		else if (decoded instanceof RoleHolder holder) {
			this.roleHolders.put(holder.role(), holder.name());
		}
	}

	// Operators number configurations upwards, so a lower version is an older one, at
	// whatever position the store holds it.
	private void put(ServingConfiguration found, StorePosition position) {
		Optional<ServingConfiguration> newer = this.configuration
			.filter((current) -> current.version() > found.version());
		if (newer.isPresent()) {
			this.keptConfigurations++;
			this.log.record(LogEvent.CONFIGURATION_KEPT, "version", newer.get().version(), "position",
					this.configurationPosition, "older_version", found.version(), "older_position", position);
			return;
		}
		this.configuration = Optional.of(found);
		this.configurationPosition = position;
		this.log.record(LogEvent.CONFIGURATION_IN_FORCE, "version", found.version(), "position", position);
	}

	// Returns null for a value that can't be used, whatever is wrong with it: other
	// clients may write arbitrary bytes, and the remaining entries must stay in use.
	private Object decode(PlatformStore.Entry entry) {
		String reason = "not a usable configuration or endpoint";
		try {
			Optional<Object> decoded = decodeByKey(entry);
			if (decoded.isPresent()) {
				return decoded.get();
			}
		}
		catch (RuntimeException ex) {
			reason = ServingException.from(ex).getMessage();
		}
		this.log.record(LogEvent.FACT_REFUSED, "key", entry.key(), "position", entry.position(), "reason", reason);
		return null;
	}

	private Optional<Object> decodeByKey(PlatformStore.Entry entry) {
		if (StoreKeys.MEMBERS.nameOf(entry.key()).isPresent()) {
			return Optional.of(Codec.JSON.decode(entry.value(), Member.class).registeredAt(entry.position()));
		}
		if (StoreKeys.GROUPS.nameOf(entry.key()).isPresent()) {
			return Optional.of(Codec.JSON.decode(entry.value(), ZoneGroups.class));
		}
		return StoreKeys.LEASES.nameOf(entry.key())
			.<Object>map((role) -> new RoleHolder(role, new String(entry.value(), StandardCharsets.UTF_8)))
			.or(() -> this.decoder.endpoint(entry))
			.or(() -> this.decoder.evacuatedZone(entry).map(EvacuatedZone::new))
			.or(() -> this.decoder.configuration(entry));
	}

	private record EvacuatedZone(String name) {

	}

	private record RoleHolder(String role, String name) {

	}

	/**
	 * A map that is copied for a snapshot only after a change.
	 *
	 * @param <V> the type of the values
	 */
	private static final class SnapshotMap<V> {

		private final Map<String, V> entries = new HashMap<>();

		private Map<String, V> snapshot = ImmutableHashMap.copyOf(Map.of());

		private boolean changed;

		private void put(String key, V value) {
			this.entries.put(key, value);
			this.changed = true;
		}

		private void remove(String key) {
			this.entries.remove(key);
			this.changed = true;
		}

		private Map<String, V> snapshot() {
			if (this.changed) {
				this.snapshot = ImmutableHashMap.copyOf(this.entries);
				this.changed = false;
			}
			return this.snapshot;
		}

	}

}
