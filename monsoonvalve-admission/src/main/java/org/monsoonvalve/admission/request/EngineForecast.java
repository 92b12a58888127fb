package org.monsoonvalve.admission.request;

import org.monsoonvalve.admission.connection.EngineLoad;
import org.monsoonvalve.admission.version.EngineTimings;

/**
 * Forecasts requests at the engines of a model from their timings and load. It has no
 * state, so that a decision can evaluate it for each endpoint.
 * <p>
 * A request waits for the end of the pass in progress, which takes half a pass on
 * average, then for a slot and for the prompts that arrived before its own, whichever
 * takes longer, as the engine processes them while the slots are in use. Its own prompt
 * and one pass follow until its first event. Prompts are processed between the steps of
 * running requests, at most a chunk per step. In each later pass, the engine also
 * processes the prompts of the requests that take the place of those that end.
 *
 * @author monsoonvalve maintainers
 */
public final class EngineForecast {

	/** The mean part of the pass in progress that remains when a request arrives. */
	private static final double REMAINING_PART_OF_PASS = 0.5;

	/** Half the width of a uniform distribution per standard deviation. */
	private static final double HALF_WIDTH_PER_DEVIATION = Math.sqrt(3);

	private static final double SQUARES_OF_UNIFORM = 1.0 / 3;

	private final EngineTimings timings;

	private final double pace;

	private final WorkSize usual;

	private final int slots;

	private final double usualOutputTokens;

	private final double usualPromptMillis;

	private final double usualContextTokens;

	private EngineForecast(EngineTimings timings, double pace, WorkSize usual) {
		this.timings = timings;
		this.pace = pace;
		this.usual = usual;
		this.slots = Math.max(1, timings.slots());
		this.usualOutputTokens = Math.max(1, usual.outputTokens());
		this.usualContextTokens = usual.promptTokens() + this.usualOutputTokens / 2;
		this.usualPromptMillis = timings.promptMillis(usual.promptTokens(), usual.promptPairs());
	}

	/**
	 * Creates the forecast of a model's engines.
	 * @param timings the timings of the engines
	 * @param pace the factor that the model applies to all times
	 * @param usual the mean size of a request
	 * @return the forecast
	 */
	public static EngineForecast of(EngineTimings timings, double pace, WorkSize usual) {
		return new EngineForecast(timings, pace, usual);
	}

	/**
	 * Forecasts a request that is sent now.
	 * @param size the size of the request
	 * @param own the load from requests of this process
	 * @param otherRequests the expected number of other processes' requests, running and
	 * queued, which are assumed to have the usual size
	 * @return the forecast
	 */
	public Forecast forecast(WorkSize size, EngineLoad own, double otherRequests) {
		double others = Math.max(0, otherRequests);
		double running = Math.min(own.requests() + others, this.slots);
		double laterStep = laterStepMillis(size, own, others, running);
		double first = firstEventMillis(size, own, others);
		double gap = this.pace * this.timings.stepsPerPass() * withLaterPrompts(laterStep, running);
		double laterEvents = Math.max(0, Math.ceil((double) size.outputTokens() / eventTokens()) - 1);
		return new Forecast(first, gap, first + laterEvents * gap);
	}

	/**
	 * Forecasts only the first event. A decision compares many endpoints, so this
	 * allocates nothing while slots are free.
	 * @param size the size of the request
	 * @param own the load from requests of this process
	 * @param otherRequests the expected number of other processes' requests, running and
	 * queued, which are assumed to have the usual size
	 * @return the time from sending the request to its first event, in milliseconds
	 */
	public double firstEventMillis(WorkSize size, EngineLoad own, double otherRequests) {
		double others = Math.max(0, otherRequests);
		double requests = own.requests() + others;
		double running = Math.min(requests, this.slots);
		double step = this.timings.stepMillis(running, contextTokens(own, others, running));
		double laterStep = laterStepMillis(size, own, others, running);
		double prompts = unprocessedPrompts(others);
		double promptsAhead = promptMillis(own.promptTokens() + prompts * this.usual.promptTokens(),
				own.promptPairs() + prompts * this.usual.promptPairs(), step);
		return this.pace * (REMAINING_PART_OF_PASS * this.timings.stepsPerPass() * step * Math.min(1, requests)
				+ Math.max(slotWaitMillis(own, others, step), promptsAhead)
				+ promptMillis(size.promptTokens(), size.promptPairs(), laterStep)
				+ this.timings.stepsPerPass() * laterStep);
	}

