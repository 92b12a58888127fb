package org.monsoonvalve.core.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.VmList;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.core.version.DocumentKey;
import org.monsoonvalve.core.version.VersionedDocument;

/**
 * Reads documents and the VM list from the platform. The first two processes of each
 * availability zone, by identifier, read frequently; the others receive changes from
 * peers and read documents only occasionally.
 *
 * @author monsoonvalve maintainers
 */
public final class PlatformReader {

	private static final long NON_READER_PERIOD_MILLIS = 10_000;

	private static final int READERS_PER_ZONE = 2;

	private final EventLog log = EventLog.of(PlatformReader.class);

	private final NodeSettings settings;

	private final PlatformStore platform;

	private final VmList vmList;

	private final Membership membership;

	private final LeavingVms leavingVms;

	private final PeerExchange exchange;

	private final ElapsedClock clock;

	private final AtomicLong platformRevision = new AtomicLong();

	private final AtomicLong reads = new AtomicLong();

	private final AtomicBoolean reachable = new AtomicBoolean(true);

	private final AtomicReference<ElapsedClock.Reading> lastRead = new AtomicReference<>();

	PlatformReader(NodeSettings settings, PlatformStore platform, VmList vmList, Membership membership,
			LeavingVms leavingVms, PeerExchange exchange, ElapsedClock clock) {
		this.settings = settings;
		this.platform = platform;
		this.vmList = vmList;
		this.membership = membership;
		this.leavingVms = leavingVms;
		this.exchange = exchange;
		this.clock = clock;
	}

	/**
	 * Reads the documents if this process is a reader, has no configuration yet, or read
	 * last too long ago.
	 * @param ready tells whether a configuration is known
	 */
	void readIfDue(BooleanSupplier ready) {
		ElapsedClock.Reading last = this.lastRead.get();
		boolean due = last == null || this.clock.elapsedMillis(last) >= NON_READER_PERIOD_MILLIS;
		if (due || isReader() || !ready.getAsBoolean()) {
			read();
		}
	}

	/**
	 * Reads the documents that changed since the last read.
	 * @return {@code true} if the platform answered, {@code false} if the read failed
	 */
	CompletableFuture<Boolean> read() {
		this.reads.incrementAndGet();
		this.lastRead.set(this.clock.now());
		long lastRevision = this.platformRevision.get();
		return this.platform.read(DocumentKey.PREFIX, (lastRevision > 0) ? lastRevision + 1 : 0)
			.handle((snapshot, failure) -> {
				if (failure != null) {
					handleFailure(ServingException.from(failure));
					return false;
				}
				handleSnapshot(snapshot);
				return true;
			});
	}

	/**
	 * Reads the VM list if this process is a reader, and gossips newly leaving VMs
	 * immediately.
	 */
	void readVmListIfReader() {
		if (!isReader()) {
			return;
		}
		this.vmList.read().thenAccept((content) -> {
			boolean added = content.vms()
				.stream()
				.filter((vm) -> VmList.Vm.LEAVING.equals(vm.state()))
				.map((vm) -> this.leavingVms.add(new PeerFrame.LeavingVm(vm.id(), 0)))
				.reduce(false, Boolean::logicalOr);
			if (added) {
				this.exchange.gossipUrgently();
			}
		});
	}

	/**
	 * Returns how often the documents were read from the platform.
	 * @return the number of reads started since the process started
	 */
	public long readCount() {
		return this.reads.get();
	}

	/**
	 * Tells whether the platform answered the last read.
	 * @return {@code false} if the last read to complete failed
	 */
	public boolean platformAnswers() {
		return this.reachable.get();
	}

	private boolean isReader() {
		long precedingMembers = this.membership.live()
			.stream()
			.filter((member) -> member.zone().equals(this.settings.zone()) && !member.leaving())
			.filter((member) -> member.id().compareTo(this.settings.id().value()) < 0)
			.count();
		return precedingMembers < READERS_PER_ZONE;
	}

	private void handleSnapshot(PlatformStore.Snapshot snapshot) {
		if (!this.reachable.getAndSet(true)) {
			this.log.emit(LogEvent.PLATFORM_BACK);
		}
		snapshot.entries()
			.forEach((entry) -> this.exchange
				.accept(new VersionedDocument(new DocumentKey(entry.key()), entry.revision(), entry.value())));
		this.platformRevision.accumulateAndGet(snapshot.revision(), Math::max);
	}

	private void handleFailure(ServingException failure) {
		if (this.reachable.getAndSet(false)) {
			this.log.emit(LogEvent.PLATFORM_LOST, failure.getMessage());
		}
	}

}
