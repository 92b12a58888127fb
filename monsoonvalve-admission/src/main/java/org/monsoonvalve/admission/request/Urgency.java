package org.monsoonvalve.admission.request;

import java.util.Comparator;

/**
 * The urgency of a request. The workspace's priority goes before the route's; the natural
 * order has the most urgent first.
 *
 * @author monsoonvalve maintainers
 * @param workspacePriority the priority of the caller's workspace, 0 first
 * @param routePriority the priority of the route, 0 first
 */
public record Urgency(int workspacePriority, int routePriority) implements Comparable<Urgency> {

	private static final Comparator<Urgency> MOST_URGENT_FIRST = Comparator.comparingInt(Urgency::workspacePriority)
		.thenComparingInt(Urgency::routePriority);

	@Override
	public int compareTo(Urgency other) {
		return MOST_URGENT_FIRST.compare(this, other);
	}

}
