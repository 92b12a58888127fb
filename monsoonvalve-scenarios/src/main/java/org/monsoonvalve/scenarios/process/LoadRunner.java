package org.monsoonvalve.scenarios.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.UUID;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.process.Sleep;
import org.monsoonvalve.scenarios.request.CallKind;
import org.monsoonvalve.scenarios.request.Caller;
import org.monsoonvalve.scenarios.request.Observation;
import org.monsoonvalve.scenarios.version.Step;

/**
 * Sends the requests of a scenario's loads through the entries that a balancer would
 * choose.
 *
 * @author monsoonvalve maintainers
 */
final class LoadRunner implements AutoCloseable {

	private static final long BALANCER_POLL_MILLIS = 200;

	private static final long READINESS_TIMEOUT_MILLIS = 500;

	private static final int OK = 200;

	private static final int MAX_TOKENS_DEFAULT = 10;

	private final Cluster cluster;

	private final Caller caller = new Caller();

	private final ExecutorService senders = Executors.newCachedThreadPool();

	private final Queue<Observation> observations = new ConcurrentLinkedQueue<>();

	private final List<Future<?>> loads = new ArrayList<>();

	private final AtomicReference<List<ManagedProcess>> ready = new AtomicReference<>(List.of());

	private volatile boolean closed;

	LoadRunner(Cluster cluster) {
		this.cluster = cluster;
		this.ready.set(cluster.entries());
		this.senders.submit(this::balance);
	}

	List<Observation> observations() {
		return List.copyOf(this.observations);
	}

	void start(Step.Load load) {
		this.loads.add(this.senders.submit(() -> run(load)));
	}

	void finish() {
		for (Future<?> load : this.loads) {
			join(load);
		}
		this.loads.clear();
	}

	void sameKey(Step.SameKey step) {
		String key = UUID.randomUUID().toString();
		List<Future<?>> sent = new ArrayList<>();
		for (String entry : step.entries()) {
			Future<?> one = this.senders.submit(() -> send(
					new Caller.Call(step.name(), CallKind.BOOKING, this.cluster.process(entry).address().toString(),
							Cluster.SERVICE_POOL, Cluster.WORKSPACE_KEY, key, 0, false)));
			if (!step.together()) {
				join(one);
			}
			sent.add(one);
		}
		sent.forEach(LoadRunner::join);
	}

	private void run(Step.Load load) {
		long periodNanos = (long) (TimeUnit.SECONDS.toNanos(1) / load.perSecond());
		long count = (long) (load.perSecond() * load.seconds());
		long startNanos = System.nanoTime();
		List<Future<?>> sent = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			long dueNanos = startNanos + i * periodNanos;
			Sleep.millis(Math.max(0, TimeUnit.NANOSECONDS.toMillis(dueNanos - System.nanoTime())));
			String entry = entryFor(load, i);
			sent.add(this.senders.submit(() -> send(call(load, entry))));
		}
		sent.forEach(LoadRunner::join);
	}

	private String entryFor(Step.Load load, int index) {
		if (load.entries() != null) {
			return this.cluster.process(load.entries().get(index % load.entries().size())).address().toString();
		}
		List<ManagedProcess> choices = this.ready.get();
		List<ManagedProcess> any = choices.isEmpty() ? this.cluster.entries() : choices;
		return any.get(index % any.size()).address().toString();
	}

	private static Caller.Call call(Step.Load load, String entry) {
		boolean chat = load.kind() == CallKind.CHAT;
		String key = load.keyed() ? UUID.randomUUID().toString() : "";
		return new Caller.Call(load.name(), load.kind(), entry, chat ? Cluster.MODEL_POOL : Cluster.SERVICE_POOL,
				load.greedy() ? Cluster.GREEDY_KEY : Cluster.WORKSPACE_KEY, key,
				(load.tokens() > 0) ? load.tokens() : MAX_TOKENS_DEFAULT, load.stream());
	}

	private void send(Caller.Call call) {
		this.observations.add(this.caller.send(call));
	}

	private void balance() {
		while (!this.closed) {
			this.ready.set(this.cluster.entries().stream().filter(this::isReady).toList());
			Sleep.millis(BALANCER_POLL_MILLIS);
		}
	}

	private boolean isReady(ManagedProcess entry) {
		try {
			return entry.running()
					&& this.cluster.call(entry.address(), HttpRequest.get("/readyz"), READINESS_TIMEOUT_MILLIS)
						.status() == OK;
		}
		catch (RuntimeException ex) {
			return false;
		}
	}

	private static void join(Future<?> task) {
		try {
			task.get();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (java.util.concurrent.ExecutionException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.senders.shutdownNow();
	}

}
