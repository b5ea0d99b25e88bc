package org.whinhead.serving.ratelimit;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * What an endpoint has said last about its limit.
 *
 * <p>Daemons have no common clock that would tell which of two answers is newer. Each change gets
 * the next revision instead. Of two changes that were found at the same time the stricter one
 * counts, until the next answer corrects it.
 *
 * @param endpoint the endpoint's id
 * @param startedAt the start of the endpoint, if known: a restarted endpoint has said nothing yet
 * @param revision the number of changes known to whoever found this one, from 1
 * @param limit the limit; empty once the endpoint names none any more
 */
public record LimitStatement(
        String endpoint,
        Optional<Instant> startedAt,
        long revision,
        Optional<RequestRateLimit> limit) {

    /** Checks the components. */
    public LimitStatement {
        Arguments.requireText(endpoint, "endpoint");
        Objects.requireNonNull(startedAt, "startedAt");
        Arguments.requireAtLeast(revision, 1, "revision");
        Objects.requireNonNull(limit, "limit");
    }

    /** Returns whether this statement replaces another one of the same endpoint. */
    boolean supersedes(final LimitStatement other) {
        if (revision != other.revision) {
            return revision > other.revision;
        }
        if (limit.isEmpty() || other.limit.isEmpty()) {
            return limit.isPresent() && other.limit.isEmpty();
        }
        return limit.get().compareTo(other.limit.get()) < 0;
    }
}
