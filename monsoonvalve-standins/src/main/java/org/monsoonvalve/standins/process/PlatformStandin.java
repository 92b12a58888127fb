package org.monsoonvalve.standins.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.monsoonvalve.core.connection.Headers;
import org.monsoonvalve.core.connection.HttpLimits;
import org.monsoonvalve.core.connection.HttpServer;
import org.monsoonvalve.core.connection.IncomingCall;
import org.monsoonvalve.core.connection.VmList;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.ElapsedClock;
import org.monsoonvalve.core.process.Settings;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.standins.process.Faults.FaultKind;
import org.monsoonvalve.standins.version.KeyValueState;

/**
 * Stands in for the platform: the key-value service in the form of the etcd version 3
 * JSON gateway, the VM list, and faults on command.
 *
 * @author monsoonvalve maintainers
 */
public final class PlatformStandin {

	private static final int OK = 200;

	private static final int NO_CONTENT = 204;

	private static final int MAX_VALUE_BYTES = 1024 * 1024;

	private static final HttpLimits LIMITS = new HttpLimits(16 * 1024, 4 * MAX_VALUE_BYTES, 16 * MAX_VALUE_BYTES);

	private static final int KEPT_SNAPSHOTS = 8;

	private final KeyValueState state = KeyValueState.of(ElapsedClock.system());

	private final Faults faults = Faults.none();

	private final ConcurrentMap<String, LongAdder> calls = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, VmState> vms = new ConcurrentHashMap<>();

	private final Set<String> cutZones = ConcurrentHashMap.newKeySet();

