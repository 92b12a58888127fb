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
 * Reads documents and the VM list from the platform. Two processes in each availability
 * zone read often; the others hear from peers and read now and then.
 *
 * @author monsoonvalve maintainers
 */
public final class PlatformReader {

	private static final long BYSTANDER_PERIOD_MILLIS = 10_000;

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

	private final AtomicBoolean answers = new AtomicBoolean(true);

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
	 * Reads the documents if it is this process's turn.
	 * @param ready tells whether a configuration is known
	 */
	void readInTurn(BooleanSupplier ready) {
		ElapsedClock.Reading last = this.lastRead.get();
		boolean due = last == null || this.clock.elapsedMillis(last) >= BYSTANDER_PERIOD_MILLIS;
		if (due || isReader() || !ready.getAsBoolean()) {
			read();
		}
	}

	/**
	 * Reads the documents that changed since the last read.
	 * @return whether the platform answered
	 */
	CompletableFuture<Boolean> read() {
		this.reads.incrementAndGet();
		this.lastRead.set(this.clock.now());
		long since = this.platformRevision.get();
		return this.platform.read(DocumentKey.PREFIX, (since > 0) ? since + 1 : 0).handle((snapshot, failure) -> {
			if (failure != null) {
				unanswered(ServingException.from(failure));
				return false;
			}
			answered(snapshot);
			return true;
		});
	}

	/**
	 * Reads the VM list if it is this process's turn, and tells peers of news at once.
	 */
	void readVmListInTurn() {
		if (!isReader()) {
			return;
		}
		this.vmList.read().thenAccept((content) -> {
			boolean news = content.vms()
				.stream()
				.filter((vm) -> VmList.Vm.LEAVING.equals(vm.state()))
				.map((vm) -> this.leavingVms.add(new PeerFrame.LeavingVm(vm.id(), 0)))
				.reduce(false, Boolean::logicalOr);
			if (news) {
				this.exchange.gossipUrgently();
			}
		});
	}

	/**
	 * Returns how often the documents were read.
	 * @return the reads since the start
	 */
	public long readCount() {
		return this.reads.get();
	}

	/**
	 * Tells whether the platform answered the last read.
	 * @return {@code false} during an outage
	 */
	public boolean platformAnswers() {
		return this.answers.get();
	}

	private boolean isReader() {
		long before = this.membership.live()
			.stream()
			.filter((member) -> member.zone().equals(this.settings.zone()) && !member.leaving())
			.filter((member) -> member.id().compareTo(this.settings.id().value()) < 0)
			.count();
		return before < READERS_PER_ZONE;
	}

	private void answered(PlatformStore.Snapshot snapshot) {
		if (!this.answers.getAndSet(true)) {
			this.log.emit(LogEvent.PLATFORM_BACK);
		}
		snapshot.entries()
			.forEach((entry) -> this.exchange
				.accept(new VersionedDocument(new DocumentKey(entry.key()), entry.revision(), entry.value())));
		this.platformRevision.accumulateAndGet(snapshot.revision(), Math::max);
	}

	private void unanswered(ServingException failure) {
		if (this.answers.getAndSet(false)) {
			this.log.emit(LogEvent.PLATFORM_LOST, failure.getMessage());
		}
	}

}
