package org.monsoonvalve.core.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * A platform in memory that can be down and can lose answers.
 *
 * @author monsoonvalve maintainers
 */
public final class FakePlatformStore implements PlatformStore {

	private final Map<String, Entry> entries = new TreeMap<>();

	private final Map<String, Long> leaseOfKey = new TreeMap<>();

	private final Set<Long> leases = new HashSet<>();

	private long revision;

	private boolean down;

	private int answersToLose;

	public void down(boolean isDown) {
		this.down = isDown;
	}

	public void loseAnswers(int count) {
		this.answersToLose = count;
	}

	public void lapse(long leaseId) {
		this.leases.remove(leaseId);
		this.entries.keySet().removeIf((key) -> this.leaseOfKey.getOrDefault(key, 0L) == leaseId);
	}

	public void lapseAll() {
		new ArrayList<>(this.leases).forEach(this::lapse);
	}

	@Override
	public CompletableFuture<Snapshot> read(String prefix, long leastRevision) {
		return answer(false,
				() -> new Snapshot(this.revision,
						this.entries.values()
							.stream()
							.filter((entry) -> entry.key().startsWith(prefix) && entry.revision() >= leastRevision)
							.toList()));
	}

	@Override
	public CompletableFuture<WriteResult> write(String key, long expectedRevision, byte[] value, long leaseId) {
		return answer(true, () -> {
			Entry present = this.entries.get(key);
			if (((present != null) ? present.revision() : 0) != expectedRevision) {
				return new WriteResult(false, this.revision, present);
			}
			this.revision++;
			this.entries.put(key, new Entry(key, this.revision, value));
			this.leaseOfKey.put(key, leaseId);
			return new WriteResult(true, this.revision, null);
		});
	}

	@Override
	public CompletableFuture<WriteResult> delete(String key, long expectedRevision) {
		return answer(true, () -> {
			Entry present = this.entries.get(key);
			boolean same = present != null && present.revision() == expectedRevision;
			if (same) {
				this.revision++;
				this.entries.remove(key);
			}
			return new WriteResult(same, this.revision, present);
		});
	}

	@Override
	public CompletableFuture<Long> grantLease(long ttlSeconds) {
		return answer(true, () -> {
			long id = this.leases.size() + 1L + this.revision * 1000;
			this.leases.add(id);
			return id;
		});
	}

	@Override
	public CompletableFuture<Boolean> renewLease(long leaseId) {
		return answer(true, () -> this.leases.contains(leaseId));
	}

	@Override
	public CompletableFuture<Void> revokeLease(long leaseId) {
		return answer(true, () -> {
			lapse(leaseId);
			return null;
		});
	}

	private <T> CompletableFuture<T> answer(boolean write, Supplier<T> effect) {
		if (this.down) {
			return lost();
		}
		T result = effect.get();
		if (write && this.answersToLose > 0) {
			this.answersToLose--;
			return lost();
		}
		return CompletableFuture.completedFuture(result);
	}

	private static <T> CompletableFuture<T> lost() {
		return CompletableFuture.failedFuture(new ServingException(FailureCode.PLATFORM_UNAVAILABLE, "no answer"));
	}

	public List<Entry> all() {
		return List.copyOf(this.entries.values());
	}

}
