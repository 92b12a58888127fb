package org.monsoonvalve.scenarios.process;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.monsoonvalve.core.connection.EngineOrder;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.connection.HttpResponse;
import org.monsoonvalve.core.connection.VmList;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.Sleep;
import org.monsoonvalve.core.version.Rules;
import org.monsoonvalve.scenarios.process.Timeline.EventKind;
import org.monsoonvalve.scenarios.request.Observation;
import org.monsoonvalve.scenarios.request.Observation.Outcome;
import org.monsoonvalve.scenarios.version.Evidence;
import org.monsoonvalve.scenarios.version.Promise;
import org.monsoonvalve.scenarios.version.Scenario;
import org.monsoonvalve.scenarios.version.Step;
import org.monsoonvalve.standins.request.LedgerEntry;

/**
 * Runs a scenario and all checkers after it.
 *
 * @author monsoonvalve maintainers
 */
public final class ScenarioRun {

	private static final int COLD_CAPACITY = 2;

	private static final double HALF = 0.5;

	private static final double NINETY_FIVE = 0.95;

	private static final double NINETY_NINE = 0.99;

	private final Scenario scenario;

	private final Timeline timeline = new Timeline();

	private final List<String> faults = new ArrayList<>();

	private List<String> cutZones = List.of();

	private Cluster cluster;

	private LoadRunner loads;

	private ScenarioRun(Scenario scenario) {
		this.scenario = scenario;
	}

	/**
	 * Runs a scenario.
	 * @param scenario the scenario
	 * @param logs where its processes write their logs
	 * @return the result
	 */
	public static ScenarioResult run(Scenario scenario, Path logs) {
		return new ScenarioRun(scenario).run(logs);
	}

	private ScenarioResult run(Path logs) {
		try (Cluster started = Cluster.start(this.scenario.cluster(), logs, this.timeline)) {
			this.cluster = started;
			ConfigurationSampler sampler = new ConfigurationSampler(started, this.timeline);
			sampler.start();
			try (LoadRunner runner = new LoadRunner(started)) {
				this.loads = runner;
				this.scenario.steps().forEach(this::step);
				runner.finish();
				Evidence evidence = new Evidence(this.timeline, runner.observations(), started.ledger(), sampler.stop(),
						started.entries()
							.stream()
							.collect(Collectors.toMap((entry) -> entry.address().toString(), ManagedProcess::name)),
						COLD_CAPACITY);
				List<String> breaches = Arrays.stream(Promise.values())
					.flatMap((promise) -> promise.breaches(evidence).stream())
					.toList();
				return new ScenarioResult(this.scenario.name(), summary(evidence), breaches, List.copyOf(this.faults));
			}
		}
	}

	private void step(Step step) {
		if (step instanceof Step.Load load) {
			this.loads.start(load);
		}
		else if (step instanceof Step.Finish) {
			this.loads.finish();
		}
		else if (step instanceof Step.Pause pause) {
			Sleep.millis(pause.millis());
		}
		else if (step instanceof Step.Act act) {
			act(act);
		}
		else if (step instanceof Step.Fault fault) {
			fault(fault);
		}
		else if (step instanceof Step.CutPlatform cut) {
			this.cutZones = List.copyOf(cut.zones());
			post(this.cluster.process("platform"), "/cut", cut.zones());
		}
		else if (step instanceof Step.Vm vm) {
			post(this.cluster.process("platform"), "/vms", new VmList.Vm(vm.id(), vm.state()));
			this.timeline.note("live".equals(vm.state()) ? EventKind.VM_BACK : EventKind.VM_LEAVING, vm.id());
		}
		else if (step instanceof Step.Service service) {
			service(service);
		}
		else if (step instanceof Step.LateOrder late) {
			post(this.cluster.process(late.engine()), "/orders",
					new EngineOrder(EngineOrder.LOAD, Evidence.INJECTED_GROUP, 0, "old@0", List.of()));
		}
		else if (step instanceof Step.SameKey same) {
			this.loads.sameKey(same);
		}
		else if (step instanceof Step.Race race) {
			race(race);
		}
		else if (step instanceof Step.Expect expect) {
			expect(expect);
		}
	}

