package org.monsoonvalve.gateway.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

import org.monsoonvalve.admission.connection.RunningRequests;
import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.HttpConnection;
import org.monsoonvalve.gateway.version.EndpointRecord;

/**
 * One incarnation of an endpoint as seen by this process: its latest record, its pool of
 * idle connections, its estimated load and its failure state. Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
public final class Endpoint {

	/**
	 * Maximum number of idle connections; other processes also hold connections to the
	 * same endpoint.
	 */
	private static final int MAX_IDLE_CONNECTIONS = 16;

	/** An idle connection is no longer reused this long before the endpoint closes it. */
	private static final long KEEP_ALIVE_MARGIN_MILLIS = 1000;

	/** Lifetime of an idle connection whose endpoint sent no keep-alive timeout. */
	private static final long DEFAULT_KEEP_ALIVE_MILLIS = 3000;

	/** Initial time for which an endpoint is avoided after it failed a request. */
	private static final long INITIAL_SUSPICION_MILLIS = 1500;

	/**
	 * Upper limit of that time; before it has passed, a lost group is reported as broken,
	 * and its record is deleted.
	 */
	private static final long MAX_SUSPICION_MILLIS = 6000;

	/**
	 * Time for which a reported load is valid; after it, the requests of other processes
	 * may have ended.
	 */
	private static final long LOAD_REPORT_VALIDITY_MILLIS = 500;

	/**
	 * Time constant of the exponential decay of a load report; streams last about a
	 * second.
	 */
	private static final double LOAD_REPORT_DECAY_MILLIS = 1000;

	/** Maximum age of the load reports that are included in the average. */
	private static final long MAX_AVERAGED_REPORT_AGE_MILLIS = 3000;

	/** One second including both of its ends, as rate limits apply to any second. */
	private static final long RATE_WINDOW_MILLIS = 1001;

	/**
	 * Time for which an endpoint counts as cold beyond what its record names: one second,
	 * as the rate applies to any second.
	 */
	private static final long COLD_MARGIN_MILLIS = 1000;

	/** The time of a report that was not received yet; far from overflowing an age. */
	private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

	private final HttpClient client;

	private final Runnable onConnectionOpened;

	private final Deque<IdleConnection> idleConnections = new ArrayDeque<>();

	private final SlidingWindow sentRequests = SlidingWindow.of(RATE_WINDOW_MILLIS);

	private final RunningRequests runningRequests = new RunningRequests();

	private EndpointRecord record;

	private int ownRequests;

	private int reportedOtherRequests;

	private long lastReportMillis = NEVER_MILLIS;

	private long suspectUntilMillis;

	private long suspicionMillis;

	private long lastResponseDataMillis;

	private long busySinceMillis;

	private long coldUntilMillis = NEVER_MILLIS;

	private boolean removed;

	/**
	 * Creates an endpoint without connections.
	 * @param record the endpoint's record
	 * @param client opens connections
	 * @param onConnectionOpened runs whenever a connection is opened
	 */
	public Endpoint(EndpointRecord record, HttpClient client, Runnable onConnectionOpened) {
		this.record = record;
		this.client = client;
		this.onConnectionOpened = onConnectionOpened;
		noteColdTime(record);
	}

	private void noteColdTime(EndpointRecord newer) {
		if (newer.coldMillis() > 0) {
			this.coldUntilMillis = Math.max(this.coldUntilMillis,
					EventLoop.nowMillis() + newer.coldMillis() + COLD_MARGIN_MILLIS);
		}
	}

	/**
	 * Tells whether the endpoint is known to be in its cold start.
	 * @param nowMillis the current time of the event loop, in milliseconds
	 * @return {@code true} for the time that its record named, and a margin
	 */
	public boolean knownCold(long nowMillis) {
		return nowMillis < this.coldUntilMillis;
	}

	/**
	 * Returns the latest record.
	 * @return the record
	 */
	public EndpointRecord record() {
		return this.record;
	}

	/**
	 * Replaces the record by a newer one of the same incarnation.
	 * @param newer the newer record
	 */
	public void update(EndpointRecord newer) {
		if (!newer.position().equals(this.record.position())) {
			noteColdTime(newer);
		}
		this.record = newer;
	}

	/**
	 * Marks the endpoint as removed and closes its idle connections. Requests in progress
	 * continue.
	 */
	public void remove() {
		this.removed = true;
		closeIdle();
	}

	/**
	 * Reuses an idle connection or opens a new one.
	 * @param suitable tells whether an idle connection may be reused now; the others stay
	 * idle
	 * @return a connection without a request in progress
	 */
	public CompletableFuture<HttpConnection> connect(Predicate<HttpConnection> suitable) {
		long now = EventLoop.nowMillis();
		for (Iterator<IdleConnection> idle = this.idleConnections.iterator(); idle.hasNext();) {
			IdleConnection next = idle.next();
			if (now >= next.reusableUntilMillis() || !next.connection().reusable()) {
				idle.remove();
				next.connection().close();
			}
			else if (suitable.test(next.connection())) {
				idle.remove();
				return CompletableFuture.completedFuture(next.connection());
			}
		}
		return connectAnew();
	}

	/**
	 * Opens a new connection, which shows whether the endpoint still accepts any.
	 * @return the connection, which fails if the endpoint doesn't accept it
	 */
	public CompletableFuture<HttpConnection> connectAnew() {
		this.onConnectionOpened.run();
		return this.client.connect(this.record.address());
	}

	/**
	 * Tells whether the endpoint was expected to end.
	 * @return {@code true} if it is draining or its record was removed
	 */
	public boolean leaving() {
		return this.removed || this.record.draining();
	}

	/**
	 * Returns a connection to the pool after a complete response, or closes it if it
	 * can't be reused.
	 * @param connection the connection
	 */
	public void release(HttpConnection connection) {
		long reusableMillis = (connection.keepAliveMillis() > 0)
				? connection.keepAliveMillis() - KEEP_ALIVE_MARGIN_MILLIS : DEFAULT_KEEP_ALIVE_MILLIS;
		if (this.removed || !connection.reusable() || reusableMillis <= 0
				|| this.idleConnections.size() >= MAX_IDLE_CONNECTIONS) {
			connection.close();
			return;
		}
		this.idleConnections.addFirst(new IdleConnection(connection, EventLoop.nowMillis() + reusableMillis));
	}

	/**
	 * Closes all idle connections, for example after a request at the endpoint stalled.
	 */
	public void closeIdle() {
		this.idleConnections.forEach((next) -> next.connection().close());
		this.idleConnections.clear();
	}

	/**
	 * Records that a request is assigned to the endpoint and counts towards its load.
	 */
	public void requestStarted() {
		long now = EventLoop.nowMillis();
		if (this.ownRequests == 0) {
			this.busySinceMillis = now;
		}
		this.ownRequests++;
		this.sentRequests.add(now);
	}

	/**
	 * Counts the requests that this process sent to the endpoint in the last second.
	 * @param nowMillis the current time of the event loop, in milliseconds
	 * @return the number of requests
	 */
	public int sentInLastSecond(long nowMillis) {
		return this.sentRequests.count(nowMillis);
	}

	/**
	 * Records that a request at the endpoint has ended.
	 */
	public void requestEnded() {
		this.ownRequests--;
	}

	/**
	 * Returns the number of this process's requests at the endpoint.
	 * @return the number of requests
	 */
	public int ownRequests() {
		return this.ownRequests;
	}

	/**
	 * Returns the time since the endpoint last reported its load.
	 * @param nowMillis the current time of the event loop, in milliseconds
	 * @return the time in milliseconds, far longer than any validity before the first
	 * report
	 */
	public long reportAgeMillis(long nowMillis) {
		return nowMillis - this.lastReportMillis;
	}

	/**
	 * Records the load that the endpoint reported in a response.
	 * @param runningAndWaiting the requests running and queued at the endpoint, from all
	 * processes
	 */
	public void loadReported(int runningAndWaiting) {
		this.reportedOtherRequests = Math.max(0, runningAndWaiting - this.ownRequests);
		this.lastReportMillis = EventLoop.nowMillis();
	}

	/**
	 * Returns the number of requests that are known to be at the endpoint, from all
	 * processes, for the limits on requests per endpoint.
	 * @param nowMillis the current time of the event loop, in milliseconds
	 * @return the requests of this process and, while the last report is valid, of other
	 * processes
	 */
	public int load(long nowMillis) {
		return this.ownRequests
				+ ((nowMillis - this.lastReportMillis < LOAD_REPORT_VALIDITY_MILLIS) ? this.reportedOtherRequests : 0);
	}

	/**
	 * Estimates the number of requests at the endpoint, from all processes, for the
	 * limits on requests per endpoint. Before the first report other processes are
	 * assumed to have sent as many requests as this one: when an endpoint comes into
	 * service while the others are full, all processes turn to it at once. The assumption
	 * alone doesn't exclude an endpoint before this process's second request.
	 * @param processes the number of processes that send requests
	 * @param nowMillis the current time of the event loop, in milliseconds
	 * @return the estimated number of requests
	 */
	public int assumedLoad(int processes, long nowMillis) {
		if (this.lastReportMillis != NEVER_MILLIS) {
			return load(nowMillis);
		}
		return this.ownRequests * Math.max(1, Math.min(processes, this.record.slots()));
	}

	/**
	 * Returns the number of other processes' requests according to the last report.
	 * @param nowMillis the current time of the event loop, in milliseconds
	 * @return the number of requests, -1 if the report is too old
	 */
	public int reportedOtherRequests(long nowMillis) {
		return (nowMillis - this.lastReportMillis < MAX_AVERAGED_REPORT_AGE_MILLIS) ? this.reportedOtherRequests : -1;
	}

	/**
	 * Estimates the number of requests at the endpoint, from all processes, for the
	 * selection among endpoints. The reported value decays exponentially towards the
	 * average of all endpoints.
	 * @param meanOtherRequests the average number of other processes' requests at an
	 * endpoint
	 * @param nowMillis the current time of the event loop, in milliseconds
	 * @return the estimated number of requests
	 */
	public double expectedLoad(double meanOtherRequests, long nowMillis) {
		return this.ownRequests + expectedOtherRequests(meanOtherRequests, nowMillis);
	}

	/**
	 * Estimates the number of other processes' requests at the endpoint. The reported
	 * value decays exponentially towards the average of all endpoints.
	 * @param meanOtherRequests the average number of other processes' requests at an
	 * endpoint
	 * @param nowMillis the current time of the event loop, in milliseconds
	 * @return the estimated number of requests
	 */
	public double expectedOtherRequests(double meanOtherRequests, long nowMillis) {
		double weight = Math.exp(-(nowMillis - this.lastReportMillis) / LOAD_REPORT_DECAY_MILLIS);
		return meanOtherRequests + (this.reportedOtherRequests - meanOtherRequests) * weight;
	}

	/**
	 * Returns the requests of this process at the endpoint, for forecasts. Only those for
	 * batch-sensitive engines are added.
	 * @return the requests
	 */
	public RunningRequests runningRequests() {
		return this.runningRequests;
	}

	/**
	 * Marks the endpoint as suspect after a failure. The time for which it is avoided
	 * doubles with each failure, up to a limit, until the endpoint sends response data.
	 */
	public void suspect() {
		this.suspicionMillis = Math.min(MAX_SUSPICION_MILLIS,
				Math.max(INITIAL_SUSPICION_MILLIS, 2 * this.suspicionMillis));
		this.suspectUntilMillis = EventLoop.nowMillis() + this.suspicionMillis;
	}

	/**
	 * Returns whether the endpoint should be avoided.
	 * @param nowMillis the current time of the event loop, in milliseconds
	 * @return {@code true} while it is suspect
	 */
	public boolean suspected(long nowMillis) {
		return nowMillis < this.suspectUntilMillis;
	}

	/**
	 * Records that the endpoint has sent response data.
	 */
	public void responseDataReceived() {
		this.lastResponseDataMillis = EventLoop.nowMillis();
		this.suspicionMillis = 0;
	}

	/**
	 * Returns the time since the endpoint last sent data for any of its requests.
	 * @param nowMillis the current time of the event loop, in milliseconds
	 * @return the time in milliseconds, 0 if no request of this process is in progress
	 */
	public long silentMillis(long nowMillis) {
		return (this.ownRequests > 0) ? nowMillis - Math.max(this.lastResponseDataMillis, this.busySinceMillis) : 0;
	}

	private record IdleConnection(HttpConnection connection, long reusableUntilMillis) {

	}

}
