package org.monsoonvalve.gateway.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;

import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.HttpConnection;
import org.monsoonvalve.gateway.version.EndpointRecord;

/**
 * One incarnation of an endpoint as this process knows it: its latest record, its idle
 * connections and what its answers have shown. Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
public final class Endpoint {

	/** Idle connections kept; more than one process has requests at one endpoint. */
	private static final int MAX_IDLE = 16;

	/** Use of an idle connection ends this long before the endpoint closes it. */
	private static final long IDLE_MARGIN_MILLIS = 1000;

	/** Life of an idle connection whose endpoint promised nothing. */
	private static final long DEFAULT_IDLE_MILLIS = 3000;

	/** First time for which an endpoint that failed a request is avoided. */
	private static final long FIRST_SUSPICION_MILLIS = 1500;

	/** Longest such time; a lost group is broken, and its record gone, before that. */
	private static final long LONGEST_SUSPICION_MILLIS = 6000;

	/** Life of a reported load: after it, other callers' requests may have ended. */
	private static final long LOAD_LIFE_MILLIS = 500;

	/** Time in which a report fades; streams last about a second. */
	private static final double REPORT_FADE_MILLIS = 1000;

	/** Age of reports that still count for the average. */
	private static final long REPORT_LIFE_MILLIS = 3000;

	/** A second and both its ends, as bounds on rates hold for any second. */
	private static final long RATE_WINDOW_MILLIS = 1001;

	private final HttpClient client;

	private final Runnable onOpen;

	private final Deque<Idle> idle = new ArrayDeque<>();

	private final SlidingWindow sends = SlidingWindow.of(RATE_WINDOW_MILLIS);

	private EndpointRecord record;

	private int outstanding;

	private int othersAtReport;

	private long reportMillis = Long.MIN_VALUE / 2;

	private long suspectUntilMillis;

	private long suspicionMillis;

	private long progressMillis;

	private long busySinceMillis;

	private boolean gone;

	/**
	 * Creates an endpoint without connections.
	 * @param record the endpoint's record
	 * @param client opens connections
	 * @param onOpen is told of each connection opened
	 */
	public Endpoint(EndpointRecord record, HttpClient client, Runnable onOpen) {
		this.record = record;
		this.client = client;
		this.onOpen = onOpen;
	}

	/**
	 * Returns the latest record.
	 * @return the record
	 */
	public EndpointRecord record() {
		return this.record;
	}

	/**
	 * Takes a newer record of the same incarnation.
	 * @param newer the record
	 */
	public void update(EndpointRecord newer) {
		this.record = newer;
	}

	/**
	 * Ends the use of the endpoint; requests in progress go on.
	 */
	public void remove() {
		this.gone = true;
		closeIdle();
	}

	/**
	 * Takes an idle connection or opens one.
	 * @return a connection on which nothing is in progress
	 */
	public CompletableFuture<HttpConnection> connect() {
		long now = EventLoop.nowMillis();
		for (Idle next = this.idle.pollFirst(); next != null; next = this.idle.pollFirst()) {
			if (now < next.untilMillis() && next.connection().reusable()) {
				return CompletableFuture.completedFuture(next.connection());
			}
			next.connection().close();
		}
		this.onOpen.run();
		return this.client.connect(this.record.address());
	}

	/**
	 * Keeps a connection whose answer was whole.
	 * @param connection the connection
	 */
	public void release(HttpConnection connection) {
		long lifeMillis = (connection.keepAliveMillis() > 0) ? connection.keepAliveMillis() - IDLE_MARGIN_MILLIS
				: DEFAULT_IDLE_MILLIS;
		if (this.gone || !connection.reusable() || lifeMillis <= 0 || this.idle.size() >= MAX_IDLE) {
			connection.close();
			return;
		}
		this.idle.addFirst(new Idle(connection, EventLoop.nowMillis() + lifeMillis));
	}

	/**
	 * Closes all idle connections, as after one of them went silent.
	 */
	public void closeIdle() {
		this.idle.forEach((next) -> next.connection().close());
		this.idle.clear();
	}

	/**
	 * Counts a request that is sent to the endpoint.
	 */
	public void requestStarted() {
		long now = EventLoop.nowMillis();
		if (this.outstanding == 0) {
			this.busySinceMillis = now;
		}
		this.outstanding++;
		this.sends.add(now);
	}

	/**
	 * Counts the requests that this process sent in the last second.
	 * @param nowMillis the present time of the event loop, in milliseconds
	 * @return the requests
	 */
	public int sentInLastSecond(long nowMillis) {
		return this.sends.count(nowMillis);
	}

	/**
	 * Counts a request that has ended at the endpoint.
	 */
	public void requestEnded() {
		this.outstanding--;
	}

	/**
	 * Takes the load that an answer reported.
	 * @param runningAndWaiting requests at the endpoint, of all callers
	 */
	public void loadReported(int runningAndWaiting) {
		this.othersAtReport = Math.max(0, runningAndWaiting - this.outstanding);
		this.reportMillis = EventLoop.nowMillis();
	}

	/**
	 * Estimates the requests at the endpoint, of all callers.
	 * @param nowMillis the present time of the event loop, in milliseconds
	 * @return the requests of this process and, while the last report is fresh, of others
	 */
	public int load(long nowMillis) {
		return this.outstanding + ((nowMillis - this.reportMillis < LOAD_LIFE_MILLIS) ? this.othersAtReport : 0);
	}

	/**
	 * Returns the requests of other callers that the last report showed.
	 * @param nowMillis the present time of the event loop, in milliseconds
	 * @return the requests, -1 if the report is too old to tell anything
	 */
	int reportedOthers(long nowMillis) {
		return (nowMillis - this.reportMillis < REPORT_LIFE_MILLIS) ? this.othersAtReport : -1;
	}

	/**
	 * Estimates the requests at the endpoint, of all callers, for a choice among
	 * endpoints. What a report showed fades into what endpoints have on average.
	 * @param meanOthers the other callers' requests at an endpoint on average
	 * @param nowMillis the present time of the event loop, in milliseconds
	 * @return the requests expected
	 */
	double expectedLoad(double meanOthers, long nowMillis) {
		double weight = Math.exp(-(nowMillis - this.reportMillis) / REPORT_FADE_MILLIS);
		return this.outstanding + meanOthers + (this.othersAtReport - meanOthers) * weight;
	}

	/**
	 * Avoids the endpoint for some time, longer each time until it answers something.
	 */
	public void suspect() {
		this.suspicionMillis = Math.min(LONGEST_SUSPICION_MILLIS,
				Math.max(FIRST_SUSPICION_MILLIS, 2 * this.suspicionMillis));
		this.suspectUntilMillis = EventLoop.nowMillis() + this.suspicionMillis;
	}

	/**
	 * Tells whether the endpoint is to be avoided.
	 * @param nowMillis the present time of the event loop, in milliseconds
	 * @return {@code true} while it is suspect
	 */
	public boolean suspected(long nowMillis) {
		return nowMillis < this.suspectUntilMillis;
	}

	/**
	 * Notes that the endpoint has answered something.
	 */
	public void responseDataReceived() {
		this.progressMillis = EventLoop.nowMillis();
		this.suspicionMillis = 0;
	}

	/**
	 * Tells for how long the endpoint has answered none of the requests at it.
	 * @param nowMillis the present time of the event loop, in milliseconds
	 * @return the silence in milliseconds, 0 if no request is at it
	 */
	public long silentMillis(long nowMillis) {
		return (this.outstanding > 0) ? nowMillis - Math.max(this.progressMillis, this.busySinceMillis) : 0;
	}

	private record Idle(HttpConnection connection, long untilMillis) {

	}

}
