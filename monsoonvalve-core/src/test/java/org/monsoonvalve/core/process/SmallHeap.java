package org.monsoonvalve.core.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs a program in a virtual machine whose heap is small. It has the options of a
 * gateway: another garbage collector lacks contiguous memory for large arrays long before
 * the heap is full.
 */
public final class SmallHeap {

	private static final long TIMEOUT_SECONDS = 60;

	private SmallHeap() {
	}

	/**
	 * Runs a program to its end.
	 * @param program the class with the main method
	 * @param heapMegabytes the largest size of the heap, in megabytes
	 * @return what the program prints, also if it fails for lack of memory
	 * @throws Exception if the program can't be run
	 */
	public static String run(Class<?> program, int heapMegabytes) throws Exception {
		Process process = new ProcessBuilder(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Xmx" + heapMegabytes + "m", "-XX:+UseSerialGC", "-XX:+ExitOnOutOfMemoryError", "-cp",
				System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
				program.getName()))
			.redirectErrorStream(true)
			.start();
		CompletableFuture<String> output = CompletableFuture.supplyAsync(() -> outputOf(process));
		try {
			return output.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		finally {
			process.destroyForcibly();
		}
	}

	private static String outputOf(Process process) {
		try {
			return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
