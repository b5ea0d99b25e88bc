package org.whinhead.serving.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Estimates when a request is answered.
 *
 * <p>The estimate errs on the short side, as a request that could be answered in time must not be
 * refused: only the queue that is certainly ahead counts, and an answer in the last moments shows
 * what the endpoints can do, whatever is reported of them.
 */
final class WaitEstimate {

    /** Clocks, timers and the way back to the caller. */
    private static final Duration MARGIN = Duration.ofMillis(20);

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(50);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(3);

    /** The retry delay as long as no request has ended. */
    private static final Duration UNKNOWN_RETRY_AFTER = Duration.ofMillis(200);

    /** The number of hash codes of requests. */
    private static final double HASHES = 1L << Integer.SIZE;

    /** Similar ids have similar hash codes: an odd constant with evenly spread bits. */
    private static final int SPREAD_FACTOR = 0x9E3779B9;

    private final ServiceTimes mTimes;
    private final ServiceLoad mLoad;
    private final Instant mNow;

    WaitEstimate(final ServiceTimes times, final ServiceLoad load, final Instant now) {
        mTimes = times;
        mLoad = load;
        mNow = now;
    }

    /** Returns whether the answer comes after the request's useful time if it is placed now. */
    boolean isTooLate(final AdmissionRequest request) {
        final Duration left = Duration.between(mNow, request.usefulUntil());
        final Optional<Duration> evidence = mTimes.shortestLately(request.route(), mNow);
        if (evidence.isPresent() && evidence.get().compareTo(left) < 0) {
            return false;
        }
        final double queued = queueMillis(mLoad.ahead(request.rank())) + ownMillis(request);
        return Math.max(queued, mLoad.expectedWait().toMillis()) > left.toMillis();
    }

    /** Returns the moment from which a request can't be answered in time even without a queue. */
    Instant latestStart(final AdmissionRequest request) {
        return request.usefulUntil().minusMillis(Math.round(ownMillis(request))).minus(MARGIN);
    }

    private double ownMillis(final AdmissionRequest request) {
        return Math.max(mTimes.leastMillis(request.route()), request.cost().toMillis());
    }

    private double queueMillis(final int ahead) {
        final OptionalDouble rate = rate();
        return ahead == 0 || rate.isEmpty() ? 0 : ahead / rate.getAsDouble();
    }

    private OptionalDouble rate() {
        return mTimes.endingsPerMilli(mLoad.slots(), mLoad.running().total(), mNow);
    }

    /**
     * Returns when a refused caller should return: after the work that waits, and spread by the
     * request's id over as long again, as all that are refused at once would return at once.
     */
    Duration retryAfter(final AdmissionRequest request, final RankCounts waitingHere) {
        final RankCounts waiting = waitingHere.plus(mLoad.waitingElsewhere());
        final int before =
                mLoad.ahead(request.rank())
                        + waiting.total()
                        - waiting.lessUrgentThan(request.rank());
        final OptionalDouble rate = rate();
        final double millis =
                rate.isPresent() ? before / rate.getAsDouble() : UNKNOWN_RETRY_AFTER.toMillis();
        final double bounded =
                Math.min(Math.max(millis, MIN_RETRY_AFTER.toMillis()), MAX_RETRY_AFTER.toMillis());
        final double spread =
                Integer.toUnsignedLong(request.id().hashCode() * SPREAD_FACTOR) / HASHES;
        return Duration.ofMillis(Math.round(bounded * (1 + spread)));
    }
}
