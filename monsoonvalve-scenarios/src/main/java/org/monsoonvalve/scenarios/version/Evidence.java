package org.monsoonvalve.scenarios.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.monsoonvalve.scenarios.process.Timeline;
import org.monsoonvalve.scenarios.request.Observation;
import org.monsoonvalve.standins.request.LedgerEntry;

/**
 * What a scenario left behind for the checkers.
 *
 * @author monsoonvalve maintainers
 * @param timeline what was done to the system
 * @param observations what callers saw
 * @param ledger what endpoints executed, in order of time
 * @param samples the revisions in force, as entries reported them
 * @param entryNames the entries' names by address
 * @param coldCapacity how many requests a cold endpoint takes at once
 */
public record Evidence(Timeline timeline, List<Observation> observations, List<LedgerEntry> ledger,
		List<Sample> samples, Map<String, String> entryNames, int coldCapacity) {

	/** The group of orders that a scenario sent itself. */
	public static final String INJECTED_GROUP = "injected";

	/**
	 * Tells whether an order was sent by the scenario itself.
	 * @param entry the order's execution
	 * @return {@code true} if no controller sent it
	 */
	public boolean injected(LedgerEntry entry) {
		return INJECTED_GROUP.equals(entry.group());
	}

	/**
	 * Finds entries whose revisions went back.
	 * @return a line for each time
	 */
	public List<String> reverts() {
		List<String> faults = new ArrayList<>();
		Map<String, Sample> last = new HashMap<>();
		for (Sample sample : this.samples) {
			Sample before = last.put(sample.entry() + " since " + sample.startedMillis(), sample);
			if (before != null && (before.rulesRevision() > sample.rulesRevision()
					|| before.inventoryRevision() > sample.inventoryRevision())) {
				faults.add("the configuration at " + sample.entry() + " went back from " + before + " to " + sample);
			}
		}
		return faults;
	}

	/**
	 * The revisions in force at an entry at one time.
	 *
	 * @param entry the entry's name
	 * @param askedMillis when it was asked, in milliseconds since the epoch
	 * @param startedMillis when the entry started, in milliseconds since the epoch
	 * @param reachableSinceMillis since when the entry has been running without a pause
	 * and connected, in milliseconds since the epoch
	 * @param inventoryRevision the inventory's revision
	 * @param rulesRevision the rules' revision
	 */
	public record Sample(String entry, long askedMillis, long startedMillis, long reachableSinceMillis,
			long inventoryRevision, long rulesRevision) {

		/**
		 * Returns the revision of the document that an event is about.
		 * @param kind the event's kind
		 * @return the revision
		 */
		public long revision(Timeline.EventKind kind) {
			return (kind != Timeline.EventKind.RULES_ACCEPTED) ? this.inventoryRevision : this.rulesRevision;
		}

	}

}
