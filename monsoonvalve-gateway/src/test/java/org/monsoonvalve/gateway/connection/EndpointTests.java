package org.monsoonvalve.gateway.connection;

import java.util.List;
import java.util.Optional;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.EventLoop;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.testng.Assert;
import org.testng.annotations.Test;

public class EndpointTests {

	private static final int SLOTS = 12;

	private static Endpoint endpoint() {
		return new Endpoint(new EndpointRecord("vm-1", "s", new Address("127.0.0.1", 1), "near", SLOTS, false, 0, 1, "",
				List.of(), List.of(), Optional.empty(), 1), null, () -> {
				});
	}

	@Test
	public void ownRequestsAreAddedToTheReportedRequestsOfOtherProcesses() {
		Endpoint endpoint = endpoint();
		endpoint.requestStarted();
		endpoint.requestStarted();
		endpoint.loadReported(5);
		Assert.assertEquals(endpoint.expectedLoad(0, EventLoop.nowMillis()), 5.0, 0.2);
		endpoint.requestEnded();
		Assert.assertEquals(endpoint.expectedLoad(0, EventLoop.nowMillis()), 4.0, 0.2);
	}

	@Test
	public void anEndpointThatNeverReportedIsExpectedToHaveTheAverageLoad() {
		Assert.assertEquals(endpoint().expectedLoad(3, EventLoop.nowMillis()), 3.0, 0.01);
	}

}
