package org.monsoonvalve.entry.process;

import java.lang.management.ManagementFactory;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.monsoonvalve.core.connection.HttpLimits;
import org.monsoonvalve.core.connection.HttpServer;
import org.monsoonvalve.core.process.EventLog;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.process.Logs;
import org.monsoonvalve.core.process.Mechanism;
import org.monsoonvalve.core.process.Node;
import org.monsoonvalve.core.process.Settings;
import org.monsoonvalve.core.process.Sleep;
import org.monsoonvalve.entry.connection.Endpoints;
import org.monsoonvalve.entry.connection.Slots;
import org.monsoonvalve.entry.request.Preparer;
import org.monsoonvalve.entry.request.RequestEnvironment;

/**
 * Starts and ends an entry.
 *
 * @author monsoonvalve maintainers
 */
public final class EntryMain {

	private static final long REFRESH_MILLIS = 200;

	private static final long DRAIN_POLL_MILLIS = 50;

	private static final long STOP_GRACE_MILLIS = 1000;

	private final EventLog log = EventLog.of(EntryMain.class);

	private final EntrySettings settings;

	private final Node node;

	private final Slots slots;

	private final EntryServer server;

	private final HttpServer frontend;

	private final CountDownLatch stopped = new CountDownLatch(1);

	private EntryMain(EntrySettings settings) {
		this.settings = settings;
		this.node = Node.start(settings.node(), "entry");
		this.slots = Slots.start(this.node);
		MetricRegistry metrics = new MetricRegistry();
		Endpoints endpoints = Endpoints.of(this.node.http(), this.node.clock());
		Preparer preparer = Preparer.of(this.node, endpoints, this.slots);
		RequestEnvironment environment = RequestEnvironment.of(this.node, endpoints, preparer,
				SloRecorder.of(this.node.clock(), metrics), settings.limits());
		this.server = EntryServer.of(this.node, environment, AdminApi.of(this.node, settings.adminKey()), metrics);
		registerGauges(metrics);
		this.node.every("refresh", REFRESH_MILLIS, environment::refresh);
		this.frontend = HttpServer.start(settings.node().httpListen(), HttpLimits.defaults(), this.server::handle);
	}

	/**
	 * Runs an entry until it is told to end.
	 * @param arguments the command line
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		Settings parsed = Settings.parseOrExit("monsoonvalve-entry",
				"Takes callers' requests and routes them to replica groups and plain services.", EntrySettings.all(),
				arguments);
		EntrySettings settings = EntrySettings.of(parsed);
		Logs.configure(settings.node().logFormat());
		EntryMain entry = new EntryMain(settings);
		Runtime.getRuntime().addShutdownHook(new Thread(entry::shutDown, "shutdown"));
		Mechanism.off().forEach((mechanism) -> entry.log.emit(LogEvent.MECHANISM_OFF, mechanism));
		entry.log.emit(LogEvent.STARTED, "entry", settings.node().id(), settings.node().httpListen(),
				settings.node().peerListen());
		entry.stopped.await();
	}

	private void registerGauges(MetricRegistry metrics) {
		metrics.register("requests.in-progress", (Gauge<Integer>) this.server::inProgress);
		metrics.register("peers.bytes-out", (Gauge<Long>) () -> this.node.exchange().transport().traffic().bytesOut());
		metrics.register("peers.bytes-in", (Gauge<Long>) () -> this.node.exchange().transport().traffic().bytesIn());
		metrics.register("peers.frames-out", (Gauge<Long>) () -> this.node.exchange().transport().framesOut());
		metrics.register("http-client.bytes-out", (Gauge<Long>) () -> this.node.http().traffic().bytesOut());
		metrics.register("http-client.bytes-in", (Gauge<Long>) () -> this.node.http().traffic().bytesIn());
		metrics.register("platform.reads", (Gauge<Long>) () -> this.node.reader().readCount());
		metrics.register("process.cpu-nanos", (Gauge<Long>) EntryMain::cpuNanos);
		metrics.register("process.heap-bytes",
				(Gauge<Long>) () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
	}

	private static long cpuNanos() {
		return (ManagementFactory.getOperatingSystemMXBean() instanceof com.sun.management.OperatingSystemMXBean system)
				? system.getProcessCpuTime() : 0;
	}

	private void shutDown() {
		if (Mechanism.GRACEFUL_SHUTDOWN.on()) {
			this.log.emit(LogEvent.DRAINING, this.settings.lingerMillis());
			this.server.drain();
			this.frontend.drain();
			this.node.leave();
			Sleep.millis(this.settings.lingerMillis());
			awaitRequests();
		}
		this.log.emit(LogEvent.STOPPED, this.server.inProgress());
		this.slots.resign().completeOnTimeout(null, STOP_GRACE_MILLIS, TimeUnit.MILLISECONDS).join();
		this.frontend.shutdown(STOP_GRACE_MILLIS);
		this.node.close();
		this.stopped.countDown();
	}

	private void awaitRequests() {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.settings.drainMillis());
		while (this.server.inProgress() > 0 && System.nanoTime() < deadlineNanos) {
			Sleep.millis(DRAIN_POLL_MILLIS);
		}
	}

}
