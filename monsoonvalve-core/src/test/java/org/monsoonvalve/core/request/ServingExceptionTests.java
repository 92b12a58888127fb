package org.monsoonvalve.core.request;

import java.util.Arrays;
import java.util.concurrent.CompletionException;

import org.testng.Assert;
import org.testng.annotations.Test;

public class ServingExceptionTests {

	@Test
	public void aFailureAfterSendingNeverReportsThatTheRequestDidNotRun() {
		Arrays.stream(FailureCode.values())
			.map((code) -> new ServingException(code, "detail").afterSending())
			.forEach((failure) -> Assert.assertNotEquals(failure.code().run(), RunState.NOT_RUN));
	}

	@Test
	public void findsTheServingExceptionInTheCauseChainElseReturnsAnInternalFailure() {
		ServingException cause = new ServingException(FailureCode.TIMEOUT, "late");
		Throwable wrapped = new CompletionException(new RuntimeException(cause));
		Assert.assertSame(ServingException.from(wrapped), cause);
		Assert.assertEquals(ServingException.from(new IllegalStateException()).code(), FailureCode.INTERNAL);
	}

}