	private final Deque<List<KeyValueState.Value>> snapshots = new ArrayDeque<>();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);

	/**
	 * Starts the stand-in.
	 * @param settings the settings
	 * @return the server
	 */
	public static HttpServer start(Settings settings) {
		PlatformStandin platform = new PlatformStandin();
		return HttpServer.start(settings.get(StandinSettings.LISTEN), LIMITS, platform::handle);
	}

	private void handle(IncomingCall call) {
		String path = call.path();
		if (path.equals("/faults")) {
			this.faults.command(call);
			if (this.faults.take(FaultKind.LAPSE_LEASES)) {
				this.state.lapse();
			}
		}
		else if (path.equals("/cut")) {
			this.cutZones.clear();
			Codec.JSON.tree(call.body()).forEach((zone) -> this.cutZones.add(zone.asText()));
			call.reply(NO_CONTENT, Headers.empty(), new byte[0]);
		}
		else if (path.equals("/counts")) {
			call.replyJson(OK, this.calls);
		}
		else if (path.equals("/vms")) {
			VmList.Vm vm = Codec.JSON.decode(call.body(), VmList.Vm.class);
			long visible = System.nanoTime()
					+ TimeUnit.MILLISECONDS.toNanos(this.faults.get(FaultKind.VM_LIST_LAG_MILLIS));
			this.vms.put(vm.id(), new VmState(vm, visible));
			call.reply(NO_CONTENT, Headers.empty(), new byte[0]);
		}
		else if (unreachable(call)) {
			call.begin(OK, Headers.empty());
			call.abort();
		}
		else {
			long slowMillis = this.faults.get(FaultKind.SLOW_MILLIS);
			if (slowMillis > 0) {
				this.timer.schedule(() -> serve(call), slowMillis, TimeUnit.MILLISECONDS);
			}
			else {
				serve(call);
			}
		}
	}

	private boolean unreachable(IncomingCall call) {
		String agent = call.headers().get("User-Agent").orElse("");
		return this.faults.get(FaultKind.OUTAGE) > 0
				|| this.cutZones.stream().anyMatch((zone) -> agent.contains("/" + zone + "/"));
	}

	private void serve(IncomingCall call) {
		try {
			answer(call);
		}
		catch (RuntimeException ex) {
			call.refuse(ServingException.from(ex));
		}
	}

	private void answer(IncomingCall call) {
		String path = call.path();
		if (path.equals("/v1/vms")) {
			count("vm-list");
			call.replyJson(OK,
					new VmList.Content(this.vms.values()
						.stream()
						.filter((vm) -> System.nanoTime() >= vm.visibleNanos())
						.map(VmState::vm)
						.toList()));
			return;
		}
		JsonNode request = Codec.JSON.tree(call.body());
		switch (path) {
			case "/v3/kv/range" -> {
				count("read");
				call.replyJson(OK, range(request));
			}
			case "/v3/kv/txn" -> {
				count("write");
				replyWrite(call, transaction(request));
			}
			case "/v3/lease/grant" -> {
				count("write");
				replyWrite(call, lease(this.state.grant(request.path("TTL").asLong()), request.path("TTL").asLong()));
			}
			case "/v3/lease/keepalive" -> {
				count("write");
				long id = request.path("ID").asLong();
				ObjectNode answer = Codec.JSON.object();
				answer.set("result", lease(id, this.state.renew(id)));
				replyWrite(call, answer);
			}
			case "/v3/lease/revoke" -> {
				count("write");
				this.state.revoke(request.path("ID").asLong());
				replyWrite(call, Codec.JSON.object());
			}
			default -> throw new ServingException(FailureCode.NOT_FOUND, "no resource " + path);
		}
	}

	private void count(String kind) {
		this.calls.computeIfAbsent(kind, (absent) -> new LongAdder()).increment();
	}

	private void replyWrite(IncomingCall call, ObjectNode answer) {
		if (this.faults.take(FaultKind.LOSE_ANSWERS)) {
			call.begin(OK, Headers.empty());
			call.abort();
			return;
		}
		call.replyJson(OK, answer);
	}

	// The revision in an answer is that of the very state that the answer shows.
	private ObjectNode range(JsonNode request) {
		synchronized (this.state) {
			return rangeNow(request);
		}
	}

	private ObjectNode transaction(JsonNode request) {
		synchronized (this.state) {
			return transactionNow(request);
		}
	}

	private ObjectNode rangeNow(JsonNode request) {
		String key = decode(request.path("key").asText());
		String end = decode(request.path("range_end").asText());
		long least = request.path("min_mod_revision").asLong();
		boolean stale = this.faults.get(FaultKind.STALE_READS) > 0;
		List<KeyValueState.Value> values = stale ? staleValues(key) : this.state.range(key, end, least);
		ObjectNode answer = Codec.JSON.object();
		answer.putObject("header").put("revision", String.valueOf(this.state.revision()));
		fill(answer.putArray("kvs"), values);
		return answer;
	}

	private synchronized List<KeyValueState.Value> staleValues(String prefix) {
		List<KeyValueState.Value> oldest = this.snapshots.isEmpty() ? List.of() : this.snapshots.peekFirst();
		return oldest.stream().filter((value) -> value.key().startsWith(prefix)).toList();
	}

	private synchronized void keepSnapshot() {
		this.snapshots.addLast(this.state.range("monsoonvalve/documents/", "monsoonvalve/documents0", 0));
		if (this.snapshots.size() > KEPT_SNAPSHOTS) {
			this.snapshots.removeFirst();
		}
	}

	private ObjectNode transactionNow(JsonNode request) {
		JsonNode compare = request.path("compare").path(0);
		String key = decode(compare.path("key").asText());
		JsonNode put = request.path("success").path(0).path("request_put");
		byte[] content = put.isMissingNode() ? null : Base64.getDecoder().decode(put.path("value").asText());
		if (content != null && content.length > MAX_VALUE_BYTES) {
			throw new ServingException(FailureCode.BODY_TOO_LARGE, "values hold 1 MiB at most");
		}
		boolean succeeded = this.state.write(key, compare.path("mod_revision").asLong(), content,
				put.path("lease").asLong());
		if (succeeded && key.startsWith("monsoonvalve/documents/")) {
			keepSnapshot();
		}
		ObjectNode answer = Codec.JSON.object();
		answer.putObject("header").put("revision", String.valueOf(this.state.revision()));
		answer.put("succeeded", succeeded);
		ArrayNode responses = answer.putArray("responses");
		if (!succeeded) {
			fill(responses.addObject().putObject("response_range").putArray("kvs"), this.state.range(key, "", 0));
		}
		return answer;
	}

	private static void fill(ArrayNode array, List<KeyValueState.Value> values) {
		values.forEach((value) -> array.addObject()
			.put("key", Base64.getEncoder().encodeToString(value.key().getBytes(StandardCharsets.UTF_8)))
			.put("mod_revision", String.valueOf(value.revision()))
			.put("value", Base64.getEncoder().encodeToString(value.content())));
	}

	private static ObjectNode lease(long id, long ttlSeconds) {
		return Codec.JSON.object().put("ID", String.valueOf(id)).put("TTL", String.valueOf(ttlSeconds));
	}

	private static String decode(String text) {
		return new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
	}

	private record VmState(VmList.Vm vm, long visibleNanos) {

	}

}
