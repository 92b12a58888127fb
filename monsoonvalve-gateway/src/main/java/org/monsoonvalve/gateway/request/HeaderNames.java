package org.monsoonvalve.gateway.request;

/**
 * Names of the header fields of requests and responses.
 *
 * @author monsoonvalve maintainers
 * @param requestId identifies one attempt of the caller, as opposed to this system's
 * attempts at endpoints, which all carry the same identifier; endpoints echo it
 * @param deadlineMillis the remaining time until the sender's deadline, in milliseconds
 * @param expectedEndpoint the only endpoint that may run the request
 * @param notRun present in the response if the endpoint did not run the request
 * @param load the running and queued requests of an endpoint and its slots
 * @param workspace the caller's workspace, sent to endpoints
 * @param model the model that the request is for
 * @param lastEventId the event after which a stream is resumed
 * @param requestLimit the requests per second that an endpoint accepts from all processes
 * @param promptParts the identifiers and sizes of the parts of the prompt
 * @param tokenCounts the tokens of the prompt and the maximum of generated ones
 * @param outputEstimate the caller's estimate of the generated tokens
 * @param urgency the urgency that an engine orders its queue by, sent to endpoints
 */
public record HeaderNames(String requestId, String deadlineMillis, String expectedEndpoint, String notRun, String load,
		String workspace, String model, String lastEventId, String requestLimit, String promptParts, String tokenCounts,
		String outputEstimate, String urgency) {

}
