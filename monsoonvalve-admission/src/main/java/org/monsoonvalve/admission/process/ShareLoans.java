package org.monsoonvalve.admission.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * Borrows requests of other processes' shares before this process's own shares are used
 * up, as callers are spread unevenly, and lends requests that this process doesn't need.
 * Nothing waits for an answer: requests use what was granted by then. Not thread-safe.
 *
 * @author monsoonvalve maintainers
 */
public final class ShareLoans {

	/** Time after a question in which an answer counts; later ones mean no. */
	static final long ANSWER_MILLIS = 50;

	/**
	 * Interval between two questions of a process. A grant is valid as long, so one
	 * follows the other at a process that always needs more than its share.
	 */
	static final long QUESTION_INTERVAL_MILLIS = EndpointShare.LOAN_MILLIS;

	/**
	 * Time for which a process that hasn't answered isn't asked again. A process of a
	 * build that doesn't know the question closes the connection, which others use, too.
	 */
	static final long UNANSWERED_MILLIS = 30_000;

	/**
	 * Processes of each zone that this one asks; a connection to each of them remains
	 * open.
	 */
	static final int MAX_LENDERS = 8;

	/** Part of the shares that must be free, else requests are borrowed. */
	private static final int FREE_PART = 4;

	/** Requests per question of a process that has no shares yet. */
	private static final int MIN_REQUESTS = 2;

	/** Requests per question; a zone's processes share what one of them can spare. */
	static final int MAX_REQUESTS = 8;

	/** Endpoints per question, above the heads of a model in a zone. */
	static final int MAX_ENDPOINTS = 16;

	/**
	 * Part of its free requests that a process keeps for its own callers; one that has
	 * sent nothing lately may lend the odd one, so that shares of one can be lent.
	 */
	private static final int KEPT_PART = 2;

	/**
	 * Questions of which one may go to another zone although this zone has endpoints.
	 */
	private static final int QUESTIONS_PER_OTHER_ZONE = 3;

	private final EndpointShares shares;

	private final RandomGenerator random;

	private final Consumer<LoanQuestion> asker;

	private final Map<String, Long> avoidedUntilMillis = new HashMap<>();

	private LoanQuestion unanswered;

	private long nextQuestionMillis = Long.MIN_VALUE;

	private int questions;

	/**
	 * Creates loans without any.
	 * @param shares this process's shares
	 * @param random chooses among lenders
	 * @param asker sends questions to other processes
	 */
	public ShareLoans(EndpointShares shares, RandomGenerator random, Consumer<LoanQuestion> asker) {
		this.shares = shares;
		this.random = random;
		this.asker = asker;
	}

	/**
	 * Returns this process's shares.
	 * @return the shares
	 */
	public EndpointShares shares() {
		return this.shares;
	}

	/**
	 * Tells whether this process may ask now, so that it examines its shares only then.
	 * @param nowMillis the current time, in milliseconds
	 * @return {@code true} if the last question is long enough ago
	 */
	public boolean mayAsk(long nowMillis) {
		return nowMillis >= this.nextQuestionMillis;
	}

	/**
	 * Asks another process if this process's shares of some endpoints are nearly used up.
	 * @param service the service of the endpoints
	 * @param candidates the shares of the endpoints that serve the same requests
	 * @param boundPerSecond the requests that each endpoint may receive in any second
	 * @param nowMillis the current time, in milliseconds
	 */
	public void seek(String service, List<EndpointShare> candidates, double boundPerSecond, long nowMillis) {
		int held = 0;
		int free = 0;
		for (EndpointShare share : candidates) {
			held += share.share(boundPerSecond, nowMillis);
			free += share.free(boundPerSecond, nowMillis);
		}
		if (!candidates.isEmpty() && mayAsk(nowMillis) && free <= Math.max(1, held / FREE_PART)) {
			ask(service, candidates, Math.min(MAX_REQUESTS, MIN_REQUESTS + held / FREE_PART), nowMillis);
		}
	}

