package org.monsoonvalve.standins.process;

import java.util.Arrays;
import java.util.List;

import org.monsoonvalve.core.connection.HttpServer;
import org.monsoonvalve.core.process.LogFormat;
import org.monsoonvalve.core.process.Logs;
import org.monsoonvalve.core.process.Settings;

/**
 * Starts a stand-in: {@code platform}, {@code engine} or {@code service}.
 *
 * @author monsoonvalve maintainers
 */
public final class StandinsMain {

	private static final String PROGRAM = "monsoonvalve-standins";

	private StandinsMain() {
	}

	/**
	 * Runs a stand-in until it is ended.
	 * @param arguments the stand-in's name and its settings
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		Logs.configure(LogFormat.TEXT);
		String kind = (arguments.length > 0) ? arguments[0] : "";
		String[] rest = Arrays.copyOfRange(arguments, Math.min(1, arguments.length), arguments.length);
		HttpServer frontend = switch (kind) {
			case "platform" -> PlatformStandin.start(Settings.parseOrExit(PROGRAM + " platform",
					"Stands in for the platform.", List.of(StandinSettings.LISTEN), rest));
			case "engine" -> EngineStandin.start(Settings.parseOrExit(PROGRAM + " engine",
					"Stands in for a model engine.", StandinSettings.endpoint(), rest));
			case "service" -> ServiceStandin.start(Settings.parseOrExit(PROGRAM + " service",
					"Stands in for a plain service.", StandinSettings.endpoint(), rest));
			default -> null;
		};
		if (frontend == null) {
			System.err.println(PROGRAM + ": expected platform, engine or service, found '" + kind + "'");
			System.exit(Settings.EXIT_BAD_SETTINGS);
		}
		Thread.currentThread().join();
	}

}
