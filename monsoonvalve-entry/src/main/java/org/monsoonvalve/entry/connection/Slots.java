package org.monsoonvalve.entry.connection;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.EndpointStatus;
import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StoreLease;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.process.EventLog;
import org.monsoonvalve.core.process.LeaseElection;
import org.monsoonvalve.core.process.LogEvent;
import org.monsoonvalve.core.process.Node;
import org.monsoonvalve.core.version.Configuration;
import org.monsoonvalve.core.version.Inventory;

/**
 * Obtains cold-start slots from the issuer of the endpoint's availability zone, which is
 * this process while it holds the zone's lease.
 *
 * @author monsoonvalve maintainers
 */
public final class Slots {

	private static final long ISSUER_TIMEOUT_MILLIS = 700;

	private static final long ELECTION_PERIOD_MILLIS = 1000;

	private static final byte[] ISSUING = "issuing".getBytes(StandardCharsets.UTF_8);

	private static final byte[] CLEAN = "clean".getBytes(StandardCharsets.UTF_8);

	private final Node node;

	private final SlotIssuer issuer;

	private final SlotIssuer reserveIssuer;

	private final ReserveTerm reserveTerm;

	private final EventLog log = EventLog.of(Slots.class);

	private final LeaseElection election;

	private final String markerKey;

	private final AtomicReference<Boolean> takenOver = new AtomicReference<>();

	private final AtomicBoolean resigned = new AtomicBoolean();

	private Slots(Node node) {
		this.node = node;
		this.issuer = SlotIssuer.of(node.clock());
		this.reserveIssuer = SlotIssuer.of(node.clock());
		this.reserveTerm = ReserveTerm.of(node.clock());
		this.election = LeaseElection.of(node.platform(), node.clock(), "slots/" + node.settings().zone(),
				node.settings().id(),
				(failure) -> this.log.emit(LogEvent.TASK_FAILED, "election of the slot issuer", failure.getMessage()));
		this.markerKey = "monsoonvalve/slot-terms/" + node.settings().zone();
	}

	/**
	 * Starts obtaining, and if elected issuing, slots.
	 * @param node this process
	 * @return the slots
	 */
	public static Slots start(Node node) {
		Slots slots = new Slots(node);
		node.exchange().onOtherFrame(slots::received);
		node.every("slot-election", ELECTION_PERIOD_MILLIS, slots::elect);
		return slots;
	}

	/**
	 * Asks for a slot.
	 * @param vm the cold endpoint's VM
	 * @param status what the endpoint said of itself
	 * @param capacity how many requests a cold endpoint takes at once
	 * @return the slot, empty if none is to be had
	 */
	public CompletableFuture<Optional<Slot>> obtain(Inventory.Vm vm, EndpointStatus status, int capacity) {
		Optional<String> reserve = this.node.configuration().coldReserve(vm.availabilityZone());
		PeerFrame.SlotRequest request = new PeerFrame.SlotRequest(UUID.randomUUID().toString(),
				this.node.settings().id().value(), vm.id(), status.bootId(), status.uptimeMillis(),
				reserve.isPresent() ? capacity - 1 : capacity);
		if (reserve.filter(this.node.settings().id().value()::equals).isPresent()) {
			Optional<String> reserved = this.reserveIssuer.issue(request.withCapacity(1), this.reserveTerm.term());
			if (reserved.isPresent()) {
				return CompletableFuture.completedFuture(reserved.map(this::reservedSlot));
			}
		}
		boolean ownZone = vm.availabilityZone().equals(this.node.settings().zone());
		if (ownZone && issuing()) {
			Optional<String> issued = this.issuer.issue(request, term());
			return CompletableFuture.completedFuture(issued.map((id) -> new Slot(id, () -> this.issuer.release(id))));
		}
		Optional<Address> holder = this.node.membership().slotIssuer(vm.availabilityZone());
		if (holder.isEmpty()) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		return this.node.exchange()
			.transport()
			.ask(holder.get(), request, ISSUER_TIMEOUT_MILLIS)
			.handle((answer, failure) -> remoteSlot(holder.get(), request.slotId(), answer));
	}

	/**
	 * Works out how many slots this issuer may issue for an endpoint.
	 * @param name the endpoint's VM
	 * @return the number of slots, without a reserved one
	 */
	private int capacityOf(String name) {
		Configuration configuration = this.node.configuration();
		Inventory.Vm vm = configuration.vms().get(name);
		if (vm == null) {
			return 0;
		}
		int reserved = configuration.coldReserve(vm.availabilityZone()).isPresent() ? 1 : 0;
		return configuration.pools().get(vm.pool()).coldSlots() - reserved;
	}