	private void ask(String service, List<EndpointShare> candidates, int requests, long nowMillis) {
		if (this.unanswered != null) {
			this.avoidedUntilMillis.put(this.unanswered.lender(), nowMillis + UNANSWERED_MILLIS);
			this.unanswered = null;
		}
		this.avoidedUntilMillis.values().removeIf((untilMillis) -> untilMillis <= nowMillis);
		this.nextQuestionMillis = nowMillis + QUESTION_INTERVAL_MILLIS;
		String zone = lendingZone(candidates);
		List<SharingProcess> lenders = this.shares.others()
			.filter((member) -> member.zone().equals(zone) && !this.avoidedUntilMillis.containsKey(member.name()))
			.limit(MAX_LENDERS)
			.toList();
		if (lenders.isEmpty()) {
			return;
		}
		List<SharedEndpoint> endpoints = candidates.stream()
			.map(EndpointShare::endpoint)
			.filter((endpoint) -> endpoint.zone().equals(zone))
			.limit(MAX_ENDPOINTS)
			.toList();
		String lender = lenders.get(this.random.nextInt(lenders.size())).name();
		this.unanswered = new LoanQuestion(lender, service, endpoints, requests, nowMillis);
		this.asker.accept(this.unanswered);
	}

	// The processes of an endpoint's zone hold most of its shares.
	private String lendingZone(List<EndpointShare> candidates) {
		String any = candidates.get(this.random.nextInt(candidates.size())).endpoint().zone();
		return (++this.questions % QUESTIONS_PER_OTHER_ZONE == 0) ? any
				: this.shares.zone()
					.filter((own) -> candidates.stream().anyMatch((share) -> share.endpoint().zone().equals(own)))
					.orElse(any);
	}

	/**
	 * Takes the answer to a question.
	 * @param question the question
	 * @param granted the requests granted at each of its endpoints, in order
	 * @param nowMillis the current time, in milliseconds
	 * @return the number of requests granted in time
	 */
	public int answered(LoanQuestion question, List<Integer> granted, long nowMillis) {
		if (question.equals(this.unanswered)) {
			this.unanswered = null;
		}
		if (nowMillis - question.askedMillis() > ANSWER_MILLIS) {
			return 0;
		}
		int endpoints = Math.min(granted.size(), question.endpoints().size());
		return IntStream.range(0, endpoints).map((i) -> {
			int requests = Math.max(0, Math.min(granted.get(i), question.requests()));
			this.shares.of(question.endpoints().get(i))
				.granted(requests, question.askedMillis() + EndpointShare.LOAN_MILLIS);
			return requests;
		}).sum();
	}

	/**
	 * Lends requests to another process, about half of those that this process may send
	 * now at most.
	 * @param endpoints the endpoints
	 * @param requests the number of requests wanted at all of them together
	 * @param boundPerSecond the requests that each endpoint may receive in any second
	 * @param nowMillis the current time, in milliseconds
	 * @return the requests lent at each endpoint, in order
	 */
	public List<Integer> lend(List<SharedEndpoint> endpoints, int requests, double boundPerSecond, long nowMillis) {
		List<EndpointShare> asked = endpoints.stream().distinct().limit(MAX_ENDPOINTS).map(this.shares::of).toList();
		int[] lent = new int[asked.size()];
		int free = asked.stream().mapToInt((share) -> share.own(boundPerSecond, nowMillis)).sum();
		boolean idle = asked.stream().allMatch((share) -> share.used(nowMillis) == 0);
		int budget = Math.min(Math.min(requests, MAX_REQUESTS), (idle ? free + 1 : free) / KEPT_PART);
		int first = this.random.nextInt(Math.max(1, lent.length));
		// No share exceeds the number of rounds.
		for (int i = 0; i < ShareDivision.MAX_SHARE * lent.length && budget > 0; i++) {
			int next = (first + i) % lent.length;
			if (asked.get(next).own(boundPerSecond, nowMillis) > 0) {
				asked.get(next).lent(nowMillis);
				lent[next]++;
				budget--;
			}
		}
		return IntStream.of(lent).boxed().toList();
	}

}
