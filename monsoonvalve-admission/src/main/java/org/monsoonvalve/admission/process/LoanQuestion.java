package org.monsoonvalve.admission.process;

import java.util.List;

/**
 * A question of this process to another one for a part of its shares.
 *
 * @author monsoonvalve maintainers
 * @param lender the name of the process that is asked
 * @param service the service of the endpoints
 * @param endpoints the endpoints
 * @param requests the number of requests wanted at all of them together
 * @param askedMillis the time of the question, in milliseconds
 */
public record LoanQuestion(String lender, String service, List<SharedEndpoint> endpoints, int requests,
		long askedMillis) {

	/**
	 * Creates a question with a copy of the endpoints.
	 */
	public LoanQuestion {
		endpoints = List.copyOf(endpoints);
	}

}
