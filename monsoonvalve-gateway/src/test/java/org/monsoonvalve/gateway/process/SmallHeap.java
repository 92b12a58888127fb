package org.monsoonvalve.gateway.process;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/**
 * Runs a program in a virtual machine whose heap is small.
 */
final class SmallHeap {

	private SmallHeap() {
	}

	// Returns what the program prints, also if it fails for lack of memory.
	static String run(Class<?> program, int heapMegabytes) throws Exception {
		Process process = new ProcessBuilder(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Xmx" + heapMegabytes + "m", "-cp",
				System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
				program.getName()))
			.redirectErrorStream(true)
			.start();
		String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		process.waitFor();
		return output;
	}

}
