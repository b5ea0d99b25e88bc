package org.whinhead.serving.ratelimit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.whinhead.serving.endpoint.EndpointEntry;

/** The limits that endpoints have named, as far as this daemon knows. */
public final class StatedLimits {

    /**
     * The time for which the end of a limit is told in reports. A daemon that was cut off for
     * longer learns it from the next answer.
     */
    private static final Duration ENDED_TOLD_TIME = Duration.ofSeconds(30);

    /** The time in which an endpoint gets all requests again whose limit has ended. */
    static final Duration RETURN_TIME = Duration.ofSeconds(2);

    private final Map<String, Known> mKnown = new HashMap<>();
    private int mReported;

    /**
     * Records what an answer of an endpoint says.
     *
     * <p>An answer to a request that was sent before the current statement was known says nothing:
     * the head of a long stream may arrive later than newer answers.
     *
     * @param endpoint the endpoint
     * @param limit the limit that the answer names; empty if it names none
     * @param sentAt the time at which the answered request was sent
     * @param now the current time
     * @return the statement to tell the other daemons; empty if it is not new
     */
    public Optional<LimitStatement> recordAnswer(
            final EndpointEntry endpoint,
            final Optional<RequestRateLimit> limit,
            final Instant sentAt,
            final Instant now) {
        final Known known = mKnown.get(endpoint.id());
        if (known == null) {
            if (limit.isEmpty()) {
                return Optional.empty();
            }
            return Optional.of(put(statement(endpoint, 1, limit), now));
        }
        if (!sentAt.isAfter(known.since()) || known.statement().limit().equals(limit)) {
            return Optional.empty();
        }
        final long revision = known.statement().revision() + 1;
        return Optional.of(put(statement(endpoint, revision, limit), now));
    }

    private static LimitStatement statement(
            final EndpointEntry endpoint,
            final long revision,
            final Optional<RequestRateLimit> limit) {
        return new LimitStatement(endpoint.id(), endpoint.startedAt(), revision, limit);
    }

    private LimitStatement put(final LimitStatement statement, final Instant now) {
        mKnown.put(statement.endpoint(), new Known(statement, now));
        return statement;
    }

    /**
     * Applies another daemon's statement.
     *
     * @param endpoint the endpoint as it is listed
     * @param statement what it said to another daemon
     * @param now the current time
     * @return whether it is new here
     */
    public boolean apply(
            final EndpointEntry endpoint, final LimitStatement statement, final Instant now) {
        if (!endpoint.startedAt().equals(statement.startedAt())) {
            return false;
        }
        final Known known = mKnown.get(statement.endpoint());
        if (known != null && !statement.supersedes(known.statement())) {
            return false;
        }
        put(statement, now);
        return true;
    }

    /**
     * Returns the limit of an endpoint.
     *
     * @param endpoint the endpoint's id
     * @return the limit; empty if it names none
     */
    public Optional<RequestRateLimit> limit(final String endpoint) {
        return statement(endpoint).flatMap(LimitStatement::limit);
    }

    /**
     * Returns the last statement of an endpoint.
     *
     * @param endpoint the endpoint's id
     * @return the statement; empty if it never named a limit
     */
    public Optional<LimitStatement> statement(final String endpoint) {
        return Optional.ofNullable(mKnown.get(endpoint)).map(Known::statement);
    }

    /**
     * Returns the time since which this daemon knows the current statement of an endpoint.
     *
     * @param endpoint the endpoint's id
     * @return the time; empty if the endpoint never named a limit
     */
    public Optional<Instant> knownSince(final String endpoint) {
        return Optional.ofNullable(mKnown.get(endpoint)).map(Known::since);
    }

    /**
     * Returns whether no endpoint has named a limit.
     *
     * @return true if nothing is known of any endpoint
     */
    public boolean isEmpty() {
        return mKnown.isEmpty();
    }

    /**
     * Returns the share of the requests that an endpoint may get, which grows after the end of a
     * limit: all daemons would send it theirs at once, as it has none.
     *
     * @param endpoint the endpoint's id
     * @param now the current time
     * @return the share, from 0 to 1; 1 also while it names a limit, which holds by itself
     */
    public double returnedShare(final String endpoint, final Instant now) {
        final Known known = mKnown.get(endpoint);
        if (known == null || known.statement().limit().isPresent()) {
            return 1;
        }
        final Duration ended = Duration.between(known.since(), now);
        return Math.min((double) ended.toMillis() / RETURN_TIME.toMillis(), 1);
    }

    /**
     * Returns the number of endpoints that name a limit.
     *
     * @return the number of endpoints
     */
    public int limitedCount() {
        return (int)
                mKnown.values().stream()
                        .filter(known -> known.statement().limit().isPresent())
                        .count();
    }

    /**
     * Returns the next statements for a report, in turn.
     *
     * @param most the most statements
     * @param now the current time
     * @return limits in force and those that ended a short while ago
     */
    public List<LimitStatement> nextReported(final int most, final Instant now) {
        final List<LimitStatement> told = new ArrayList<>();
        for (final Known known : mKnown.values()) {
            final boolean isRecent = now.isBefore(known.since().plus(ENDED_TOLD_TIME));
            if (known.statement().limit().isPresent() || isRecent) {
                told.add(known.statement());
            }
        }
        if (told.size() <= most) {
            return told;
        }
        final List<LimitStatement> next = new ArrayList<>();
        for (int index = 0; index < most; index++) {
            mReported = (mReported + 1) % told.size();
            next.add(told.get(mReported));
        }
        return next;
    }

    /**
     * Forgets an endpoint that has restarted.
     *
     * @param endpoint the endpoint's id
     */
    public void forget(final String endpoint) {
        mKnown.remove(endpoint);
    }

    /**
     * Forgets endpoints that no longer exist.
     *
     * @param known the ids of all endpoints
     */
    public void retain(final Collection<String> known) {
        mKnown.keySet().removeIf(endpoint -> !known.contains(endpoint));
    }

    private record Known(LimitStatement statement, Instant since) {}
}
