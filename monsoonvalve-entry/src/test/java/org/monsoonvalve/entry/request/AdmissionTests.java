package org.monsoonvalve.entry.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.core.version.Rules;
import org.testng.Assert;
import org.testng.annotations.Test;

public class AdmissionTests {

	private static Rules.Workspace workspace(String id, int priority, int weight) {
		return new Rules.Workspace(id, "", List.of(), priority, weight, 100);
	}

	private static List<CompletableFuture<Void>> ask(Admission admission, Rules.Workspace workspace, int count) {
		List<CompletableFuture<Void>> asked = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			asked.add(admission.acquire(workspace));
		}
		return asked;
	}

	private static long admitted(List<CompletableFuture<Void>> asked) {
		return asked.stream().filter(CompletableFuture::isDone).count();
	}

	@Test
	public void admitsUpToTheLimit() {
		Admission admission = Admission.of(() -> 2, 10_000);
		List<CompletableFuture<Void>> asked = ask(admission, workspace("w", 0, 1), 3);
		Assert.assertEquals(admitted(asked), 2);
		admission.release();
		Assert.assertEquals(admitted(asked), 3);
	}

	@Test
	public void aWorkspaceTenTimesOverItsShareWaitsBehindItself() {
		Admission admission = Admission.of(() -> 1, 10_000);
		ask(admission, workspace("running", 0, 1), 1);
		List<CompletableFuture<Void>> greedy = ask(admission, workspace("greedy", 0, 1), 50);
		List<CompletableFuture<Void>> modest = ask(admission, workspace("modest", 0, 1), 5);
		for (int i = 0; i < 10; i++) {
			admission.release();
		}
		Assert.assertEquals(admitted(modest), 5);
		Assert.assertEquals(admitted(greedy), 5);
	}

	@Test
	public void sharesFollowWeights() {
		Admission admission = Admission.of(() -> 1, 10_000);
		ask(admission, workspace("running", 0, 1), 1);
		List<CompletableFuture<Void>> heavy = ask(admission, workspace("heavy", 0, 3), 60);
		List<CompletableFuture<Void>> light = ask(admission, workspace("light", 0, 1), 60);
		for (int i = 0; i < 40; i++) {
			admission.release();
		}
		Assert.assertEquals(admitted(heavy), 30, 1);
		Assert.assertEquals(admitted(light), 10, 1);
	}

	@Test
	public void theHigherPriorityGoesFirst() {
		Admission admission = Admission.of(() -> 1, 10_000);
		ask(admission, workspace("running", 0, 1), 1);
		List<CompletableFuture<Void>> low = ask(admission, workspace("low", 0, 1), 1);
		List<CompletableFuture<Void>> high = ask(admission, workspace("high", 1, 1), 1);
		admission.release();
		Assert.assertEquals(admitted(high), 1);
		Assert.assertEquals(admitted(low), 0);
	}

	@Test
	public void refusesBeyondTheQueueLimit() {
		Admission admission = Admission.of(() -> 1, 10_000);
		ask(admission, workspace("w", 0, 1), 101);
		CompletionException thrown = Assert.expectThrows(CompletionException.class,
				() -> admission.acquire(workspace("w", 0, 1)).join());
		Assert.assertEquals(ServingException.from(thrown).code(), FailureCode.OVER_LIMIT);
	}

	@Test
	public void givesUpAfterTheLongestWait() {
		Admission admission = Admission.of(() -> 0, 20);
		CompletableFuture<Void> asked = admission.acquire(workspace("w", 0, 1));
		CompletionException thrown = Assert.expectThrows(CompletionException.class, asked::join);
		Assert.assertEquals(ServingException.from(thrown).code(), FailureCode.OVER_LIMIT);
		Assert.assertEquals(admission.queued(), 0);
	}

	@Test
	public void neverRunsMoreThanTheLimitUnderContention() throws InterruptedException {
		Admission admission = Admission.of(() -> 3, 10_000);
		java.util.concurrent.atomic.AtomicInteger running = new java.util.concurrent.atomic.AtomicInteger();
		java.util.concurrent.atomic.AtomicInteger most = new java.util.concurrent.atomic.AtomicInteger();
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			Rules.Workspace workspace = workspace("w" + i, i % 2, 1);
			threads.add(new Thread(() -> {
				for (int j = 0; j < 500; j++) {
					admission.acquire(workspace).join();
					most.accumulateAndGet(running.incrementAndGet(), Math::max);
					running.decrementAndGet();
					admission.release();
				}
			}));
		}
		threads.forEach(Thread::start);
		for (Thread thread : threads) {
			thread.join(30_000);
			Assert.assertFalse(thread.isAlive());
		}
		Assert.assertTrue(most.get() <= 3, "ran " + most);
	}

}
