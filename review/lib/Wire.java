package org.monsoonvalve.review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Properties;

/** Names and message templates of the platform's protocols, read from the files beside this one. */
final class Wire {

	private static final Path FOLDER = Path.of("review", "lib");

	private static final Properties NAMES = load();

	private Wire() {
	}

	private static Properties load() {
		Properties names = new Properties();
		try (var reader = Files.newBufferedReader(FOLDER.resolve("wire.properties"))) {
			names.load(reader);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
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

	/** Returns a template with each {@code @KEY@} replaced. */
	static String template(String file, Map<String, ?> values) {
		String text;
		try {
			text = Files.readString(FOLDER.resolve(file), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
		for (Map.Entry<String, ?> value : values.entrySet()) {
			text = text.replace("@" + value.getKey() + "@", String.valueOf(value.getValue()));
		}
		return text;
	}

}
