package org.whinhead.requests;

import java.time.Instant;
import org.whinhead.api.model.EndpointId;

/** Takes in how attempts ended, as evidence of their endpoints' health. */
public interface AttemptOutcomes {

    /** Ignores every outcome. */
    AttemptOutcomes NONE = new AttemptOutcomes() {};

    /**
     * An attempt failed in a way that puts its endpoint in doubt.
     *
     * @param endpoint the endpoint
     * @param failure how it failed
     * @param startedAt when the attempt started
     * @param now the time
     */
    default void failed(
            final EndpointId endpoint,
            final AttemptFailure failure,
            final Instant startedAt,
            final Instant now) {}

    /**
     * An attempt got its whole answer.
     *
     * @param endpoint the endpoint
     * @param startedAt when the attempt started; a failure seen since then is the newer evidence
     * @param now the time
     */
    default void succeeded(final EndpointId endpoint, final Instant startedAt, final Instant now) {}
}
