package org.whinhead.admission;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.Refusal;

/**
 * Decides which requests run now, wait or are refused; single-threaded, without input or output.
 */
public interface Admission {

    /**
     * Offers a new request.
     *
     * @param spec the request
     * @param now the time
     * @return a refusal with the verdict "not run", or empty if the request waits to be admitted
     */
    Optional<Refusal> offer(RequestSpec spec, Instant now);

    /**
     * Takes the requests that may be dispatched now, most urgent first.
     *
     * @param now the time
     * @return the admitted requests
     */
    List<RequestSpec> takeAdmitted(Instant now);

    /**
     * Takes the waiting requests that can no longer be served in time.
     *
     * @param now the time
     * @return each with its refusal, verdict "not run"
     */
    List<ShedRequest> takeShed(Instant now);

    /**
     * A caller came back with a ticket for the rest of its answer, and the request goes on here at
     * once. It was admitted before, by another daemon or this one, so it is neither queued nor
     * refused; it is counted.
     *
     * @param spec the request
     * @param restTokens the most tokens that may still be generated
     * @param now the time
     */
    default void resume(final RequestSpec spec, final long restTokens, final Instant now) {}

    /**
     * A request that was offered or returned ended, or its caller left.
     *
     * @param request the request
     * @param generatedTokens tokens that were generated for it
     * @param now the time
     */
    void requestEnded(RequestId request, long generatedTokens, Instant now);

    /**
     * A waiting request that is refused.
     *
     * @param spec the request
     * @param refusal what its caller is told
     */
    record ShedRequest(RequestSpec spec, Refusal refusal) {}
}
