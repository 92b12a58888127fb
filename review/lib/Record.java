package org.monsoonvalve.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Record {

	private final PrintWriter writer;

	private final long startNanos = System.nanoTime();

	Record(Path file) throws IOException {
		this.writer = new PrintWriter(Files.newBufferedWriter(file), true);
	}

	synchronized void line(String format, Object... values) {
		this.writer.println(String.format(Locale.ROOT, "%8.3f ", (System.nanoTime() - this.startNanos) / 1e9)
				+ String.format(Locale.ROOT, format, values));
	}

}
