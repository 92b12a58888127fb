package org.monsoonvalve.ctl.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.process.LogFormat;
import org.monsoonvalve.core.process.Logs;
import org.monsoonvalve.core.process.Setting;
import org.monsoonvalve.core.process.Settings;
import org.monsoonvalve.core.process.SettingsException;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.ctl.request.AdminClient;
import org.monsoonvalve.ctl.request.Explanation;

/**
 * The operators' program.
 *
 * @author monsoonvalve maintainers
 */
public final class CtlMain {

	private static final String PROGRAM = "monsoonvalvectl";

	private static final Setting<List<Address>> ENTRIES = Setting.addresses("entries",
			"addresses of entries, IP:port, separated by commas");

	private static final Setting<String> ADMIN_KEY = Setting.text("admin-key", "key of the administration API");

	private static final Setting<String> AUTHOR = Setting.text("author", "who makes the change").orElse("operator");

	private static final Setting<Integer> WAIT = Setting.number("wait-millis",
			"how long to wait until a change is in force everywhere, in milliseconds", 0, 600_000, 10_000);

	private static final List<Setting<?>> SETTINGS = List.of(ENTRIES, ADMIN_KEY, AUTHOR, WAIT);

	private static final List<String> DOCUMENTS = List.of("inventory", "rules");

	private CtlMain() {
	}

	/**
	 * Runs one sub-command and exits with its status.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		Logs.configure(LogFormat.TEXT);
		ArgumentParser parser = parser();
		try {
			Namespace parsed = parser.parseArgs(arguments);
			if ("explain".equals(parsed.getString("command"))) {
				System.exit(explain(parsed.getString("request"), parsed.getList("logs")));
			}
			Settings settings = Settings.parse(parsed, System.getenv(), SETTINGS);
			System.exit(run(parsed, settings));
		}
		catch (ArgumentParserException ex) {
			parser.handleError(ex);
			System.exit((ex instanceof HelpScreenException) ? 0 : Settings.EXIT_BAD_SETTINGS);
		}
		catch (SettingsException ex) {
			ex.faults().forEach((fault) -> System.err.println(PROGRAM + ": " + fault));
			System.exit(Settings.EXIT_BAD_SETTINGS);
		}
		catch (ServingException | UncheckedIOException ex) {
			System.err.println(PROGRAM + ": " + ex.getMessage());
			System.exit(Commands.EXIT_FAILED);
		}
	}

	private static int explain(String request, List<String> files) {
		Explanation explanation = Explanation.of(request, files.stream().flatMap(CtlMain::linesOf));
		explanation.lines().forEach(System.out::println);
		System.out.println(explanation.cause().orElse("no line shows how request " + request + " ended"));
		return explanation.cause().isPresent() ? Commands.EXIT_OK : Commands.EXIT_INVALID;
	}

	private static Stream<String> linesOf(String file) {
		try {
			return Files.readAllLines(Path.of(file)).stream();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static int run(Namespace parsed, Settings settings) {
		try (AdminClient client = AdminClient.of(settings.get(ENTRIES), settings.get(ADMIN_KEY))) {
			Commands commands = new Commands(client, settings.get(AUTHOR), settings.get(WAIT), System.out);
			String document = parsed.getString("document");
			String file = parsed.getString("file");
			String name = parsed.getString("name");
			boolean out = "out".equals(parsed.getString("direction"));
			return switch (parsed.getString("command")) {
				case "validate" -> commands.validate(document, file);
				case "diff" -> commands.diff(document, file);
				case "apply" -> commands.apply(document, file, parsed.getLong("base"));
				case "get" -> commands.get(document);
				case "history" -> commands.history(document);
				case "zone" -> commands.switchZone(name, out);
				case "endpoint" -> commands.switchEndpoint(name, out);
				default -> commands.status();
			};
		}
	}

	private static ArgumentParser parser() {
		ArgumentParser parser = Settings.parser(PROGRAM,
				"Changes and shows the inventory, the rules and the state of the system.", SETTINGS);
		Subparsers commands = parser.addSubparsers().dest("command").metavar("COMMAND");
		document(commands, "validate", "check a document without changing anything", true);
		document(commands, "diff", "show what a document would change", true);
		Subparser apply = document(commands, "apply", "change a document and wait until it is in force everywhere",
				true);
		apply.addArgument("--base")
			.type(Long.class)
			.setDefault(-1L)
			.help("revision that the change is based on (default: the current one)");
		document(commands, "get", "print a document", false);
		document(commands, "history", "list the changes of a document", false);
		commands.addParser("status").help("show nodes, revisions and replica groups");
		Subparser explain = commands.addParser("explain")
			.help("gather the log lines of a request from gateways' logs and say how it ended");
		explain.addArgument("request").help("the request's identifier");
		explain.addArgument("logs").nargs("+").help("files of JSON lines");
		switching(commands, "zone", "take an availability zone out of service or back in");
		switching(commands, "endpoint", "take the endpoint of a VM out of service or back in");
		return parser;
	}

	private static Subparser document(Subparsers commands, String name, String help, boolean withFile) {
		Subparser command = commands.addParser(name).help(help);
		command.addArgument("document").choices(DOCUMENTS).help("which document");
		if (withFile) {
			command.addArgument("file").help("path of the YAML text");
		}
		return command;
	}

	private static void switching(Subparsers commands, String name, String help) {
		Subparser command = commands.addParser(name).help(help);
		command.addArgument("direction").choices("out", "in").help("out of service or in");
		command.addArgument("name").help("name of the " + name);
	}

}
