package org.whinhead.serving.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Requests a second, from a count that grows, over the last while. */
final class RequestRate {

    /**
     * The time over which the rate is taken; daemons report their counts two or three times in it.
     */
    private static final Duration SPAN = Duration.ofMillis(2_000);

    /** The time over which it is taken at least. */
    private static final Duration LEAST_SPAN = Duration.ofMillis(1_000);

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Deque<Sample> mSamples = new ArrayDeque<>();

    /** Takes the count as of now. */
    void count(final long requests, final Instant now) {
        mSamples.addLast(new Sample(now, requests));
        while (mSamples.size() > 1 && mSamples.peekFirst().at().isBefore(now.minus(SPAN))) {
            mSamples.removeFirst();
        }
    }

    double perSecond() {
        if (mSamples.isEmpty()) {
            return 0;
        }
        final Sample first = mSamples.peekFirst();
        final Sample last = mSamples.peekLast();
        final Duration seen = Duration.between(first.at(), last.at());
        final Duration span = seen.compareTo(LEAST_SPAN) > 0 ? seen : LEAST_SPAN;
        return (last.requests() - first.requests()) * MILLIS_PER_SECOND / span.toMillis();
    }

    private record Sample(Instant at, long requests) {}
}
