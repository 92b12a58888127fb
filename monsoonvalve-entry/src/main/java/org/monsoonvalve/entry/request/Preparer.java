package org.monsoonvalve.entry.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.monsoonvalve.core.connection.EndpointStatus;
import org.monsoonvalve.core.process.ElapsedClock;
import org.monsoonvalve.core.process.Mechanism;
import org.monsoonvalve.core.process.Node;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.core.version.GroupTable;
import org.monsoonvalve.core.version.Inventory;
import org.monsoonvalve.entry.connection.Endpoint;
import org.monsoonvalve.entry.connection.Endpoints;
import org.monsoonvalve.entry.connection.Slots;
import org.monsoonvalve.entry.version.Target;
import org.monsoonvalve.entry.version.TargetTable;

/**
 * Makes targets ready for requests.
 *
 * @author monsoonvalve maintainers
 */
public final class Preparer {

	private static final long EVIDENCE_REUSE_MILLIS = 400;

	private static final long EVIDENCE_VALID_MILLIS = 900;

	private final Node node;

	private final Endpoints endpoints;

	private final Slots slots;

	private final AtomicReference<TargetTable> table = new AtomicReference<>();

	private Preparer(Node node, Endpoints endpoints, Slots slots) {
		this.node = node;
		this.endpoints = endpoints;
		this.slots = slots;
	}

	/**
	 * Creates a preparer.
	 * @param node this process
	 * @param endpoints the endpoints
	 * @param slots obtains cold-start slots
	 * @return the preparer
	 */
	public static Preparer of(Node node, Endpoints endpoints, Slots slots) {
		return new Preparer(node, endpoints, slots);
	}

	/**
	 * Returns the targets for the configuration in force.
	 * @return the targets
	 */
	public TargetTable targets() {
		return TargetTable.cached(this.table, this.node.configuration());
	}

	/**
	 * Tells whether a VM is about to be taken away.
	 * @param vm the VM's name
	 * @return {@code true} if the platform's VM list says so
	 */
	public boolean leaving(String vm) {
		return Mechanism.LEAVING.on() && this.node.leavingVms().contains(vm);
	}

	/**
	 * Makes a target ready for one request.
	 * @param target the target
	 * @return the prepared target, or a {@link ServingException} whose run state is
	 * {@code not-run}
	 */
	public CompletableFuture<Prepared> prepare(Target target) {
		Endpoint leader = this.endpoints.get(target.leader());
		if (!leader.knownCold() || !Mechanism.COLD_SLOTS.on()) {
			return followersReady(target).thenCompose((evidence) -> leaderReady(target, evidence));
		}
		if (!leader.beginColdTry()) {
			return CompletableFuture.failedFuture(noSlot(target));
		}
		return followersReady(target).thenCompose((evidence) -> leaderReady(target, evidence))
			.whenComplete((prepared, failure) -> leader.endColdTry(failure != null));
	}

	private static ServingException noSlot(Target target) {
		return new ServingException(FailureCode.NO_CAPACITY, target.id() + " is cold and has no free cold-start slot");
	}

	private CompletableFuture<List<Endpoint.Observation>> followersReady(Target target) {
		List<CompletableFuture<Endpoint.Observation>> asked = new ArrayList<>();
		if (Mechanism.MEMBER_EVIDENCE.on()) {
			target.followers()
				.forEach((vm) -> asked.add(this.endpoints.get(vm)
					.observe(EVIDENCE_REUSE_MILLIS)
					.thenApply((seen) -> checkedMember(target, vm, seen))));
		}
		return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
			.thenApply((all) -> asked.stream().map(CompletableFuture::join).toList());
	}

	private CompletableFuture<Prepared> leaderReady(Target target, List<Endpoint.Observation> evidence) {
		Endpoint leader = this.endpoints.get(target.leader());
		return leader.checkedConnection().thenCompose((checked) -> {
			try {
				checkedMember(target, target.leader(), checked.observation());
			}
			catch (ServingException ex) {
				leader.release(checked.connection());
				return CompletableFuture.failedFuture(ex);
			}
			return withSlot(target, leader, checked)
				.thenApply((slotted) -> prepared(target, leader, slotted, evidence));
		});
	}

	private Prepared prepared(Target target, Endpoint leader, Slotted slotted, List<Endpoint.Observation> evidence) {
		List<Endpoint.Observation> all = new ArrayList<>(evidence);
		all.add(slotted.checked().observation());
		return new Prepared(target, leader, slotted.checked().connection(), slotted.slot(),
				() -> fresh(all) && targets().stillInService(target, this::leaving));
	}

	private boolean fresh(List<Endpoint.Observation> evidence) {
		ElapsedClock clock = this.node.clock();
		return !Mechanism.PREFLIGHT.on()
				|| evidence.stream().allMatch((seen) -> clock.elapsedMillis(seen.at()) <= EVIDENCE_VALID_MILLIS);
	}

	private CompletableFuture<Slotted> withSlot(Target target, Endpoint leader, Endpoint.Checked checked) {
		EndpointStatus status = checked.observation().status();
		if (status.warm() || !Mechanism.COLD_SLOTS.on()) {
			return CompletableFuture.completedFuture(new Slotted(checked, Optional.empty()));
		}
		return this.slots.obtain(target.leader(), status, target.pool().coldSlots()).thenCompose((slot) -> {
			if (slot.isEmpty()) {
				leader.release(checked.connection());
				return CompletableFuture.failedFuture(noSlot(target));
			}
			return recheck(leader, checked, slot.get());
		});
	}

	private CompletableFuture<Slotted> recheck(Endpoint leader, Endpoint.Checked checked, Slots.Slot slot) {
		String bootId = checked.observation().status().bootId();
		return leader.check(checked.connection()).thenApply((again) -> {
			if (!again.observation().status().bootId().equals(bootId)) {
				again.connection().close();
				throw new ServingException(FailureCode.UNREACHABLE, leader.vm().id() + " restarted");
			}
			return new Slotted(again, Optional.of(slot));
		}).whenComplete((slotted, failure) -> {
			if (failure != null) {
				slot.release().run();
			}
		});
	}

	private Endpoint.Observation checkedMember(Target target, Inventory.Vm vm, Endpoint.Observation seen) {
		EndpointStatus status = seen.status();
		if (status.leaving() && Mechanism.LEAVING.on()) {
			throw new ServingException(FailureCode.UNREACHABLE, vm.id() + " is leaving");
		}
		if (target.group().isPresent() && Mechanism.MEMBER_EVIDENCE.on()) {
			checkGroup(target.group().get(), vm, status);
		}
		return seen;
	}

	private static void checkGroup(GroupTable.Group group, Inventory.Vm vm, EndpointStatus status) {
		boolean member = group.id().equals(status.group()) && group.fence() == status.fence();
		boolean loaded = group.modelName().equals(status.model());
		if (!member || !loaded || !status.groupComplete()) {
			throw new ServingException(FailureCode.UNREACHABLE,
					vm.id() + " does not confirm that group " + group.id() + " is complete");
		}
	}

	private record Slotted(Endpoint.Checked checked, Optional<Slots.Slot> slot) {

	}

}
