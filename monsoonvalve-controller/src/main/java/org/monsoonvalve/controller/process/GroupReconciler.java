package org.monsoonvalve.controller.process;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.monsoonvalve.controller.version.GroupPlan;
import org.monsoonvalve.controller.version.GroupPlanner;
import org.monsoonvalve.controller.version.LoadPlanner;
import org.monsoonvalve.controller.version.VmView;
import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.EngineOrder;
import org.monsoonvalve.core.connection.HttpRequest;
import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StoreLease;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.ElapsedClock;
import org.monsoonvalve.core.process.EventLog;
import org.monsoonvalve.core.process.LeaseElection;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.process.Mechanism;
import org.monsoonvalve.core.process.Node;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.core.version.Configuration;
import org.monsoonvalve.core.version.DocumentKey;
import org.monsoonvalve.core.version.Envelope;
import org.monsoonvalve.core.version.GroupTable;
import org.monsoonvalve.core.version.Inventory;
import org.monsoonvalve.core.version.PoolKind;
import org.monsoonvalve.core.version.VersionedDocument;

/**
 * Reconciles the replica groups of one availability zone with the plan while this process
 * holds the zone's lease. The group table is written to the platform before any order is
 * sent, and the lease is checked before each order.
 *
 * @author monsoonvalve maintainers
 */
final class GroupReconciler {

	private static final long PLATFORM_TIMEOUT_MILLIS = 2000;

	private static final long ORDER_TIMEOUT_MILLIS = 2000;

	private static final long ORDER_RETRY_MILLIS = 1500;

	private static final int MAX_REPLY_BYTES = 16 * 1024;

	private final EventLog log = EventLog.of(GroupReconciler.class);

	private final Node node;

	private final LeaseElection election;

	private final VmPoller poller;

	private final DocumentKey key;

	private final Map<String, ElapsedClock.Reading> lastSent = new ConcurrentHashMap<>();

	private boolean active;

	GroupReconciler(Node node, LeaseElection election) {
		this.node = node;
		this.election = election;
		this.poller = new VmPoller(node);
		this.key = DocumentKey.groups(node.settings().zone());
	}

	/**
	 * Runs one reconciliation: polls the engines, plans the groups, writes a changed
	 * group table and sends the orders that are due. Sends none if the write is rejected.
	 */
	void tick() {
		if (!this.election.held() || !this.node.configuration().ready()) {
			stepDown("the lease is not held or no configuration is available");
			return;
		}
		if (!this.active) {
			this.active = true;
			this.poller.reset();
			this.log.emit(LogEvent.CONTROLLER_ACTIVE, this.node.settings().zone());
		}
		List<VmView> views = this.poller.pollAll();
		Optional<VersionedDocument> current = readTable();
		GroupTable table = current.map(GroupTable::decode)
			.orElseGet(() -> GroupTable.empty(this.node.settings().zone()));
		Configuration configuration = this.node.configuration();
		GroupPlan plan = GroupPlanner.plan(configuration, table, views, this.node.clock().wallMillis());
		if (!plan.changed() || write(current, plan)) {
			sendOrders(plan.table(), views);
		}
	}

	private void stepDown(String reason) {
		if (this.active) {
			this.active = false;
			this.log.emit(LogEvent.CONTROLLER_PASSIVE, this.node.settings().zone(), reason);
		}
	}