	private void act(Step.Act act) {
		if (act.kill() != null) {
			this.timeline.note(EventKind.KILLED, act.kill());
			this.cluster.process(act.kill()).kill();
		}
		if (act.term() != null) {
			this.timeline.note(EventKind.TERMINATED, act.term());
			this.cluster.process(act.term()).terminate();
		}
		if (act.start() != null) {
			this.cluster.process(act.start()).awaitEnd();
			this.cluster.process(act.start()).start();
			this.timeline.note(EventKind.STARTED, act.start());
		}
		if (act.freeze() != null) {
			this.cluster.process(act.freeze()).freeze();
			this.timeline.note(EventKind.FROZEN, act.freeze());
		}
		if (act.thaw() != null) {
			this.timeline.note(EventKind.THAWED, act.thaw());
			this.cluster.process(act.thaw()).thaw();
		}
	}

	private void fault(Step.Fault fault) {
		post(this.cluster.process(fault.process()), "/faults", Codec.JSON.object().put(fault.name(), fault.number()));
		switch (fault.name()) {
			case "leaving" ->
				this.timeline.note((fault.number() > 0) ? EventKind.VM_LEAVING : EventKind.VM_BACK, fault.process());
			case "cut-from-group" ->
				this.timeline.note((fault.number() > 0) ? EventKind.CUT_FROM_GROUP : EventKind.THAWED, fault.process());
			default -> this.timeline.note(EventKind.FAULT, fault.process());
		}
	}

	private void service(Step.Service service) {
		editRules(service.zoneOut(), EventKind.ZONE_OUT, (rules) -> with(rules, service.zoneOut(), true, true));
		editRules(service.zoneIn(), EventKind.ZONE_IN, (rules) -> with(rules, service.zoneIn(), true, false));
		editRules(service.endpointOut(), EventKind.VM_LEAVING,
				(rules) -> with(rules, service.endpointOut(), false, true));
		editRules(service.endpointIn(), EventKind.VM_BACK, (rules) -> with(rules, service.endpointIn(), false, false));
	}

	private void editRules(String target, EventKind kind, UnaryOperator<Rules> edit) {
		if (target == null) {
			return;
		}
		String text = text(edit.apply(this.cluster.admin().currentRules()));
		if (kind == EventKind.ZONE_IN || kind == EventKind.VM_BACK) {
			this.timeline.note(kind, target);
		}
		long revision = this.cluster.admin().apply("rules", text);
		this.timeline.note(EventKind.RULES_ACCEPTED, "rules", revision);
		if (kind == EventKind.ZONE_OUT || kind == EventKind.VM_LEAVING) {
			this.timeline.note(kind, target);
		}
	}

	private static Rules with(Rules rules, String name, boolean zone, boolean out) {
		List<String> names = new ArrayList<>(zone ? rules.zonesOut() : rules.endpointsOut());
		names.remove(name);
		if (out) {
			names.add(name);
		}
		return rules.withOutOfService(zone ? names : rules.zonesOut(), zone ? rules.endpointsOut() : names);
	}

	private static String text(Rules rules) {
		return new String(Codec.YAML.encode(rules), StandardCharsets.UTF_8);
	}

	private void race(Step.Race race) {
		List<ManagedProcess> entries = this.cluster.entries()
			.stream()
			.filter((entry) -> entry.running() && !this.cutZones.contains(entry.zone()))
			.toList();
		Rules base = this.cluster.admin().currentRules();
		long revision = this.cluster.admin().revision(entries.get(0), "rules");
		List<CompletableFuture<HttpResponse>> sent = IntStream.range(0, race.operators())
			.mapToObj((operator) -> CompletableFuture.supplyAsync(() -> this.cluster.admin()
				.put(entries.get(operator % entries.size()), "rules", "# operator " + operator + "\n" + text(base),
						revision, UUID.randomUUID().toString())))
			.toList();
		List<HttpResponse> replies = sent.stream().map(CompletableFuture::join).toList();
		List<HttpResponse> accepted = replies.stream().filter(HttpResponse::successful).toList();
		if (accepted.size() != 1) {
			this.faults.add("a race of " + race.operators() + " operators had " + accepted.size() + " winners");
		}
		replies.stream()
			.filter((reply) -> !reply.successful())
			.filter((reply) -> reply.json().path("current").asText().isEmpty()
					|| reply.json().path("yours").asText().isEmpty())
			.forEach((reply) -> this.faults.add("a loser of a race was not shown both sides: " + reply.status()));
		accepted.forEach((reply) -> this.timeline.note(EventKind.RULES_ACCEPTED, "rules",
				reply.json().path("revision").asLong()));
	}

