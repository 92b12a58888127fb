package org.monsoonvalve.gateway.process;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.FleetView;
import org.monsoonvalve.gateway.version.Member;
import org.monsoonvalve.gateway.version.ServingConfiguration;
import org.monsoonvalve.gateway.version.ZoneGroups;

/**
 * Builds fleet views from the replica of the store, decoding each revision of a value
 * once.
 *
 * @author monsoonvalve maintainers
 */
final class FleetViewBuilder {

	private final EntryDecoder decoder;

	private final DecisionLog log;

	private final Map<String, DecodedEntry> cache = new HashMap<>();

	FleetViewBuilder(EntryDecoder decoder, DecisionLog log) {
		this.decoder = decoder;
		this.log = log;
	}

	FleetView build(StoreReplica replica) {
		Set<String> evacuatedZones = new HashSet<>();
		Map<String, EndpointRecord> endpoints = new HashMap<>();
		Map<String, Member> members = new HashMap<>();
		Map<String, FleetView.PlannedGroups> groups = new HashMap<>();
		Map<String, String> roles = new HashMap<>();
		ServingConfiguration configuration = null;
		long configurationRevision = 0;
		this.cache.keySet()
			.retainAll(replica.entries().stream().map(PlatformStore.Entry::key).collect(Collectors.toSet()));
		for (PlatformStore.Entry entry : replica.entries()) {
			StoreKeys.LEASES.nameOf(entry.key())
				.ifPresent((role) -> roles.put(role, new String(entry.value(), StandardCharsets.UTF_8)));
			Object value = decode(entry);
			if (value instanceof ServingConfiguration found) {
				configuration = found;
				configurationRevision = entry.revision();
			}
			else if (value instanceof EvacuatedZone zone) {
				evacuatedZones.add(zone.name());
			}
			else if (value instanceof EndpointRecord endpoint) {
				endpoints.put(endpoint.id(), endpoint);
			}
			else if (value instanceof Member member) {
				members.put(member.name(), member);
			}
			else if (value instanceof ZoneGroups planned) {
				StoreKeys.GROUPS.nameOf(entry.key())
					.ifPresent((zone) -> groups.put(zone, new FleetView.PlannedGroups(planned, entry.revision())));
			}
		}
		return new FleetView(replica.revision(), Optional.ofNullable(configuration), configurationRevision,
				evacuatedZones, endpoints, members, groups, roles);
	}

	private Object decode(PlatformStore.Entry entry) {
		DecodedEntry cached = this.cache.get(entry.key());
		if (cached != null && cached.revision() == entry.revision()) {
			return cached.value();
		}
		Object value = decodeUncached(entry);
		this.cache.put(entry.key(), new DecodedEntry(entry.revision(), value));
		return value;
	}

	private Object decodeUncached(PlatformStore.Entry entry) {
		try {
			if (StoreKeys.MEMBERS.nameOf(entry.key()).isPresent()) {
				return Codec.JSON.decode(entry.value(), Member.class);
			}
			if (StoreKeys.GROUPS.nameOf(entry.key()).isPresent()) {
				return Codec.JSON.decode(entry.value(), ZoneGroups.class);
			}
		}
		catch (ServingException ex) {
			this.log.record(LogEvent.FACT_REFUSED, "key", entry.key(), "revision", entry.revision(), "reason",
					ex.getMessage());
			return null;
		}
		Object value = this.decoder.endpoint(entry)
			.<Object>map((endpoint) -> endpoint)
			.or(() -> this.decoder.evacuatedZone(entry).map(EvacuatedZone::new))
			.or(() -> this.decoder.configuration(entry))
			.orElse(null);
		if (value instanceof ServingConfiguration configuration) {
			this.log.record(LogEvent.CONFIGURATION_IN_FORCE, "version", configuration.version(), "revision",
					entry.revision());
		}
		else if (value instanceof EvacuatedZone zone) {
			this.log.record(LogEvent.ZONE_EVACUATED, "zone", zone.name(), "revision", entry.revision());
		}
		else if (value == null && StoreKeys.LEASES.nameOf(entry.key()).isEmpty()) {
			this.log.record(LogEvent.FACT_REFUSED, "key", entry.key(), "revision", entry.revision(), "reason",
					"not a usable configuration or endpoint");
		}
		return value;
	}

	private record DecodedEntry(long revision, Object value) {

	}

	private record EvacuatedZone(String name) {

	}

}
