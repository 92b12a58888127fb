package org.monsoonvalve.gateway.process;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.LongSupplier;

import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.Member;

/**
 * The request rates that endpoints accept from all processes together, and this process's
 * share of them. A limit is divided among a few processes only, those of the endpoint's
 * zone first, so that each of them may send about one request a second. All processes
 * choose the same ones by rendezvous hashing; the others send the endpoint nothing. What
 * one process learns of a limit is told to the others. Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
public final class EndpointLimits {

	/** Processes that share a limit, in addition to one for each request a second. */
	private static final int EXTRA_SHARES = 2;

	/**
	 * Lowest rate that is used, so that an answer shows when a limit of 0 has ended.
	 */
	private static final double MIN_PER_SECOND = 0.1;

	/**
	 * Most requests that a process may send after a pause; with all shares together this
	 * stays within the requests that operators allow beyond a limit.
	 */
	private static final double MAX_TOKENS = 1.5;

	/** Time after which a limit that no answer confirms is forgotten. */
	static final long LIFETIME_MILLIS = 30_000;

	/** Limits in memory, several for each endpoint of the largest fleet. */
	static final int MAX_LIMITS = 4096;

	/** Time after which a limit that is still named is told to peers again. */
	private static final long REFRESH_MILLIS = 5000;

	private static final double MILLIS_PER_SECOND = 1000;

	private final String self;

	private final LongSupplier clock;

	private final Listener listener;

	private final Map<String, Limit> limits = new HashMap<>();

	private final Set<String> news = new LinkedHashSet<>();

	private List<Member> members = List.of();

	/**
	 * Creates limits without any.
	 * @param self the name of this process
	 * @param clock returns the time in milliseconds
	 * @param listener is notified of changes
	 */
	public EndpointLimits(String self, LongSupplier clock, Listener listener) {
		this.self = self;
		this.clock = clock;
		this.listener = listener;
	}

	/**
	 * Replaces the processes that share the limits.
	 * @param newMembers the registered processes
	 */
	void update(Collection<Member> newMembers) {
		this.members = List.copyOf(newMembers);
		this.limits.values().forEach((limit) -> limit.share = shareOf(limit));
	}

	/**
	 * Records what an answer of an endpoint says of its limit.
	 * @param endpoint the endpoint
	 * @param perSecond the requests per second that it accepts, empty without a limit
	 */
	public void named(EndpointRecord endpoint, OptionalDouble perSecond) {
		Limit known = this.limits.get(endpoint.id());
		boolean same = known != null && known.bornMillis == endpoint.bornMillis();
		if (perSecond.isEmpty() && (!same || known.perSecond.isEmpty())) {
			return;
		}
		long now = this.clock.getAsLong();
		boolean changed = !same || !known.perSecond.equals(perSecond);
		if (changed || now - known.namedMillis > REFRESH_MILLIS) {
			put(new Limit(endpoint.id(), endpoint.bornMillis(), endpoint.zone(), perSecond, now));
			this.listener.news();
		}
		if (changed) {
			this.listener.changed(endpoint.id(), perSecond);
		}
	}

	private void put(Limit limit) {
		Limit known = this.limits.get(limit.endpoint);
		limit.share = shareOf(limit);
		if (known != null) {
			limit.tokens = known.tokens;
			limit.refilledMillis = known.refilledMillis;
		}
		if (known != null || this.limits.size() < MAX_LIMITS) {
			this.limits.put(limit.endpoint, limit);
			this.news.add(limit.endpoint);
		}
	}

	private double shareOf(Limit limit) {
		double perSecond = Math.max(MIN_PER_SECOND, limit.perSecond.orElse(0));
		int shares = (int) Math.min(this.members.size(), Math.floor(perSecond) + EXTRA_SHARES);
		boolean sharing = this.members.stream()
			.sorted(Comparator.comparing((Member member) -> !member.zone().equals(limit.zone))
				.thenComparingInt((member) -> rank(member, limit)))
			.limit(shares)
			.anyMatch((member) -> member.name().equals(this.self));
		return sharing ? perSecond / shares : 0;
	}

	private static int rank(Member member, Limit limit) {
		int hash = 31 * member.name().hashCode() + limit.endpoint.hashCode();
		hash *= 0x9E3779B1;
		return hash ^ (hash >>> 15);
	}

	/**
	 * Tells whether this process may send an endpoint one more request.
	 * @param endpoint the endpoint
	 * @return {@code false} if that would exceed its share of the endpoint's limit
	 */
	public boolean mayTake(EndpointRecord endpoint) {
		if (this.limits.isEmpty()) {
			return true;
		}
		Limit limit = this.limits.get(endpoint.id());
		return limit == null || limit.perSecond.isEmpty() || limit.bornMillis != endpoint.bornMillis()
				|| limit.tokensAt(this.clock.getAsLong()) >= 1;
	}

	/**
	 * Records that a request is sent to an endpoint.
	 * @param endpoint the endpoint
	 */
	public void taken(EndpointRecord endpoint) {
		Limit limit = this.limits.get(endpoint.id());
		if (limit != null && limit.perSecond.isPresent()) {
			limit.tokens = Math.max(0, limit.tokensAt(this.clock.getAsLong()) - 1);
		}
	}

	/**
	 * Forgets limits that no answer has confirmed lately.
	 */
	void discardOld() {
		long now = this.clock.getAsLong();
		this.limits.values().removeIf((limit) -> now - limit.namedMillis > LIFETIME_MILLIS);
	}

	/**
	 * Returns the limits that peers have not been told, and forgets which ones.
	 * @return the limits, empty if there are none
	 */
	PeerFrame.LimitNews takeNews() {
		PeerFrame.LimitNews taken = newsOf(this.news);
		this.news.clear();
		return taken;
	}

	/**
	 * Returns all limits.
	 * @return the limits, also those that ended lately
	 */
	PeerFrame.LimitNews all() {
		discardOld();
		return newsOf(this.limits.keySet());
	}

	private PeerFrame.LimitNews newsOf(Collection<String> endpoints) {
		long now = this.clock.getAsLong();
		return new PeerFrame.LimitNews(endpoints.stream()
			.map(this.limits::get)
			.filter((limit) -> limit != null)
			.map((limit) -> new PeerFrame.EndpointLimit(limit.endpoint, limit.bornMillis, limit.zone,
					limit.perSecond.orElse(PeerFrame.EndpointLimit.NONE), now - limit.namedMillis))
			.toList());
	}

	/**
	 * Merges limits that a peer knows. What is new here is news for other peers as well.
	 * @param received the limits
	 */
	void merge(PeerFrame.LimitNews received) {
		long now = this.clock.getAsLong();
		received.limits().stream().filter((limit) -> limit.namedMillisAgo() <= LIFETIME_MILLIS).forEach((limit) -> {
			Limit known = this.limits.get(limit.endpoint());
			OptionalDouble perSecond = (limit.perSecond() != PeerFrame.EndpointLimit.NONE)
					? OptionalDouble.of(limit.perSecond()) : OptionalDouble.empty();
			Limit newer = new Limit(limit.endpoint(), limit.bornMillis(), limit.zone(), perSecond,
					now - limit.namedMillisAgo());
			if (known == null || newer.supersedes(known)) {
				put(newer);
			}
		});
		if (!this.news.isEmpty()) {
			this.listener.news();
		}
	}

	/**
	 * Returns the number of limits in memory.
	 * @return the number of endpoints with a limit, or that had one lately
	 */
	public int size() {
		return this.limits.size();
	}

	/**
	 * Receives changes of the limits.
	 */
	public interface Listener {

		/**
		 * A limit is new to peers.
		 */
		void news();

		/**
		 * An answer to this process named another limit than before.
		 * @param endpoint the endpoint's identifier
		 * @param perSecond the requests per second, empty without a limit
		 */
		void changed(String endpoint, OptionalDouble perSecond);

	}

	/**
	 * The limit of one incarnation of an endpoint, and this process's tokens for it.
	 */
	private static final class Limit {

		private final String endpoint;

		private final long bornMillis;

		private final String zone;

		private final OptionalDouble perSecond;

		private final long namedMillis;

		private double share;

		private double tokens = 1;

		private long refilledMillis;

		private Limit(String endpoint, long bornMillis, String zone, OptionalDouble perSecond, long namedMillis) {
			this.endpoint = endpoint;
			this.bornMillis = bornMillis;
			this.zone = zone;
			this.perSecond = perSecond;
			this.namedMillis = namedMillis;
			this.refilledMillis = namedMillis;
		}

		// A process without a share keeps no token for the time when it gets one.
		private double tokensAt(long nowMillis) {
			if (this.share == 0) {
				return 0;
			}
			double refill = this.share * Math.max(0, nowMillis - this.refilledMillis) / MILLIS_PER_SECOND;
			this.tokens = Math.min(MAX_TOKENS, this.tokens + refill);
			this.refilledMillis = nowMillis;
			return this.tokens;
		}

		// The time of a peer's report is late by the latency of its hops, so only changes
		// and much newer reports are taken.
		private boolean supersedes(Limit known) {
			if (this.bornMillis != known.bornMillis) {
				return this.bornMillis > known.bornMillis;
			}
			long newerMillis = this.namedMillis - known.namedMillis;
			return this.perSecond.equals(known.perSecond) ? newerMillis > REFRESH_MILLIS / 2
					: newerMillis > CrashEvidence.AGE_TOLERANCE_MILLIS;
		}

	}

}
