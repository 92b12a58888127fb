package org.monsoonvalve.review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the time since the start. */
public final class Log implements AutoCloseable {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	private Log(PrintWriter out) {
		this.out = out;
	}

	public static Log to(Path file) {
		try {
			return new Log(new PrintWriter(Files.newBufferedWriter(file)));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** Returns the milliseconds since the start. */
	public long millis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	public synchronized void add(String line) {
		this.out.println(String.format(Locale.ROOT, "%8.3f s  %s", millis() / 1000.0, line));
		this.out.flush();
	}

	/** Records a line and prints it. */
	public void print(String line) {
		add(line);
		System.out.println(line);
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
