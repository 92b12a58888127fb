package org.monsoonvalve.controller.process;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.monsoonvalve.controller.version.VmView;
import org.monsoonvalve.core.connection.EndpointStatus;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.connection.VmList;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.ElapsedClock;
import org.monsoonvalve.core.process.Node;
import org.monsoonvalve.core.version.Configuration;
import org.monsoonvalve.core.version.Inventory;

/**
 * Observes the model engines of one availability zone.
 *
 * @author monsoonvalve maintainers
 */
final class VmWatch {

	private static final long STATUS_TIMEOUT_MILLIS = 500;

	private static final long ROUND_TIMEOUT_MILLIS = 1200;

	private static final int STATUS_LIMIT_BYTES = 16 * 1024;

	private final Node node;

	private final String zone;

	private final ConcurrentMap<String, Seen> seen = new ConcurrentHashMap<>();

	private volatile Set<String> destroyed = Set.of();

	VmWatch(Node node) {
		this.node = node;
		this.zone = node.settings().zone();
	}

	/**
	 * Asks all engines for their state.
	 * @return what is known of each VM
	 */
	List<VmView> round() {
		Configuration configuration = this.node.configuration();
		List<Inventory.Vm> vms = configuration.inventory()
			.vms()
			.stream()
			.filter((vm) -> vm.availabilityZone().equals(this.zone))
			.toList();
		readVmList();
		CompletableFuture<?>[] asked = vms.stream().map(this::ask).toArray(CompletableFuture[]::new);
		CompletableFuture.allOf(asked).completeOnTimeout(null, ROUND_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
		return vms.stream().map((vm) -> view(configuration, vm)).toList();
	}

	/**
	 * Forgets what was seen, as when this controller becomes active.
	 */
	void reset() {
		this.seen.clear();
	}

	private CompletableFuture<Void> ask(Inventory.Vm vm) {
		ElapsedClock.Reading now = this.node.clock().now();
		this.seen.putIfAbsent(vm.id(), new Seen(Optional.empty(), now));
		return this.node.http()
			.exchangePooled(vm.address(), HttpRequest.get("/status"), STATUS_TIMEOUT_MILLIS, STATUS_LIMIT_BYTES)
			.handle((reply, failure) -> {
				if (failure == null && reply.successful()) {
					EndpointStatus status = Codec.JSON.decode(reply.body(), EndpointStatus.class);
					this.seen.put(vm.id(), new Seen(Optional.of(status), now));
				}
				else {
					this.seen.computeIfPresent(vm.id(), (id, last) -> new Seen(Optional.empty(), last.at()));
				}
				return null;
			});
	}

	private void readVmList() {
		this.node.vmList()
			.read()
			.thenAccept((content) -> this.destroyed = content.vms()
				.stream()
				.filter((vm) -> VmList.Vm.DESTROYED.equals(vm.state()))
				.map(VmList.Vm::id)
				.collect(Collectors.toUnmodifiableSet()));
	}

	private VmView view(Configuration configuration, Inventory.Vm vm) {
		Seen last = this.seen.get(vm.id());
		boolean out = configuration.rules().endpointsOut().contains(vm.id());
		boolean leaving = out || this.node.leavingVms().contains(vm.id())
				|| last.status().filter(EndpointStatus::leaving).isPresent();
		long missingMillis = last.status().isPresent() ? 0 : this.node.clock().elapsedMillis(last.at());
		return new VmView(vm, last.status(), missingMillis, leaving, this.destroyed.contains(vm.id()));
	}

	private record Seen(Optional<EndpointStatus> status, ElapsedClock.Reading at) {

	}

}
