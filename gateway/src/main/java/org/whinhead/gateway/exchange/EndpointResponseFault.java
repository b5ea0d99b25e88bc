package org.whinhead.gateway.exchange;

import java.util.Optional;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.gateway.endpoint.EndpointResponse;

/**
 * The reason why an endpoint's response must not be forwarded to the caller.
 *
 * @param verdict whether the request may have run at that endpoint
 * @param reason the reason for the log and the metrics
 */
record EndpointResponseFault(Verdict verdict, String reason) {

    private static final String OTHER_REQUEST = "answer of another request";

    /**
     * Checks the head of a response.
     *
     * @param response the head
     * @param requestId the id of the request that was sent
     * @param streamStarted whether the caller already has a part of the stream
     * @return the fault; empty if the response may be forwarded
     */
    static Optional<EndpointResponseFault> of(
            final EndpointResponse response, final String requestId, final boolean streamStarted) {
        // A late extra response may state anything of the request before on its connection.
        if (response.namesOtherRequest(requestId)) {
            return fault(Verdict.MAY_HAVE_RUN, OTHER_REQUEST);
        }
        if (response.isFromOtherEndpoint()) {
            return fault(Verdict.NOT_RUN, "address belongs to another endpoint");
        }
        if (response.statesNotRun()) {
            return fault(Verdict.NOT_RUN, "endpoint refused");
        }
        if (response.requestId().isEmpty()) {
            return fault(Verdict.MAY_HAVE_RUN, OTHER_REQUEST);
        }
        if (!response.isAuthentic()) {
            return fault(Verdict.MAY_HAVE_RUN, "answer not signed by its endpoint");
        }
        if (streamStarted && !response.isSuccess()) {
            // The body would follow the events forwarded so far, and the stream would seem
            // complete.
            return fault(Verdict.MAY_HAVE_RUN, "stream could not go on");
        }
        return Optional.empty();
    }

    private static Optional<EndpointResponseFault> fault(
            final Verdict verdict, final String reason) {
        return Optional.of(new EndpointResponseFault(verdict, reason));
    }
}
