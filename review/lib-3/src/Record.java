import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Writes what was sent, answered and run. */
final class Record {

	private static PrintWriter file;

	private static final long START = Wire.now();

	private Record() {
	}

	static void open(Path path) throws IOException {
		file = new PrintWriter(path.toFile(), "UTF-8");
	}

	static synchronized void line(String format, Object... values) {
		String text = String.format("%7d %s", Wire.now() - START, String.format(format, values));
		if (file != null) {
			file.println(text);
			file.flush();
		}
		else {
			System.out.println(text);
		}
	}

}
