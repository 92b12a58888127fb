package org.monsoonvalve.scenarios.request;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.HttpConnection;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.connection.ResponseListener;
import org.monsoonvalve.core.process.Sleep;
import org.monsoonvalve.core.request.ServingException;

/**
 * Asks for streams at a steady rate, whatever becomes of them. Times are counted from
 * when a request was due, so a slow start is not left out.
 *
 * @author monsoonvalve maintainers
 */
public final class StreamLoad {

	private static final long HIGHEST_MICROS = TimeUnit.MINUTES.toMicros(2);

	private static final int DIGITS = 3;

	private static final long SILENCE_MILLIS = 30_000;

	private final HttpClient client;

	private final List<Address> targets;

	private final String workspaceKey;

	private final String model;

	private final ConcurrentLinkedDeque<HttpConnection> idle = new ConcurrentLinkedDeque<>();

	private final Histogram firstTokenMicros = new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);

	private final Histogram gapMicros = new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);

	private final LongAdder tokens = new LongAdder();

	private final LongAdder failed = new LongAdder();

	private StreamLoad(HttpClient client, List<Address> targets, String workspaceKey, String model) {
		this.client = client;
		this.targets = List.copyOf(targets);
		this.workspaceKey = workspaceKey;
		this.model = model;
	}

	/**
	 * Creates a load.
	 * @param client opens connections
	 * @param targets the entries or engines, used in turn
	 * @param workspaceKey the workspace's key
	 * @param model the model
	 * @return the load
	 */
	public static StreamLoad of(HttpClient client, List<Address> targets, String workspaceKey, String model) {
		return new StreamLoad(client, targets, workspaceKey, model);
	}

	/**
	 * Sends requests and waits until all have ended.
	 * @param perSecond how many a second
	 * @param seconds for how long
	 * @param tokensEach how many tokens each asks for
	 * @return the figures
	 */
	public Figures run(double perSecond, double seconds, int tokensEach) {
		int count = (int) (perSecond * seconds);
		CountDownLatch left = new CountDownLatch(count);
		long startNanos = System.nanoTime();
		for (int i = 0; i < count; i++) {
			long dueNanos = startNanos + (long) (i * TimeUnit.SECONDS.toNanos(1) / perSecond);
			Sleep.untilNanos(dueNanos);
			send(this.targets.get(i % this.targets.size()), i, tokensEach, dueNanos, left);
		}
		try {
			left.await(2, TimeUnit.MINUTES);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return new Figures(count, this.failed.sum(), this.tokens.sum(), this.firstTokenMicros, this.gapMicros);
	}

	private void send(Address target, int number, int tokensEach, long dueNanos, CountDownLatch left) {
		String body = "{\"model\":\"" + this.model + "\",\"stream\":true,\"max_tokens\":" + tokensEach
				+ ",\"messages\":[{\"role\":\"user\",\"content\":\"question " + number % 50 + "\"}]}";
		HttpRequest call = new HttpRequest("POST", "/v1/chat/completions",
				Headers.of("Content-Type", "application/json").with("Authorization", "Bearer " + this.workspaceKey),
				body.getBytes(StandardCharsets.UTF_8));
		HttpConnection pooled = pooled(target);
		if (pooled != null) {
			pooled.send(call, SILENCE_MILLIS, new Stream(pooled, dueNanos, left));
			return;
		}
		this.client.connect(target).whenComplete((connection, failure) -> {
			if (failure != null) {
				this.failed.increment();
				left.countDown();
				return;
			}
			connection.send(call, SILENCE_MILLIS, new Stream(connection, dueNanos, left));
		});
	}

	private HttpConnection pooled(Address target) {
		for (HttpConnection connection : this.idle) {
			if (connection.address().equals(target) && this.idle.remove(connection) && connection.idle()) {
				return connection;
			}
		}
		return null;
	}

	/**
	 * The figures of a load.
	 *
	 * @param requests how many requests were sent
	 * @param failed how many got no whole answer
	 * @param tokens how many tokens arrived
	 * @param firstTokenMicros the time to the first token, in microseconds
	 * @param gapMicros the time between tokens, in microseconds
	 */
	public record Figures(int requests, long failed, long tokens, Histogram firstTokenMicros, Histogram gapMicros) {

	}

	private final class Stream implements ResponseListener {

		private final HttpConnection connection;

		private final CountDownLatch left;

		private final long dueNanos;

		private long lastNanos;

		private boolean done;

		private Stream(HttpConnection connection, long dueNanos, CountDownLatch left) {
			this.connection = connection;
			this.dueNanos = dueNanos;
			this.left = left;
		}

		@Override
		public void onHeaders(int status, Headers headers) {
			// The content tells whether the answer is whole.
		}

		@Override
		public void onBody(byte[] chunk) {
			long now = System.nanoTime();
			String text = new String(chunk, StandardCharsets.UTF_8);
			int events = text.split("data: ", -1).length - 1;
			this.done = this.done || text.contains("[DONE]");
			if (this.lastNanos == 0) {
				record(StreamLoad.this.firstTokenMicros, now - this.dueNanos);
			}
			else {
				record(StreamLoad.this.gapMicros, now - this.lastNanos);
			}
			this.lastNanos = now;
			StreamLoad.this.tokens.add(events);
		}

		@Override
		public void onComplete() {
			if (!this.done) {
				StreamLoad.this.failed.increment();
			}
			StreamLoad.this.idle.addFirst(this.connection);
			this.left.countDown();
		}

		@Override
		public void onFailure(ServingException failure) {
			StreamLoad.this.failed.increment();
			this.left.countDown();
		}

		private void record(Histogram histogram, long nanos) {
			histogram.recordValue(Math.min(HIGHEST_MICROS, Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos))));
		}

	}

}
