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
 * Polls the status of the model engines in one availability zone.
 *
 * @author monsoonvalve maintainers
 */
final class VmPoller {

	private static final long STATUS_TIMEOUT_MILLIS = 500;

	private static final long POLL_ALL_TIMEOUT_MILLIS = 1200;

	private static final int MAX_STATUS_BYTES = 16 * 1024;

	private final Node node;

	private final String zone;

	private final ConcurrentMap<String, Poll> lastPolls = new ConcurrentHashMap<>();

	private volatile Set<String> destroyedVms = Set.of();

	VmPoller(Node node) {
		this.node = node;
		this.zone = node.settings().zone();
	}

	/**
	 * Polls the status of all engines and starts a read of the platform's VM list.
	 * @return the current view of each VM in the availability zone
	 */
	List<VmView> pollAll() {
		Configuration configuration = this.node.configuration();
		List<Inventory.Vm> vms = configuration.inventory()
			.vms()
			.stream()
			.filter((vm) -> vm.availabilityZone().equals(this.zone))
			.toList();
		readVmList();
		CompletableFuture<?>[] polls = vms.stream().map(this::poll).toArray(CompletableFuture[]::new);
		CompletableFuture.allOf(polls).completeOnTimeout(null, POLL_ALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
		return vms.stream().map((vm) -> view(configuration, vm)).toList();
	}

	/**
	 * Discards all earlier responses. Called when this controller becomes active, so that
	 * time in which it did not poll does not count as a VM's silence.
	 */
	void reset() {
		this.lastPolls.clear();
	}

	private CompletableFuture<Void> poll(Inventory.Vm vm) {
		ElapsedClock.Reading pollStarted = this.node.clock().now();
		this.lastPolls.putIfAbsent(vm.id(), new Poll(Optional.empty(), pollStarted));
		return this.node.http()
			.exchangePooled(vm.address(), HttpRequest.get("/status"), STATUS_TIMEOUT_MILLIS, MAX_STATUS_BYTES)
			.handle((reply, failure) -> {
				if (failure == null && reply.successful()) {
					EndpointStatus status = Codec.JSON.decode(reply.body(), EndpointStatus.class);
					this.lastPolls.put(vm.id(), new Poll(Optional.of(status), pollStarted));
				}
				else {
					this.lastPolls.computeIfPresent(vm.id(), (id, last) -> new Poll(Optional.empty(), last.lastSeen()));
				}
				return null;
			});
	}

	private void readVmList() {
		this.node.vmList()
			.read()
			.thenAccept((content) -> this.destroyedVms = content.vms()
				.stream()
				.filter((vm) -> VmList.Vm.DESTROYED.equals(vm.state()))
				.map(VmList.Vm::id)
				.collect(Collectors.toUnmodifiableSet()));
	}

	private VmView view(Configuration configuration, Inventory.Vm vm) {
		Poll last = this.lastPolls.get(vm.id());
		boolean outOfService = configuration.rules().endpointsOut().contains(vm.id());
		boolean leaving = outOfService || this.node.leavingVms().contains(vm.id())
				|| last.status().filter(EndpointStatus::leaving).isPresent();
		long missingMillis = last.status().isPresent() ? 0 : this.node.clock().elapsedMillis(last.lastSeen());
		return new VmView(vm, last.status(), missingMillis, leaving, this.destroyedVms.contains(vm.id()));
	}

	private record Poll(Optional<EndpointStatus> status, ElapsedClock.Reading lastSeen) {

	}

}
