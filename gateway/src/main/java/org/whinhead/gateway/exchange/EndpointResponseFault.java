package org.whinhead.gateway.exchange;

import java.util.Optional;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.gateway.endpoint.EndpointResponse;

/**
 * Why an endpoint's answer can't go to the caller.
 *
 * @param verdict whether the request may have run at that endpoint
 * @param reason what is logged
 */
record EndpointResponseFault(Verdict verdict, String reason) {

    /**
     * Judges an answer by its head.
     *
     * @param answer the head
     * @param requestId the request that was asked
     * @param streamStarted whether the caller has part of the answer already
     * @return the fault, if it has one
     */
    static Optional<EndpointResponseFault> of(
            final EndpointResponse answer, final String requestId, final boolean streamStarted) {
        if (answer.isFromOtherEndpoint()) {
            return fault(Verdict.NOT_RUN, "address belongs to another endpoint");
        }
        if (answer.statesNotRun()) {
            return fault(Verdict.NOT_RUN, "endpoint refused");
        }
        if (!answer.requestId().equals(Optional.of(requestId))) {
            return fault(Verdict.MAY_HAVE_RUN, "answer of another request");
        }
        if (!answer.isAuthentic()) {
            return fault(Verdict.MAY_HAVE_RUN, "answer not signed by its endpoint");
        }
        if (streamStarted && !answer.isSuccess()) {
            // Its body would follow the events passed before, and end the stream as if it were
            // whole.
            return fault(Verdict.MAY_HAVE_RUN, "stream could not go on");
        }
        return Optional.empty();
    }

    private static Optional<EndpointResponseFault> fault(
            final Verdict verdict, final String reason) {
        return Optional.of(new EndpointResponseFault(verdict, reason));
    }
}
