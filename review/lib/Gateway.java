package org.monsoonvalve.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system, started with the run command of the deploy file. */
final class Gateway {

	private static final Queue<Process> STARTED = new ConcurrentLinkedQueue<>();

	private static final Pattern RUN = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);

	private static volatile Gateway latest;

	private final String ip;

	private final int firstPort;

	private final Path log;

	private final Process process;

	private Gateway(String ip, int firstPort, Path log, Process process) {
		this.ip = ip;
		this.firstPort = firstPort;
		this.log = log;
		this.process = process;
	}

	static Gateway start(Path folder, String name, String ip, String store) throws IOException {
		return start(folder, name, ip, Ports.free(ip), store, true);
	}

	/** Starts a process that ended again, as the platform does: with the same settings, but not for the first time. */
	Gateway restart(Path folder, String name, String store) throws IOException {
		return start(folder, name, this.ip, this.firstPort, store, false);
	}

	private static Gateway start(Path folder, String name, String ip, int port, String store, boolean first)
			throws IOException {
		Path settings = folder.resolve(name + ".json");
		Files.writeString(settings,
				Wire.template("settings.json", Map.of("NAME", name, "IP", ip, "FRONT", port, "READY", port + 1, "PEER",
						port + 2, "PEER_LAST", port + 7, "STORE", store, "FIRST", first)));
		Matcher run = RUN.matcher(Files.readString(Path.of("deploy", "system.toml")));
		if (!run.find()) {
			throw new IOException("no run command in the deploy file");
		}
		ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
		builder.environment().put(Wire.name("environment.settings"), settings.toString());
		Path log = folder.resolve(name + ".log");
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
		Process process = builder.start();
		if (STARTED.isEmpty()) {
			Runtime.getRuntime().addShutdownHook(new Thread(Gateway::killAll));
		}
		STARTED.add(process);
		latest = new Gateway(ip, port, log, process);
		return latest;
	}

	/** Returns the process that was started last. */
	static Gateway latest() {
		return latest;
	}

	/** Ends all processes that were started. */
	static void killAll() {
		STARTED.forEach(Process::destroyForcibly);
	}

	String front() {
		return this.ip + ":" + this.firstPort;
	}

	String ready() {
		return this.ip + ":" + (this.firstPort + 1);
	}

	boolean alive() {
		return this.process.isAlive();
	}

	long pid() {
		return this.process.pid();
	}

	int exitStatus() {
		return this.process.exitValue();
	}

	Path log() {
		return this.log;
	}

	void terminate() {
		this.process.destroy();
	}

	void kill() {
		this.process.destroyForcibly();
	}

	boolean awaitExit(long seconds) throws InterruptedException {
		return this.process.waitFor(seconds, TimeUnit.SECONDS);
	}

	boolean awaitReady(long millis) {
		long end = System.currentTimeMillis() + millis;
		while (System.currentTimeMillis() < end) {
			if (isReady(1000)) {
				return true;
			}
			Threads.sleep(100);
		}
		return false;
	}

	/** Asks as the platform does before it sends new connections. */
	boolean isReady(int timeoutMillis) {
		try (Client client = new Client(ready(), timeoutMillis)) {
			Http.Message answer = client.send("GET", Wire.name("path.ready"), new byte[0]);
			return answer != null && answer.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
