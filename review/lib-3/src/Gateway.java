import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A gateway process, started with the command of the deploy file. */
final class Gateway {

	private static final List<Gateway> ALL = new CopyOnWriteArrayList<>();

	final String name;

	final String host;

	final Path directory;

	Process process;

	private Gateway(String name, String host, Path directory) {
		this.name = name;
		this.host = host;
		this.directory = directory;
		ALL.add(this);
	}

	static Gateway start(String name, String host, String zone, String store) throws IOException {
		Path directory = Files.createTempDirectory(Path.of(System.getProperty("work")), name);
		String settings = Files.readString(Wire.LIB.resolve("settings-template.json"))
			.replace("@NAME@", name)
			.replace("@IP@", host)
			.replace("@ZONE@", zone)
			.replace("@STORE@", store);
		Files.writeString(directory.resolve("boot.json"), settings);
		Gateway gateway = new Gateway(name, host, directory);
		gateway.run();
		return gateway;
	}

	void run() throws IOException {
		ProcessBuilder builder = new ProcessBuilder(Arrays.asList(System.getProperty("gateway.command").split(" ")));
		builder.directory(new File(System.getProperty("root")));
		builder.environment().put(Wire.name("settings.variable"), this.directory.resolve("boot.json").toString());
		builder.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.directory.resolve("log.txt").toFile()));
		this.process = builder.start();
	}

	boolean awaitReady(long millis) {
		long end = Wire.now() + millis;
		while (Wire.now() < end) {
			try (Socket socket = new Socket(this.host, 18081)) {
				socket.setSoTimeout(1000);
				socket.getOutputStream()
					.write(("GET " + Wire.name("path.ready") + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
						.getBytes(StandardCharsets.US_ASCII));
				Http answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
				if (answer != null && answer.status() == 200) {
					return true;
				}
			}
			catch (IOException ex) {
				// It has not started yet.
			}
			Wire.sleep(100);
		}
		return false;
	}

	void signal(String signal) throws IOException {
		try {
			new ProcessBuilder("kill", "-" + signal, String.valueOf(this.process.pid())).start().waitFor();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	static void endAll() {
		ALL.forEach((gateway) -> gateway.process.destroyForcibly());
		ALL.forEach((gateway) -> {
			try {
				gateway.process.waitFor();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
	}

}
