package org.whinhead.serving.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * The pauses for which endpoints have asked this daemon, with {@code Retry-After} in a rejection.
 *
 * <p>A pause is between one endpoint and one daemon: an endpoint that turns one daemon away may
 * have room for another one. Of several pauses the one that ends last counts, and nothing ends one
 * early but a new start of the endpoint.
 *
 * <p>After a pause the endpoint is used like a backend behind a half-open circuit breaker: one
 * request at first, and for each one that is answered two more, until as many were answered as the
 * endpoint has slots. Daemons that were turned away together end their pauses at different times.
 */
public final class RequestedPauses {

    /**
     * The part of a pause by which it is prolonged at most, so that daemons don't return at once.
     */
    private static final int SPREAD_DIVISOR = 6;

    private static final Duration MAX_SPREAD = Duration.ofMillis(500);

    /** The requests that may follow for each one that was answered. */
    private static final int REQUESTS_PER_ANSWER = 2;

    /** The time without an answer after which another request may be tried. */
    private static final Duration TRIAL_TIMEOUT = Duration.ofSeconds(1);

    private final RandomGenerator mRandom;
    private final Map<String, Pause> mPauses = new HashMap<>();

    /**
     * Creates an object without pauses.
     *
     * @param random spreads the ends of pauses
     */
    public RequestedPauses(final RandomGenerator random) {
        mRandom = Objects.requireNonNull(random, "random");
    }

    /**
     * Records that an endpoint has asked for a pause.
     *
     * @param endpoint the endpoint's id
     * @param length the length of the pause, above zero
     * @param now the current time
     */
    public void add(final String endpoint, final Duration length, final Instant now) {
        final Instant end = now.plus(length).plus(spread(length));
        final Pause known = mPauses.get(endpoint);
        if (known == null || known.mEnd.isBefore(end)) {
            mPauses.put(endpoint, new Pause(now, end));
        }
    }

    private Duration spread(final Duration length) {
        final Duration part = length.dividedBy(SPREAD_DIVISOR);
        final Duration longest = part.compareTo(MAX_SPREAD) < 0 ? part : MAX_SPREAD;
        return Duration.ofNanos((long) (longest.toNanos() * mRandom.nextDouble()));
    }

    /**
     * Returns whether no endpoint is paused, or on its way back.
     *
     * @return true if every endpoint may get requests
     */
    public boolean isEmpty() {
        return mPauses.isEmpty();
    }

    /**
     * Returns whether an endpoint may get a request.
     *
     * @param endpoint the endpoint's id
     * @param now the current time
     * @return false within a pause, or if enough requests are on their way after it
     */
    public boolean mayReceive(final String endpoint, final Instant now) {
        final Pause pause = mPauses.get(endpoint);
        return pause == null || pause.mayReceive(now);
    }

    /**
     * Records that a request is sent to an endpoint.
     *
     * @param endpoint the endpoint's id
     * @param now the current time
     */
    public void recordSent(final String endpoint, final Instant now) {
        final Pause pause = mPauses.get(endpoint);
        if (pause != null) {
            pause.recordSent(now);
        }
    }

    /**
     * Records that an endpoint has answered a request without rejecting it. Answers to requests of
     * before the end of the pause tell nothing.
     *
     * @param endpoint the endpoint
     * @param sentAt the time at which the request was sent
     */
    public void recordAnswered(final EndpointEntry endpoint, final Instant sentAt) {
        final Pause pause = mPauses.get(endpoint.id());
        if (pause != null && pause.recordAnswered(sentAt) >= endpoint.slots()) {
            mPauses.remove(endpoint.id());
        }
    }

    /**
     * Returns the time that is left of an endpoint's pause.
     *
     * @param endpoint the endpoint's id
     * @param now the current time
     * @return the time; empty if there is no pause, or it is over
     */
    public Optional<Duration> left(final String endpoint, final Instant now) {
        return Optional.ofNullable(mPauses.get(endpoint))
                .filter(pause -> now.isBefore(pause.mEnd))
                .map(pause -> Duration.between(now, pause.mEnd));
    }

    /**
     * Returns for how long an endpoint's last pause has been known.
     *
     * @param endpoint the endpoint's id
     * @param now the current time
     * @return the time; empty without a pause
     */
    public Optional<Duration> knownFor(final String endpoint, final Instant now) {
        return Optional.ofNullable(mPauses.get(endpoint))
                .map(pause -> Duration.between(pause.mSince, now));
    }

    /**
     * Returns the number of endpoints whose pauses are not over.
     *
     * @param now the current time
     * @return the number of endpoints
     */
    public int count(final Instant now) {
        return (int) mPauses.values().stream().filter(pause -> now.isBefore(pause.mEnd)).count();
    }

    /**
     * Forgets an endpoint that has restarted.
     *
     * @param endpoint the endpoint's id
     */
    public void forget(final String endpoint) {
        mPauses.remove(endpoint);
    }

    /**
     * Forgets endpoints that no longer exist.
     *
     * @param known the ids of all endpoints
     */
    public void retain(final Collection<String> known) {
        mPauses.keySet().removeIf(endpoint -> !known.contains(endpoint));
    }

    private static final class Pause {
        private final Instant mSince;
        private final Instant mEnd;
        private int mAllowed = 1;
        private int mAnswered;
        private Instant mLastSentAt = Instant.MAX;

        private Pause(final Instant since, final Instant end) {
            mSince = since;
            mEnd = end;
        }

        private boolean mayReceive(final Instant now) {
            return !now.isBefore(mEnd) && (mAllowed > 0 || isUnanswered(now));
        }

        private boolean isUnanswered(final Instant now) {
            return Duration.between(mLastSentAt, now).compareTo(TRIAL_TIMEOUT) >= 0;
        }

        private void recordSent(final Instant now) {
            if (!now.isBefore(mEnd)) {
                mAllowed = Math.max(mAllowed - 1, 0);
                mLastSentAt = now;
            }
        }

        /** Returns the number of requests that were answered since the end of the pause. */
        private int recordAnswered(final Instant sentAt) {
            if (!sentAt.isBefore(mEnd)) {
                mAnswered++;
                mAllowed += REQUESTS_PER_ANSWER;
            }
            return mAnswered;
        }
    }
}
