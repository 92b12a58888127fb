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
 * Builds views of the fleet from replicated facts, decoding each value once.
 *
 * @author monsoonvalve maintainers
 */
final class FleetViewBuilder {

	private final FactDecoder decoder;

	private final DecisionLog log;

	private final Map<String, Decoded> decoded = new HashMap<>();

	FleetViewBuilder(FactDecoder decoder, DecisionLog log) {
		this.decoder = decoder;
		this.log = log;
	}

	FleetView build(FactReplica replica) {
		Set<String> zones = new HashSet<>();
		Map<String, EndpointRecord> endpoints = new HashMap<>();
		Map<String, Member> members = new HashMap<>();
		Map<String, FleetView.PlannedGroups> groups = new HashMap<>();
		Map<String, String> roles = new HashMap<>();
		ServingConfiguration configuration = null;
		long configurationRevision = 0;
		this.decoded.keySet()
			.retainAll(replica.entries().stream().map(PlatformStore.Entry::key).collect(Collectors.toSet()));
		for (PlatformStore.Entry entry : replica.entries()) {
			OwnKeys.LEASES.name(entry.key())
				.ifPresent((role) -> roles.put(role, new String(entry.value(), StandardCharsets.UTF_8)));
			Object fact = decode(entry);
			if (fact instanceof ServingConfiguration found) {
				configuration = found;
				configurationRevision = entry.revision();
			}
			else if (fact instanceof EvacuatedZone zone) {
				zones.add(zone.name());
			}
			else if (fact instanceof EndpointRecord endpoint) {
				endpoints.put(endpoint.id(), endpoint);
			}
			else if (fact instanceof Member member) {
				members.put(member.name(), member);
			}
			else if (fact instanceof ZoneGroups planned) {
				OwnKeys.GROUPS.name(entry.key())
					.ifPresent((zone) -> groups.put(zone, new FleetView.PlannedGroups(planned, entry.revision())));
			}
		}
		return new FleetView(replica.revision(), Optional.ofNullable(configuration), configurationRevision, zones,
				endpoints, members, groups, roles);
	}

	private Object decode(PlatformStore.Entry entry) {
		Decoded known = this.decoded.get(entry.key());
		if (known != null && known.revision() == entry.revision()) {
			return known.fact();
		}
		Object fact = decodeFresh(entry);
		this.decoded.put(entry.key(), new Decoded(entry.revision(), fact));
		return fact;
	}

	private Object decodeFresh(PlatformStore.Entry entry) {
		try {
			if (OwnKeys.MEMBERS.name(entry.key()).isPresent()) {
				return Codec.JSON.decode(entry.value(), Member.class);
			}
			if (OwnKeys.GROUPS.name(entry.key()).isPresent()) {
				return Codec.JSON.decode(entry.value(), ZoneGroups.class);
			}
		}
		catch (ServingException ex) {
			this.log.record(LogEvent.FACT_REFUSED, "key", entry.key(), "revision", entry.revision(), "reason",
					ex.getMessage());
			return null;
		}
		Object fact = this.decoder.endpoint(entry)
			.<Object>map((endpoint) -> endpoint)
			.or(() -> this.decoder.evacuatedZone(entry).map(EvacuatedZone::new))
			.or(() -> this.decoder.configuration(entry))
			.orElse(null);
		if (fact instanceof ServingConfiguration configuration) {
			this.log.record(LogEvent.CONFIGURATION_IN_FORCE, "version", configuration.version(), "revision",
					entry.revision());
		}
		else if (fact instanceof EvacuatedZone zone) {
			this.log.record(LogEvent.ZONE_EVACUATED, "zone", zone.name(), "revision", entry.revision());
		}
		else if (fact == null && OwnKeys.LEASES.name(entry.key()).isEmpty()) {
			this.log.record(LogEvent.FACT_REFUSED, "key", entry.key(), "revision", entry.revision(), "reason",
					"not a usable configuration or endpoint");
		}
		return fact;
	}

	private record Decoded(long revision, Object fact) {

	}

	private record EvacuatedZone(String name) {

	}

}