	private Optional<VersionedDocument> readTable() {
		PlatformStore.Snapshot snapshot = this.node.platform()
			.read(this.key.path(), 0)
			.orTimeout(PLATFORM_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.join();
		return snapshot.entries()
			.stream()
			.filter((entry) -> entry.key().equals(this.key.path()))
			.findFirst()
			.map((entry) -> new VersionedDocument(this.key, entry.revision(), entry.value()));
	}

	private boolean write(Optional<VersionedDocument> current, GroupPlan plan) {
		long baseRevision = current.map(VersionedDocument::revision).orElse(0L);
		String text = new String(Codec.JSON.encode(plan.table()), StandardCharsets.UTF_8);
		Envelope.Change change = new Envelope.Change(UUID.randomUUID().toString(), this.node.settings().id().value(),
				this.node.clock().wallMillis(), baseRevision);
		byte[] value = Envelope.of(change, text).encode();
		if (!this.election.held()) {
			return false;
		}
		PlatformStore.WriteResult result = this.node.platform()
			.write(this.key.path(), StorePosition.of(baseRevision), value, StoreLease.NONE)
			.orTimeout(PLATFORM_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.join();
		if (result.succeeded()) {
			this.node.accept(new VersionedDocument(this.key, result.revision(), value));
			plan.changes().forEach(this::logChange);
		}
		return result.succeeded();
	}

	private void logChange(GroupPlan.Change change) {
		switch (change.kind()) {
			case FORMED -> this.log.emit(LogEvent.GROUP_FORMED, change.name(), change.fence(), change.detail());
			case DISSOLVED -> this.log.emit(LogEvent.GROUP_DISSOLVED, change.name(), change.fence(), change.detail());
			case RELEASED -> this.log.emit(LogEvent.VM_RELEASED, change.name(), change.detail());
		}
	}

	private void sendOrders(GroupTable table, List<VmView> views) {
		Map<String, VmView> viewsById = views.stream()
			.collect(Collectors.toMap((view) -> view.vm().id(), Function.identity()));
		table.releasing()
			.stream()
			.filter((release) -> viewsById.containsKey(release.vm()) && !viewsById.get(release.vm()).released(release))
			.filter((release) -> viewsById.get(release.vm()).status().isPresent())
			.forEach((release) -> release(release, viewsById.get(release.vm()).vm()));
		LoadPlanner.next(this.node.configuration(), table, views).forEach((load) -> load(table, load));
	}

	private void release(GroupTable.Release release, Inventory.Vm vm) {
		String model = modelOf(vm);
		String kind = model.isEmpty() ? EngineOrder.UNLOAD : EngineOrder.HOLD;
		order(vm, new EngineOrder(kind, "", release.fence(), model, List.of()));
	}

	private void load(GroupTable table, LoadPlanner.Load load) {
		Inventory.Vm vm = load.view().vm();
		if (load.group().isEmpty()) {
			order(vm, new EngineOrder(EngineOrder.HOLD, "", table.lastFence(), modelOf(vm), List.of()));
			return;
		}
		GroupTable.Group group = load.group().get();
		Configuration configuration = this.node.configuration();
		List<Address> members = group.members()
			.stream()
			.map((member) -> configuration.vms().get(member).address())
			.toList();
		order(vm, new EngineOrder(EngineOrder.LOAD, group.id(), group.fence(), group.modelName(), members));
	}

	private String modelOf(Inventory.Vm vm) {
		Inventory.Pool pool = this.node.configuration().pools().get(vm.pool());
		return (pool != null && pool.kind() == PoolKind.MODEL) ? pool.modelName() : "";
	}

	private CompletableFuture<Void> order(Inventory.Vm vm, EngineOrder order) {
		String orderKey = vm.id() + " " + order.order() + " " + order.fence();
		ElapsedClock.Reading last = this.lastSent.get(orderKey);
		boolean sentRecently = last != null && this.node.clock().elapsedMillis(last) < ORDER_RETRY_MILLIS;
		if (sentRecently || (!this.election.held() && Mechanism.LEASE_CHECK.on())) {
			return CompletableFuture.completedFuture(null);
		}
		this.lastSent.put(orderKey, this.node.clock().now());
		this.log.emit(LogEvent.ORDER_SENT, order.order(), order.fence(), vm.id());
		return this.node.http()
			.exchangeOnNewConnection(vm.address(), HttpRequest.json("POST", "/orders", order), ORDER_TIMEOUT_MILLIS,
					MAX_REPLY_BYTES)
			.handle((reply, failure) -> {
				if (failure != null || !reply.successful()) {
					String reason = (failure != null) ? ServingException.from(failure).getMessage()
							: "status " + reply.status();
					this.log.emit(LogEvent.ORDER_FAILED, order.order(), order.fence(), vm.id(), reason);
				}
				return null;
			});
	}

}
