package org.monsoonvalve.gateway.process;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.gateway.request.PromptPart;

/**
 * The end of an endpoint while responses had not begun.
 *
 * @author monsoonvalve maintainers
 */
final class EndpointCrash {

	/** Parts that are reported for one crash; all of them are callers' input. */
	static final int MAX_SUSPECTS_PER_CRASH = 64;

	private final String endpoint;

	private final String address;

	private final String service;

	private final long endedMillis;

	private final Map<PromptPart, Long> suspects = new LinkedHashMap<>();

	private boolean confirmed;

	EndpointCrash(String endpoint, String address, String service, long endedMillis) {
		this.endpoint = endpoint;
		this.address = address;
		this.service = service;
		this.endedMillis = endedMillis;
	}

	String endpoint() {
		return this.endpoint;
	}

	String address() {
		return this.address;
	}

	long endedMillis() {
		return this.endedMillis;
	}

	// A response was lost; whether the endpoint has crashed may not be known yet.
	boolean confirmed() {
		return this.confirmed;
	}

	void confirm() {
		this.confirmed = true;
	}

	// The parts of prompts whose responses had not begun.
	Set<PromptPart> parts() {
		return this.suspects.keySet();
	}

	Stream<ServicePart> suspects() {
		return this.suspects.keySet().stream().map((part) -> new ServicePart(this.service, part));
	}

	boolean addSuspect(PromptPart part, long sentMillis) {
		if (this.suspects.size() >= MAX_SUSPECTS_PER_CRASH && !this.suspects.containsKey(part)) {
			return false;
		}
		Long known = this.suspects.get(part);
		long sent = Math.min(sentMillis, this.endedMillis);
		this.suspects.put(part, (known != null) ? Math.max(known, sent) : sent);
		return known == null;
	}

	long sentMillis(PromptPart part) {
		return this.suspects.get(part);
	}

	boolean involves(ServicePart part) {
		return this.service.equals(part.service()) && this.suspects.containsKey(part.part());
	}

	PeerFrame.Crash report(long nowMillis) {
		return new PeerFrame.Crash(this.endpoint, this.address, this.service, nowMillis - this.endedMillis,
				this.suspects.entrySet()
					.stream()
					.map((entry) -> new PeerFrame.CrashSuspect(entry.getKey().id(),
							this.endedMillis - entry.getValue()))
					.toList());
	}

}
