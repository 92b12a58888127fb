package org.monsoonvalve.review2;

import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** Names of the platform's pages, and templates of its documents. */
public final class Wire {

	private static final Path FOLDER = Path.of("review", "lib-2");

	private static final Properties NAMES = load();

	private Wire() {
	}

	private static Properties load() {
		Properties names = new Properties();
		try (Reader reader = Files.newBufferedReader(FOLDER.resolve("wire.properties"))) {
			names.load(reader);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return names;
	}

	/** Returns a name of the pages. */
	public static String name(String key) {
		String value = NAMES.getProperty(key);
		if (value == null) {
			throw new IllegalArgumentException("no name " + key);
		}
		return value;
	}

	/** Reads a template and replaces its placeholders, given as pairs of name and value. */
	public static String template(Path file, Object... values) {
		try {
			String text = Files.readString(file);
			for (int i = 0; i < values.length; i += 2) {
				text = text.replace("@" + values[i] + "@", String.valueOf(values[i + 1]));
			}
			return text;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** Reads a template of this folder. */
	public static String shared(String file, Object... values) {
		return template(FOLDER.resolve(file), values);
	}

}
