package org.monsoonvalve.gateway.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.gateway.version.ClientLimits;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.ServingConfiguration;

/**
 * Decodes short texts: {@code c} and a version under {@code config}, {@code e} and an
 * optional sequence under {@code endpoints/}, and zones under {@code evacuated/}.
 */
final class TextDecoder implements EntryDecoder {

	private static final String ENDPOINTS = "endpoints/";

	private static final String EVACUATED = "evacuated/";

	private final List<String> decodedKeys = new ArrayList<>();

	// The keys for which an endpoint was asked.
	List<String> decodedKeys() {
		return this.decodedKeys;
	}

	private static String text(PlatformStore.Entry entry) {
		return new String(entry.value(), StandardCharsets.UTF_8);
	}

	@Override
	public Optional<ServingConfiguration> configuration(PlatformStore.Entry entry) {
		return Optional.of(text(entry))
			.filter((text) -> entry.key().equals("config") && text.startsWith("c"))
			.map((text) -> ServingConfiguration.of(Long.parseLong(text.substring(1)), List.of(), List.of(),
					java.util.Map.of(), false, new ClientLimits(1, 1, 1, 1)));
	}

	@Override
	public Optional<String> evacuatedZone(PlatformStore.Entry entry) {
		return Optional.of(entry.key())
			.filter((key) -> key.startsWith(EVACUATED))
			.map((key) -> key.substring(EVACUATED.length()));
	}

	@Override
	public Optional<EndpointRecord> endpoint(PlatformStore.Entry entry) {
		this.decodedKeys.add(entry.key());
		if (text(entry).equals("throw")) {
			throw new IllegalStateException("unexpected value");
		}
		return Optional.of(entry)
			.filter((candidate) -> candidate.key().startsWith(ENDPOINTS) && text(candidate).startsWith("e"))
			.map((candidate) -> new EndpointRecord(candidate.key().substring(ENDPOINTS.length()), "s",
					new Address("127.0.0.1", 1), "kano-a", 6, false, 0, 1, "", List.of(), List.of(), Optional.empty(),
					candidate.position()));
	}

	@Override
	public OptionalLong endpointSequence(PlatformStore.Entry entry) {
		String sequence = text(entry).substring(1);
		return sequence.isEmpty() ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(sequence));
	}

}
