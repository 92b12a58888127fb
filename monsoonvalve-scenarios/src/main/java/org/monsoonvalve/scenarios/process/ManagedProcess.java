package org.monsoonvalve.scenarios.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.standins.request.LedgerEntry;

/**
 * A process that a scenario started and may stop, freeze and start again.
 *
 * @author monsoonvalve maintainers
 */
public final class ManagedProcess {

	private static final long END_TIMEOUT_SECONDS = 30;

	private final String name;

	private final String role;

	private final String zone;

	private final Address address;

	private final List<String> command;

	private final Path log;

	private volatile Process process;

	private volatile boolean frozen;

	ManagedProcess(String name, String role, String zone, Address address, List<String> command, Path log) {
		this.name = name;
		this.role = role;
		this.zone = zone;
		this.address = address;
		this.command = List.copyOf(command);
		this.log = log;
	}

	/**
	 * Returns the process's name.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns what the process is.
	 * @return {@code platform}, {@code engine}, {@code service}, {@code entry} or
	 * {@code controller}
	 */
	public String role() {
		return this.role;
	}

	/**
	 * Returns the process's availability zone.
	 * @return the availability zone
	 */
	public String zone() {
		return this.zone;
	}

	/**
	 * Returns where the process listens for HTTP.
	 * @return the address
	 */
	public Address address() {
		return this.address;
	}

	/**
	 * Tells whether the process runs and is not frozen.
	 * @return {@code true} if it can answer
	 */
	public boolean running() {
		return this.process != null && this.process.isAlive() && !this.frozen;
	}

	/**
	 * Reads how much processor time the process has used.
	 * @return the time since its start, in nanoseconds
	 */
	public long cpuNanos() {
		return this.process.info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
	}

	/**
	 * Reads what a stand-in endpoint wrote of its executions, over all its starts.
	 * @return the executions in order
	 */
	public List<LedgerEntry> ledger() {
		try (Stream<String> lines = Files.lines(this.log)) {
			return lines.filter((line) -> line.startsWith(LedgerEntry.LINE_PREFIX) && line.endsWith("}"))
				.map((line) -> line.substring(LedgerEntry.LINE_PREFIX.length()).getBytes(StandardCharsets.UTF_8))
				.map((json) -> Codec.JSON.decode(json, LedgerEntry.class))
				.toList();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	void start() {
		try {
			this.frozen = false;
			this.process = new ProcessBuilder(this.command).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()))
				.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	void kill() {
		thawIfFrozen();
		this.process.destroyForcibly();
		await();
	}

	void terminate() {
		this.process.destroy();
	}

	void awaitEnd() {
		await();
	}

	void freeze() {
		this.frozen = true;
		signal("-STOP");
	}

	void thaw() {
		signal("-CONT");
		this.frozen = false;
	}

	void end() {
		if (this.process != null && this.process.isAlive()) {
			kill();
		}
	}

	private void thawIfFrozen() {
		if (this.frozen) {
			thaw();
		}
	}

	private void signal(String signal) {
		try {
			List<String> kill = new ArrayList<>(List.of("kill", signal, String.valueOf(this.process.pid())));
			new ProcessBuilder(kill).start().waitFor();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void await() {
		try {
			if (!this.process.waitFor(END_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
				this.process.destroyForcibly();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
