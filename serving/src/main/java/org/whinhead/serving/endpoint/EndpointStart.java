package org.whinhead.serving.endpoint;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * One start of an endpoint, which may keep its id when it starts again.
 *
 * @param endpoint the endpoint's id
 * @param startedAt the time of its start, if known
 * @param version the version of its software, which changes with a start only
 */
public record EndpointStart(String endpoint, Optional<Instant> startedAt, String version) {

    /** Checks the components. */
    public EndpointStart {
        Arguments.requireText(endpoint, "endpoint");
        Objects.requireNonNull(startedAt, "startedAt");
        Objects.requireNonNull(version, "version");
    }

    /**
     * Returns the start that wrote an entry.
     *
     * @param entry the entry
     * @return its start
     */
    public static EndpointStart of(final EndpointEntry entry) {
        return new EndpointStart(entry.id(), entry.startedAt(), entry.version());
    }

    /**
     * Returns whether this is a later start than another one of the same endpoint.
     *
     * @param other the other start
     * @return true if its time is later, or if only its software differs
     */
    public boolean isLaterThan(final EndpointStart other) {
        if (startedAt.isPresent() && other.startedAt.isPresent()) {
            final int order = startedAt.get().compareTo(other.startedAt.get());
            if (order != 0) {
                return order > 0;
            }
        }
        return !version.equals(other.version);
    }
}
