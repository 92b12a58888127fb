package org.monsoonvalve.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * One run of a case: the folder of its settings, its record and whether the disruption is played. Ends the process with
 * 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
 */
final class Case {

	private static final long MAX_RUN_MILLIS = 112_000;

	private static final int HELD = 0;

	private static final int BROKEN = 1;

	private static final int NOT_RUN = 2;

	private final Path folder;

	private final Record record;

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private Case(Path folder, Record record) {
		this.folder = folder;
		this.record = record;
	}

	/** The steps of a case. */
	interface Steps {

		/** Plays the case and returns the violations of the rule that were seen. */
		List<String> play(Case run) throws IOException, InterruptedException;

	}

	/** Thrown if the case can't run, for example because a process doesn't start. */
	static final class NotRunException extends IOException {

		private static final long serialVersionUID = 1L;

		NotRunException(String message) {
			super(message);
		}

	}

	static void run(String[] arguments, Steps steps) throws IOException {
		Path recordFile = Path.of(arguments[0], "record.txt");
		Record record = new Record(recordFile);
		Case run = new Case(Files.createTempDirectory("review"), record);
		Threads.run(() -> {
			Thread.sleep(MAX_RUN_MILLIS);
			record.line("the case took too long");
			Runtime.getRuntime().halt(run.end(NOT_RUN));
		});
		int status;
		try {
			record.line("trouble: %s", run.trouble);
			List<String> violations = steps.play(run);
			violations.forEach((each) -> record.line("BROKEN: %s", each));
			record.line(violations.isEmpty() ? "the rule held" : "the rule was broken %d times", violations.size());
			System.out.println(violations.isEmpty() ? "held" : "broken: " + violations.get(0));
			status = violations.isEmpty() ? HELD : BROKEN;
		}
		catch (IOException | InterruptedException | RuntimeException ex) {
			record.line("the case could not run: %s", ex);
			System.out.println("could not run: " + ex);
			status = NOT_RUN;
		}
		System.exit(run.end(status));
	}

	private int end(int status) {
		Gateway.killAll();
		try (Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			this.record.line("the temporary folder remains: %s", ex);
		}
		return status;
	}

	Path folder() {
		return this.folder;
	}

	Record record() {
		return this.record;
	}

	boolean trouble() {
		return this.trouble;
	}

	/** Starts a process of the system without waiting until it is ready. */
	Gateway startGateway(String name, String ip, String store) throws IOException {
		Gateway gateway = Gateway.start(this.folder, name, ip, store);
		this.record.line("%s starts, process %d, callers at %s", name, gateway.pid(), gateway.front());
		return gateway;
	}

	/** Starts a process that was killed again, at the same addresses. */
	Gateway restartGateway(Gateway ended, String name, String store) throws IOException {
		Gateway gateway = ended.restart(this.folder, name, store);
		this.record.line("%s starts again, process %d", name, gateway.pid());
		return gateway;
	}

	void awaitReady(Gateway gateway) throws IOException {
		if (!gateway.awaitReady(25_000)) {
			throw new NotRunException("a process of the system is not ready");
		}
	}

}
