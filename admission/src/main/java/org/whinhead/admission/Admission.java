package org.whinhead.admission;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.Refusal;

/** Decides which requests run now, wait or are refused. Single-threaded; performs no I/O. */
public interface Admission {

    /**
     * Queues a new request, or refuses it.
     *
     * @param spec the request
     * @param now the current time
     * @return a refusal with the verdict "not run", or empty if the request is queued
     */
    Optional<Refusal> offer(RequestSpec spec, Instant now);

    /**
     * Removes and returns the queued requests that may be dispatched now, most urgent first.
     *
     * @param now the current time
     * @return the admitted requests
     */
    List<RequestSpec> takeAdmitted(Instant now);

    /**
     * Removes and returns the queued requests that were shed, for example as overdue.
     *
     * @param now the current time
     * @return the shed requests, each with a refusal of the verdict "not run"
     */
    List<ShedRequest> takeShed(Instant now);

    /**
     * Counts a request that its caller resumes with a ticket for the rest of the answer. A daemon
     * has admitted the request before, so it is neither queued nor refused.
     *
     * @param spec the request
     * @param restTokens the maximum number of tokens that may still be generated
     * @param now the current time
     */
    default void resume(final RequestSpec spec, final long restTokens, final Instant now) {}

    /**
     * Releases what an offered or resumed request holds, once it ended or its caller left.
     *
     * @param request the request
     * @param generatedTokens the number of tokens that were generated for the request
     * @param now the current time
     */
    void requestEnded(RequestId request, long generatedTokens, Instant now);

    /**
     * A queued request that is refused.
     *
     * @param spec the request
     * @param refusal the refusal to send to the caller
     */
    record ShedRequest(RequestSpec spec, Refusal refusal) {}
}