	private void expect(Step.Expect expect) {
		List<Observation> all = this.loads.observations()
			.stream()
			.filter((seen) -> seen.load().equals(expect.load()))
			.toList();
		long lastSent = all.stream().mapToLong(Observation::sentMillis).max().orElse(0);
		List<Observation> judged = all.stream()
			.filter((seen) -> expect.lastMillis() == 0 || seen.sentMillis() >= lastSent - expect.lastMillis())
			.toList();
		double answered = share(judged, Outcome.ANSWERED);
		if (judged.isEmpty() || answered < expect.answeredAtLeast()) {
			this.faults.add(String.format(Locale.ROOT, "load %s: %.3f of %d requests were answered, expected %.3f",
					expect.load(), answered, judged.size(), expect.answeredAtLeast()));
		}
		long cut = judged.stream().filter((seen) -> seen.outcome() == Outcome.CUT).count();
		if (expect.cutAtMost() != null && cut > expect.cutAtMost()) {
			this.faults.add("load " + expect.load() + ": " + cut + " requests were cut off");
		}
		expectRuns(expect, judged);
		long p95Millis = percentile(judged, NINETY_FIVE);
		if (expect.p95Millis() > 0 && p95Millis > expect.p95Millis()) {
			this.faults.add("load " + expect.load() + ": 95 in 100 took up to " + p95Millis + " ms, expected "
					+ expect.p95Millis());
		}
	}

	private void expectRuns(Step.Expect expect, List<Observation> judged) {
		Set<String> sent = judged.stream().map(Observation::clientId).collect(Collectors.toSet());
		double runs = this.cluster.ledger()
			.stream()
			.filter((entry) -> LedgerEntry.RUN.equals(entry.kind()) && sent.contains(entry.clientId()))
			.count();
		if (expect.runsPerRequestAtMost() > 0 && runs / sent.size() > expect.runsPerRequestAtMost()) {
			this.faults.add(String.format(Locale.ROOT, "load %s: %.2f runs for each request, expected %.2f at most",
					expect.load(), runs / sent.size(), expect.runsPerRequestAtMost()));
		}
	}

	private static double share(List<Observation> judged, Outcome outcome) {
		return judged.stream().mapToInt((seen) -> (seen.outcome() == outcome) ? 1 : 0).average().orElse(0);
	}

	private static long percentile(List<Observation> judged, double share) {
		long[] sorted = judged.stream().mapToLong((seen) -> seen.endMillis() - seen.sentMillis()).sorted().toArray();
		return (sorted.length > 0) ? sorted[(int) Math.min(sorted.length - 1, Math.floor(share * sorted.length))] : 0;
	}

	private static String summary(Evidence evidence) {
		Map<String, Long> outcomes = evidence.observations()
			.stream()
			.collect(Collectors.groupingBy(ScenarioRun::outcome, TreeMap::new, Collectors.counting()));
		return outcomes + " " + latencies(evidence);
	}

	private static String latencies(Evidence evidence) {
		Map<String, List<Observation>> byLoad = evidence.observations()
			.stream()
			.filter((seen) -> seen.outcome() == Outcome.ANSWERED)
			.collect(Collectors.groupingBy(Observation::load, TreeMap::new, Collectors.toList()));
		return byLoad.entrySet()
			.stream()
			.map((load) -> load.getKey() + " " + percentile(load.getValue(), HALF) + "/"
					+ percentile(load.getValue(), NINETY_FIVE) + "/" + percentile(load.getValue(), NINETY_NINE))
			.collect(Collectors.joining(", ", "p50/p95/p99 ms: ", ""));
	}

	private static String outcome(Observation seen) {
		String code = (seen.outcome() != Outcome.REFUSED) ? "" : " " + seen.detail().split(":")[0];
		return seen.load() + " " + seen.outcome() + code;
	}

	private void post(ManagedProcess process, String path, Object content) {
		this.cluster.call(process.address(), HttpRequest.json("POST", path, content));
	}

}
