import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** The names of the platform's protocol, and JSON. */
final class Wire {

	static final ObjectMapper JSON = new ObjectMapper();

	static final Path LIB = Path.of(System.getProperty("lib"));

	private static final Properties NAMES = load();

	private Wire() {
	}

	private static Properties load() {
		Properties names = new Properties();
		try (InputStream file = Files.newInputStream(LIB.resolve("wire.properties"))) {
			names.load(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return names;
	}

	static String name(String key) {
		String name = NAMES.getProperty(key);
		if (name == null) {
			throw new IllegalArgumentException(key);
		}
		return name;
	}

	static JsonNode json(byte[] bytes) {
		try {
			return JSON.readTree(bytes);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static byte[] bytes(Object value) {
		try {
			return JSON.writeValueAsBytes(value);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	static long now() {
		return System.nanoTime() / 1_000_000;
	}

	// An address of this run only, so that runs beside each other don't meet.
	static String host(int number) {
		long pid = ProcessHandle.current().pid();
		return "127." + (130 + pid / 250 % 100) + "." + (1 + pid % 250) + "." + number;
	}

}
