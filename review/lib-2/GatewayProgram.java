package org.monsoonvalve.review2;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway that runs as a process, by the command of the deploy file. */
public final class GatewayProgram implements AutoCloseable {

	public static final int CALLERS_PORT = 8227;

	private static final int READY_PORT = 8220;

	private static final int METRICS_PORT = 9464;

	private static final int PEER_PORT = 7340;

	private final String host;

	private final Path output;

	private final Process process;

	private GatewayProgram(String host, Path output, Process process) {
		this.host = host;
		this.output = output;
		this.process = process;
	}

	/** Chooses a loopback address on which the ports of a gateway are free. */
	public static String freeHost() throws IOException {
		for (int attempt = 0; attempt < 100; attempt++) {
			ThreadLocalRandom random = ThreadLocalRandom.current();
			String host = "127." + random.nextInt(1, 250) + "." + random.nextInt(1, 250) + "." + random.nextInt(2, 250);
			if (List.of(CALLERS_PORT, READY_PORT, METRICS_PORT, PEER_PORT).stream().allMatch((port) -> free(host, port))) {
				return host;
			}
		}
		throw new IOException("no loopback address with free ports");
	}

	private static boolean free(String host, int port) {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(host, port));
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	public static GatewayProgram start(String name, String zone, String store, Path folder) throws IOException {
		return start(name, zone, store, folder, freeHost());
	}

	public static GatewayProgram start(String name, String zone, String store, Path folder, String host)
			throws IOException {
		Path settings = folder.resolve(name + ".json");
		Files.writeString(settings, Wire.shared("settings.json", "name", name, "ip", host, "zone", zone, "store", store));
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy", "system.toml")));
		if (!run.find()) {
			throw new IOException("the deploy file has no run command");
		}
		ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.group(1).split(" ")));
		builder.environment().put(Wire.name("settings.variable"), settings.toString());
		Path output = folder.resolve(name + ".log");
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
		Process process = builder.start();
		Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
		return new GatewayProgram(host, output, process);
	}

	public String host() {
		return this.host;
	}

	public Path output() {
		return this.output;
	}

	public Process process() {
		return this.process;
	}

	/** Asks the readiness check; 0 without an answer within a second. */
	public int readiness() {
		try {
			HttpURLConnection call = (HttpURLConnection) URI
				.create("http://" + this.host + ":" + READY_PORT + Wire.name("path.ready"))
				.toURL()
				.openConnection();
			call.setConnectTimeout(1000);
			call.setReadTimeout(1000);
			int status = call.getResponseCode();
			call.disconnect();
			return status;
		}
		catch (IOException ex) {
			return 0;
		}
	}

	public void awaitReady(long millis) throws InterruptedException, IOException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (readiness() != 200) {
			if (System.nanoTime() > end || !this.process.isAlive()) {
				throw new IOException("the gateway isn't ready");
			}
			Thread.sleep(100);
		}
	}

	/** Returns the resident memory in megabytes, 0 where the system doesn't tell. */
	public long residentMegabytes() {
		try {
			return Files.readAllLines(Path.of("/proc", String.valueOf(this.process.pid()), "status"))
				.stream()
				.filter((line) -> line.startsWith("VmRSS:"))
				.mapToLong((line) -> Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024)
				.findFirst()
				.orElse(0);
		}
		catch (IOException ex) {
			return 0;
		}
	}

	public void kill() {
		this.process.destroyForcibly();
	}

	public void terminate() {
		this.process.destroy();
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
	}

}
