package org.monsoonvalve.core.connection;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableSet;
import java.util.Queue;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * A single-threaded event loop for the sockets, timers and tasks of a process. State that
 * is confined to its thread needs no lock, and a single thread keeps wake-ups few on a
 * small VM.
 *
 * @author monsoonvalve maintainers
 */
public final class EventLoop implements Executor, AutoCloseable {

	/** Longest wait of one select call; a due timer or a new task ends it earlier. */
	private static final long MAX_SELECT_MILLIS = 30_000;

	/** Longest wait for the loop's thread to end. */
	private static final long MAX_CLOSE_MILLIS = 2000;

	private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

	/** Timers in the order in which they are due; a cancelled one is removed at once. */
	private final NavigableSet<Timer> timers = new TreeSet<>();

	private List<Runnable> afterNextSelect = new ArrayList<>();

	private List<Runnable> afterThisSelect = new ArrayList<>();

	private final Consumer<Throwable> onTaskFailure;

	private final TCPNIOTransport transport;

	private volatile Thread thread;

	private volatile Selector selector;

	private long nextTimerSequence;

	private EventLoop(Consumer<Throwable> onTaskFailure) {
		this.onTaskFailure = onTaskFailure;
		this.transport = TCPNIOTransportBuilder.newInstance()
			.setIOStrategy(SameThreadIOStrategy.getInstance())
			.setSelectorHandler(new LoopSelectorHandler())
			.setSelectorRunnersCount(1)
			.setTcpNoDelay(true)
			.setReuseAddress(true)
			.build();
	}

	/**
	 * Starts an event loop.
	 * @param onTaskFailure receives what tasks and timers throw, after which the loop
	 * continues; an error of the virtual machine ends the process, as what it interrupted
	 * is left in an unknown state
	 * @return the loop
	 * @throws UncheckedIOException if the transport cannot start
	 */
	public static EventLoop start(Consumer<Throwable> onTaskFailure) {
		EventLoop loop = new EventLoop(onTaskFailure);
		try {
			loop.transport.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return loop;
	}

	/**
	 * Queues a task to run on the loop's thread. May be called on any thread.
	 * @param task the task
	 */
	@Override
	public void execute(Runnable task) {
		this.tasks.add(task);
		Selector current = this.selector;
		if (current != null && !inLoop()) {
			current.wakeup();
		}
	}

	/**
	 * Runs a task immediately if called on the loop's thread, and queues it otherwise.
	 * @param task the task
	 */
	public void runInLoop(Runnable task) {
		if (inLoop()) {
			task.run();
		}
		else {
			execute(task);
		}
	}

	/**
	 * Runs a task after the sockets have been read once more, so that it can rely on what
	 * had arrived by now, such as the end of a connection. May be called on any thread.
	 * @param task the task
	 */
	public void runAfterNextRead(Runnable task) {
		runInLoop(() -> this.afterNextSelect.add(task));
	}

	/**
	 * Runs a task once after a delay. Must be called on the loop's thread.
	 * @param delayMillis the delay, in milliseconds
	 * @param task the task
	 * @return the timer, which can be cancelled
	 */
	public Timer schedule(long delayMillis, Runnable task) {
		Timer timer = new Timer(nowMillis() + Math.max(0, delayMillis), this.nextTimerSequence++, task);
		this.timers.add(timer);
		return timer;
	}

	/**
	 * Runs a task repeatedly with a fixed delay between runs. May be called on any
	 * thread.
	 * @param delayMillis the delay before the first run and after each run, in
	 * milliseconds
	 * @param task the task
	 */
	public void scheduleWithFixedDelay(long delayMillis, Runnable task) {
		execute(() -> schedule(delayMillis, () -> {
			try {
				task.run();
			}
			finally {
				scheduleWithFixedDelay(delayMillis, task);
			}
		}));
	}

	/**
	 * Tells whether the current thread is the loop's thread.
	 * @return {@code true} on the loop's thread
	 */
	public boolean inLoop() {
		return Thread.currentThread() == this.thread;
	}

	/**
	 * Reads the monotonic clock that timers use.
	 * @return the milliseconds since an arbitrary instant
	 */
	public static long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * Stops the loop and closes its sockets. Their addresses are free once this returns,
	 * unless it is called on the loop's thread.
	 */
	@Override
	public void close() {
		Thread running = this.thread;
		try {
			this.transport.shutdownNow();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		if (running != null && !inLoop()) {
			awaitEnd(running);
		}
	}

	// The loop's thread closes the sockets as it ends.
	private static void awaitEnd(Thread thread) {
		try {
			thread.join(MAX_CLOSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	TCPNIOTransport transport() {
		return this.transport;
	}

	private void runTasksAndDueTimers() {
		for (Runnable task = this.tasks.poll(); task != null; task = this.tasks.poll()) {
			runAndReportFailure(task);
		}
		List<Runnable> due = this.afterThisSelect;
		this.afterThisSelect = this.afterNextSelect;
		this.afterNextSelect = new ArrayList<>();
		due.forEach(this::runAndReportFailure);
		long now = nowMillis();
		while (!this.timers.isEmpty() && this.timers.first().dueMillis <= now) {
			runAndReportFailure(this.timers.pollFirst().task);
		}
	}

	private void runAndReportFailure(Runnable task) {
		try {
			task.run();
		}
		catch (VirtualMachineError ex) {
			throw ex;
		}
		catch (RuntimeException | Error ex) {
			this.onTaskFailure.accept(ex);
		}
	}

	private boolean hasWork() {
		return !this.tasks.isEmpty() || !this.afterThisSelect.isEmpty() || !this.afterNextSelect.isEmpty();
	}

	private long selectTimeoutMillis() {
		return this.timers.isEmpty() ? MAX_SELECT_MILLIS
				: Math.min(MAX_SELECT_MILLIS, this.timers.first().dueMillis - nowMillis());
	}

	/**
	 * A task that runs once unless it is cancelled.
	 */
	public final class Timer implements Comparable<Timer> {

		private final long dueMillis;

		private final long sequence;

		private final Runnable task;

		private Timer(long dueMillis, long sequence, Runnable task) {
			this.dueMillis = dueMillis;
			this.sequence = sequence;
			this.task = task;
		}

		/**
		 * Prevents the task from running, and drops it. Has no effect once the task runs.
		 * Must be called on the loop's thread.
		 */
		public void cancel() {
			EventLoop.this.timers.remove(this);
		}

		@Override
		public int compareTo(Timer other) {
			int byTime = Long.compare(this.dueMillis, other.dueMillis);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

		@Override
		public boolean equals(Object other) {
			return this == other;
		}

		@Override
		public int hashCode() {
			return System.identityHashCode(this);
		}

	}

	private final class LoopSelectorHandler extends DefaultSelectorHandler {

		@Override
		public boolean preSelect(SelectorRunner runner) throws IOException {
			EventLoop.this.thread = Thread.currentThread();
			EventLoop.this.selector = runner.getSelector();
			boolean proceed = super.preSelect(runner);
			runTasksAndDueTimers();
			return proceed;
		}

		@Override
		public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
			Selector current = runner.getSelector();
			long timeoutMillis = hasWork() ? 0 : selectTimeoutMillis();
			if (timeoutMillis > 0 && runner.getPostponedTasks().isEmpty()) {
				current.select(timeoutMillis);
			}
			else {
				current.selectNow();
			}
			return current.selectedKeys();
		}

	}

}