	private Slot reservedSlot(String id) {
		return new Slot(id, () -> this.reserveIssuer.release(id));
	}

	/**
	 * Gives up issuing, so that another process can take over at once.
	 * @return completed when it was given up
	 */
	public CompletableFuture<Void> resign() {
		boolean clean = issuing() && this.issuer.outstanding() == 0;
		this.resigned.set(true);
		this.takenOver.set(null);
		this.node.setSlotIssuer(false);
		return (clean ? markClean() : CompletableFuture.<Void>completedFuture(null)).thenRun(this.election::resign);
	}

	/**
	 * Takes the issuer's answer; when there is none, gives back what the issuer may have
	 * issued.
	 * @param holder the issuer
	 * @param slotId the slot that was asked for
	 * @param answer the answer, {@code null} without one
	 * @return the slot, if it was issued
	 */
	private Optional<Slot> remoteSlot(Address holder, String slotId, PeerFrame answer) {
		PeerFrame release = new PeerFrame.SlotRelease(slotId);
		Runnable giveBack = () -> this.node.exchange().transport().ask(holder, release, ISSUER_TIMEOUT_MILLIS);
		if (answer instanceof PeerFrame.SlotReply reply) {
			return reply.slotId().isEmpty() ? Optional.empty() : Optional.of(new Slot(slotId, giveBack));
		}
		giveBack.run();
		return Optional.empty();
	}

	private CompletableFuture<PeerFrame> received(PeerFrame frame) {
		if (frame instanceof PeerFrame.SlotRequest asked) {
			PeerFrame.SlotRequest request = asked.withCapacity(Math.min(asked.capacity(), capacityOf(asked.vm())));
			Optional<String> issued = this.election.held() ? this.issuer.issue(request, term()) : Optional.empty();
			return CompletableFuture.completedFuture(new PeerFrame.SlotReply(issued.orElse("")));
		}
		if (frame instanceof PeerFrame.SlotRelease release) {
			this.issuer.release(release.slotId());
		}
		return CompletableFuture.completedFuture(new PeerFrame.Ack());
	}

	private void elect() {
		String self = this.node.settings().id().value();
		this.reserveTerm.update(this.node.configuration()
			.inventory()
			.availabilityZones()
			.stream()
			.anyMatch((zone) -> self.equals(zone.coldReserve())));
		if (this.resigned.get()) {
			return;
		}
		this.election.tick(this.node.leaseCandidate());
		if (!this.election.held()) {
			this.takenOver.set(null);
			this.issuer.clear();
		}
		else if (this.takenOver.get() == null) {
			takeOver();
		}
		this.node.setSlotIssuer(issuing());
	}

	private boolean issuing() {
		return this.takenOver.get() != null && this.election.held();
	}

	private SlotIssuer.Term term() {
		return new SlotIssuer.Term(this.election.heldMillis(), Boolean.TRUE.equals(this.takenOver.get()));
	}

	private void takeOver() {
		this.node.platform().read(this.markerKey, 0).thenCompose((snapshot) -> {
			Optional<PlatformStore.Entry> marker = snapshot.entries().stream().findFirst();
			boolean clean = marker.isEmpty() || Arrays.equals(marker.get().value(), CLEAN);
			StorePosition position = marker.map(PlatformStore.Entry::position).orElse(StorePosition.NONE);
			return this.node.platform()
				.write(this.markerKey, position, ISSUING, StoreLease.NONE)
				.thenAccept((written) -> {
					if (written.succeeded()) {
						this.takenOver.set(clean);
					}
				});
		}).exceptionally((failure) -> null);
	}

	private CompletableFuture<Void> markClean() {
		return this.node.platform().read(this.markerKey, 0).thenCompose((snapshot) -> {
			StorePosition position = snapshot.entries()
				.stream()
				.findFirst()
				.map(PlatformStore.Entry::position)
				.orElse(StorePosition.NONE);
			return this.node.platform().write(this.markerKey, position, CLEAN, StoreLease.NONE);
		}).handle((written, failure) -> null);
	}

	/**
	 * The right to send one request to a cold endpoint.
	 *
	 * @param id the slot's identifier
	 * @param release gives the slot back
	 */
	public record Slot(String id, Runnable release) {

	}

}
