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
    List<RequestSpec> admitted(Instant now);

    /**
     * Takes the waiting requests that can no longer be served in time.
     *
     * @param now the time
     * @return each with its refusal, verdict "not run"
     */
    List<Shed> shed(Instant now);

    /**
     * A request that was offered ended, or its caller left.
     *
     * @param request the request
     * @param generatedTokens tokens that were generated for it
     * @param now the time
     */
    void ended(RequestId request, long generatedTokens, Instant now);

    /**
     * Counts a request that another daemon admitted and that goes on here; it is never refused.
     *
     * <p>Guards against a wave of callers that come back after a daemon is gone: not counted, their
     * answers would run beside a full set of new ones, and all of them would be late.
     *
     * @param spec the request
     * @param now the time
     */
    default void adopt(final RequestSpec spec, final Instant now) {}

    /**
     * A waiting request that is refused.
     *
     * @param spec the request
     * @param refusal what its caller is told
     */
    record Shed(RequestSpec spec, Refusal refusal) {}
}
