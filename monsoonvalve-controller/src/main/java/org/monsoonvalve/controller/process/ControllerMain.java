package org.monsoonvalve.controller.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpLimits;
import org.monsoonvalve.core.connection.HttpServer;
import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.process.EventLog;
import org.monsoonvalve.core.process.LeaseElection;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.process.Logs;
import org.monsoonvalve.core.process.Mechanism;
import org.monsoonvalve.core.process.Node;
import org.monsoonvalve.core.process.NodeSettings;
import org.monsoonvalve.core.process.Setting;
import org.monsoonvalve.core.process.Settings;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Main class of the controller.
 *
 * @author monsoonvalve maintainers
 */
public final class ControllerMain {

	private static final Setting<String> MECHANISMS_OFF = Setting
		.text("test-mechanisms-off", "for tests only: mechanisms to switch off, separated by commas")
		.orElse(",");

	private static final long ELECTION_PERIOD_MILLIS = 1000;

	private static final long RECONCILE_PERIOD_MILLIS = 500;

	private static final long SHUTDOWN_GRACE_MILLIS = 500;

	private static final int STATUS_OK = 200;

	private ControllerMain() {
	}

	/**
	 * Runs a controller until the process is asked to stop.
	 * @param arguments the command line
	 * @throws InterruptedException if the thread is interrupted while it waits for the
	 * process to stop
	 */
	public static void main(String[] arguments) throws InterruptedException {
		List<Setting<?>> options = new ArrayList<>(NodeSettings.all());
		options.add(MECHANISMS_OFF);
		Settings commandLine = Settings.parseOrExit("monsoonvalve-controller",
				"Plans the replica groups of its availability zone and sends orders to the model engines.", options,
				arguments);
		Mechanism.switchOff(commandLine.get(MECHANISMS_OFF));
		NodeSettings settings = NodeSettings.of(commandLine);
		Logs.configure(settings.logFormat());
		EventLog log = EventLog.of(ControllerMain.class);
		Node node = Node.start(settings, "controller");
		LeaseElection election = LeaseElection.of(node.platform(), node.clock(), "groups/" + settings.zone(),
				settings.id(),
				(failure) -> log.emit(LogEvent.TASK_FAILED, "controller election", failure.getMessage()));
		GroupReconciler reconciler = new GroupReconciler(node, election);
		node.every("election", ELECTION_PERIOD_MILLIS, () -> election.tick(node.leaseCandidate()));
		node.every("groups", RECONCILE_PERIOD_MILLIS, reconciler::tick);
		HttpServer httpServer = HttpServer.start(settings.httpListen(), HttpLimits.defaults(), ControllerMain::handle);
		CountDownLatch stopped = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			election.resign();
			node.leave();
			httpServer.shutdown(SHUTDOWN_GRACE_MILLIS);
			node.close();
			log.emit(LogEvent.STOPPED, 0);
			stopped.countDown();
		}, "shutdown"));
		Mechanism.off().forEach((mechanism) -> log.emit(LogEvent.MECHANISM_OFF, mechanism));
		log.emit(LogEvent.STARTED, "controller", settings.id(), settings.httpListen(), settings.peerListen());
		stopped.await();
	}

	private static void handle(IncomingCall call) {
		if (!call.path().equals("/healthz")) {
			throw new ServingException(FailureCode.NOT_FOUND, "no resource " + call.path());
		}
		call.reply(STATUS_OK, Headers.empty(), "ok\n".getBytes(StandardCharsets.UTF_8));
	}

}