	// The context of the running requests, without that of the queued ones.
	private double contextTokens(EngineLoad own, double others, double running) {
		double requests = own.requests() + others;
		return (requests > 0) ? (own.contextTokens() + others * this.usualContextTokens) * running / requests : 0;
	}

	// A step after the request has begun.
	private double laterStepMillis(WorkSize size, EngineLoad own, double others, double running) {
		return this.timings.stepMillis(Math.min(running + 1, this.slots),
				contextTokens(own, others, running) + size.promptTokens());
	}

	/**
	 * Returns the difference below which the forecasts for two engines are nearly equal.
	 * A part of the other processes' requests was replaced since the load was reported,
	 * so that their effect on the forecast is known only to that part. Differences of
	 * less than a step are never noticed.
	 * @param otherRequests the mean number of other processes' requests at an engine
	 * @param ageMillis the age of the reported loads, in milliseconds
	 * @return the difference in milliseconds
	 */
	public double toleranceMillis(double otherRequests, double ageMillis) {
		Forecast idle = forecast(this.usual, EngineLoad.none(), 0);
		Forecast loaded = forecast(this.usual, EngineLoad.none(), otherRequests);
		double replaced = Math.min(1, ageMillis / loaded.endMillis());
		return Math.max(loaded.gapMillis() / eventTokens(),
				replaced * (loaded.firstEventMillis() - idle.firstEventMillis()));
	}

	private int eventTokens() {
		return Math.max(1, this.timings.stepsPerPass());
	}

	// The prompts of one chunk take a step, in which the running requests generate too.
	private double promptMillis(double tokens, double pairs, double stepMillis) {
		return this.timings.promptMillis(tokens, pairs) + this.timings.promptSteps(tokens) * stepMillis;
	}

	// While a request generates its usual output, each of the other slots changes hands
	// once, which adds one prompt for each.
	private double withLaterPrompts(double stepMillis, double sequences) {
		return stepMillis + sequences * this.usualPromptMillis / this.usualOutputTokens;
	}

	// Slots become free in the order of the remaining outputs, which are taken to be
	// distributed uniformly with the known mean and deviation. A load between all slots
	// and one less stands for a probability that a slot is free.
	private double slotWaitMillis(EngineLoad own, double others, double stepMillis) {
		double endsNeeded = own.requests() + others - this.slots + 1;
		if (endsNeeded <= 0) {
			return 0;
		}
		EngineLoad load = own.plus(usualLoad(others));
		double ends = Math.max(1, endsNeeded);
		double quantile = Math.min(1, ends / (this.slots + 1));
		double tokens = load.meanRemainingTokens()
				+ HALF_WIDTH_PER_DEVIATION * load.deviationOfRemainingTokens() * (2 * quantile - 1);
		double wholeOutputs = Math.floor((ends - 1) / this.slots) * this.usualOutputTokens;
		return (Math.max(0, tokens) + wholeOutputs) * withLaterPrompts(stepMillis, this.slots)
				* Math.min(1, endsNeeded);
	}

	// Requests of the usual size that started at random times.
	private EngineLoad usualLoad(double requests) {
		return new EngineLoad(requests, requests * this.usualContextTokens, 0, 0, requests * this.usualOutputTokens / 2,
				requests * this.usualOutputTokens * this.usualOutputTokens * SQUARES_OF_UNIFORM);
	}

	// The unprocessed prompts of requests of the usual size are those of a queue with a
	// single server: its utilization relative to the time left for generating.
	private double unprocessedPrompts(double requests) {
		double running = Math.min(requests, this.slots);
		double generating = this.usualOutputTokens
				* this.timings.stepMillis(running, running * this.usualContextTokens);
		return (generating > 0) ? running * this.usualPromptMillis / generating : 0;
	}

}
