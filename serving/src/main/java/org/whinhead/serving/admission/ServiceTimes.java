package org.whinhead.serving.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The times that this daemon's requests to one service took.
 *
 * <p>Requests that were placed while slots were free show the time without a queue. Failures are
 * not recorded, as an endpoint that fails fast must not look fast.
 */
final class ServiceTimes {

    /** The weight of the newest time in the averages. */
    private static final double WEIGHT = 0.1;

    /** The quantile of the times of a route without a queue: most requests take longer. */
    private static final double QUANTILE = 0.2;

    /** The relative step of one time towards the quantile. */
    private static final double STEP = 0.05;

    /** The age up to which an answered request shows that another one can be answered alike. */
    private static final Duration EVIDENCE_TIME = Duration.ofMillis(500);

    /** The age of the last time from which the average tells nothing of the present. */
    private static final Duration AVERAGE_TIME = Duration.ofSeconds(2);

    /** The weight of the newest answer: its queue is that of a moment ago. */
    private static final double STRETCH_WEIGHT = 0.3;

    /** The share of rejected requests from which endpoints are full, not a single one faulty. */
    private static final double FULL_REJECTED_SHARE = 0.4;

    /** The time for which they count as full after a rejection. */
    private static final Duration FULL_TIME = Duration.ofSeconds(1);

    private final Map<String, RouteTimes> mRoutes = new HashMap<>();
    private double mSlotMillis;
    private double mMillis;
    private double mStretch = 1;
    private double mRejectedShare;
    private Instant mRejectedAt = Instant.EPOCH;
    private Instant mRecordedAt = Instant.EPOCH;

    /** Records a request that was answered. */
    void record(
            final String route, final Duration taken, final boolean slotsFree, final Instant now) {
        final double millis = Math.max(taken.toMillis(), 1);
        mRejectedShare -= WEIGHT * mRejectedShare;
        mMillis = isRecent(now) ? averaged(mMillis, millis) : millis;
        mRecordedAt = now;
        final RouteTimes times = mRoutes.computeIfAbsent(route, name -> new RouteTimes());
        times.recordAnswer(taken, now);
        if (times.mMeanMillis > 0) {
            final double stretch = millis / times.mMeanMillis;
            mStretch += STRETCH_WEIGHT * (stretch - mStretch);
        }
        if (slotsFree) {
            mSlotMillis = averaged(mSlotMillis, millis);
            times.recordUnqueued(millis);
        }
    }

    private boolean isRecent(final Instant now) {
        return now.isBefore(mRecordedAt.plus(AVERAGE_TIME));
    }

    private static double averaged(final double average, final double sample) {
        return average == 0 ? sample : average + WEIGHT * (sample - average);
    }

    /** Records that an endpoint rejected a request for want of room. */
    void recordRejection(final Instant now) {
        mRejectedShare += WEIGHT * (1 - mRejectedShare);
        mRejectedAt = now;
    }

    /**
     * Returns the requests in progress at the endpoints. What this daemon's own requests show is
     * newer than the reports: answers that come as fast as without a queue show that there are
     * fewer than reported, and rejections that there are more. Slow answers don't show more, as the
     * endpoints may be slow themselves.
     */
    int running(final ServiceLoad load, final Instant now) {
        final int reported = load.running().total();
        if (mRejectedShare >= FULL_REJECTED_SHARE && now.isBefore(mRejectedAt.plus(FULL_TIME))) {
            return Math.max(reported, (load.slots() + load.places()) / 2);
        }
        final double observed = load.slots() * mStretch;
        if (!isRecent(now) || observed >= reported) {
            return reported;
        }
        final double ownAge = Duration.between(mRecordedAt, now).toMillis() + mMillis / 2;
        final double reportAge = load.reportAge().toMillis();
        return (int) Math.round((observed * reportAge + reported * ownAge) / (reportAge + ownAge));
    }

    /** Returns the average time for which a request holds a slot; empty if it is not known. */
    OptionalDouble slotMillis() {
        return mSlotMillis == 0 ? OptionalDouble.empty() : OptionalDouble.of(mSlotMillis);
    }

    /** Returns a time without a queue that most requests of a route exceed; 0 if not known. */
    double leastMillis(final String route) {
        final RouteTimes times = mRoutes.get(route);
        return times == null ? 0 : times.mUnqueuedMillis;
    }

    /** Returns the shortest time of the answers of a route in the last moments. */
    Optional<Duration> shortestLately(final String route, final Instant now) {
        return Optional.ofNullable(mRoutes.get(route)).flatMap(times -> times.shortest(now));
    }

    /**
     * Returns the requests that end per millisecond at all endpoints together: by Little's law
     * those in progress divided by the time of each, and no more than free slots would end.
     */
    OptionalDouble endingsPerMilli(final int slots, final int running, final Instant now) {
        final double bySlots = mSlotMillis == 0 ? Double.POSITIVE_INFINITY : slots / mSlotMillis;
        final double measured =
                mMillis > 0 && isRecent(now)
                        ? Math.max(running, slots) / mMillis
                        : Double.POSITIVE_INFINITY;
        final double rate = Math.min(bySlots, measured);
        return Double.isInfinite(rate) ? OptionalDouble.empty() : OptionalDouble.of(rate);
    }

    private static final class RouteTimes {
        private double mUnqueuedMillis;
        private double mMeanMillis;
        private Duration mShortest = Duration.ZERO;
        private Instant mShortestAt = Instant.EPOCH;

        private void recordAnswer(final Duration taken, final Instant now) {
            if (!isEvidence(now) || taken.compareTo(mShortest) <= 0) {
                mShortest = taken;
                mShortestAt = now;
            }
        }

        private void recordUnqueued(final double millis) {
            if (mUnqueuedMillis == 0) {
                mUnqueuedMillis = millis;
                mMeanMillis = millis;
                return;
            }
            mMeanMillis = averaged(mMeanMillis, millis);
            final double direction = millis > mUnqueuedMillis ? QUANTILE : QUANTILE - 1;
            mUnqueuedMillis *= 1 + STEP * direction;
        }

        private boolean isEvidence(final Instant now) {
            return now.isBefore(mShortestAt.plus(EVIDENCE_TIME));
        }

        private Optional<Duration> shortest(final Instant now) {
            return isEvidence(now) ? Optional.of(mShortest) : Optional.empty();
        }
    }
}
