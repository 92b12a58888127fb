package org.monsoonvalve.admission.connection;

import org.monsoonvalve.admission.request.WorkSize;

/**
 * Sums up the requests of this process at one engine. Each change has a constant cost.
 * The sums are whole numbers, so that adding and subtracting a request leaves no error.
 * Not thread-safe.
 *
 * @author monsoonvalve maintainers
 */
public final class RunningRequests {

	private int requests;

	private long contextTokens;

	private long promptTokens;

	private long promptPairs;

	private long remainingTokens;

	private long remainingSquares;

	/**
	 * Adds a request that is sent to the engine.
	 * @param size the size of the request
	 * @param tokensPerEvent the tokens of each event of its stream
	 * @return the request, which must be ended
	 */
	public Running start(WorkSize size, int tokensPerEvent) {
		return new Running(size, tokensPerEvent);
	}

	/**
	 * Returns the load that the requests are.
	 * @return the load
	 */
	public EngineLoad load() {
		return (this.requests == 0) ? EngineLoad.none() : new EngineLoad(this.requests, this.contextTokens,
				this.promptTokens, this.promptPairs, this.remainingTokens, this.remainingSquares);
	}

	/**
	 * A request at the engine.
	 */
	public final class Running {

		private final WorkSize size;

		private final int tokensPerEvent;

		private boolean prompting = true;

		private boolean ended;

		private long context;

		private long remaining;

		private Running(WorkSize size, int tokensPerEvent) {
			this.size = size;
			this.tokensPerEvent = Math.max(1, tokensPerEvent);
			RunningRequests.this.requests++;
			RunningRequests.this.promptTokens += size.promptTokens();
			RunningRequests.this.promptPairs += size.promptPairs();
			setRemaining(Math.max(this.tokensPerEvent, size.outputTokens()));
		}

		/**
		 * Records events of the stream. The first one shows that the prompt has been
		 * processed.
		 * @param events the number of events
		 * @return {@code true} if the first event is among them
		 */
		public boolean eventsArrived(int events) {
			if (this.ended || events <= 0) {
				return false;
			}
			boolean first = this.prompting;
			endPrompt();
			long generated = (long) events * this.tokensPerEvent;
			addContext((first ? this.size.promptTokens() : 0) + generated);
			// The estimate of the output may be too low; a stream that goes on has at
			// least one more event.
			setRemaining(Math.max(this.tokensPerEvent, this.remaining - generated));
			return first;
		}

		/**
		 * Removes the request. Calls after the first one have no effect.
		 */
		public void end() {
			if (!this.ended) {
				endPrompt();
				addContext(-this.context);
				setRemaining(0);
				this.ended = true;
				RunningRequests.this.requests--;
			}
		}

		private void endPrompt() {
			if (this.prompting) {
				this.prompting = false;
				RunningRequests.this.promptTokens -= this.size.promptTokens();
				RunningRequests.this.promptPairs -= this.size.promptPairs();
			}
		}

		private void addContext(long tokens) {
			this.context += tokens;
			RunningRequests.this.contextTokens += tokens;
		}

		private void setRemaining(long tokens) {
			RunningRequests.this.remainingTokens += tokens - this.remaining;
			RunningRequests.this.remainingSquares += tokens * tokens - this.remaining * this.remaining;
			this.remaining = tokens;
		}

	}

}
