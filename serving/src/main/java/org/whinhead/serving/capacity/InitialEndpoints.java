package org.whinhead.serving.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;

/**
 * What a service's list held when its planner began.
 *
 * <p>Entries of a large service come one by one over seconds. An order names how many endpoints
 * there should be; one that is made of the first few entries orders the others away: 44 of 74, and
 * a third of a calm day's requests was not served. So nothing is ordered until the list has stopped
 * to grow.
 */
final class InitialEndpoints {

    /** Endpoints write their entries 1.2 s apart: a list that did not grow for longer is whole. */
    private static final Duration SETTLED_AFTER = Duration.ofMillis(1_400);

    /** The same from the first entry on; the store shows entries up to 0.8 s late. */
    private static final Duration COMPLETE_AFTER = Duration.ofMillis(2_600);

    /** Without any entry: how long the first may take. */
    private static final Duration EMPTY_AFTER = Duration.ofMillis(2_000);

    private final Instant mOwnOrdersFrom;
    private Instant mGrownAt;
    private Instant mFirstAt;
    private int mOnDemand;
    private int mReclaimable;
    private boolean mSettled;

    /**
     * Makes a list of which nothing was seen.
     *
     * @param now the time
     * @param bootTime what an order takes to show: reclaimable endpoints that are listed before
     *     were there, later ones may have been ordered by this planner
     */
    InitialEndpoints(final Instant now, final Duration bootTime) {
        mGrownAt = now;
        mOwnOrdersFrom = now.plus(bootTime);
    }

    void update(final Collection<DomainCapacity> domains, final Instant now) {
        final int onDemand = domains.stream().mapToInt(domain -> domain.currentCount(false)).sum();
        final int reclaimable =
                now.isBefore(mOwnOrdersFrom)
                        ? domains.stream().mapToInt(domain -> domain.currentCount(true)).sum()
                        : mReclaimable;
        if (onDemand > mOnDemand || reclaimable > mReclaimable) {
            mGrownAt = now;
            mFirstAt = mFirstAt == null ? now : mFirstAt;
        }
        if (!isSettled(now)) {
            domains.forEach(domain -> domain.keepAllOnDemand(now));
        }
        mOnDemand = Math.max(mOnDemand, onDemand);
        mReclaimable = Math.max(mReclaimable, reclaimable);
    }

    /** Tells whether the list has stopped to grow once; what comes later was ordered. */
    boolean isSettled(final Instant now) {
        mSettled = mSettled || (mFirstAt == null ? isEmpty(now) : isComplete(now));
        return mSettled;
    }

    private boolean isEmpty(final Instant now) {
        return !now.isBefore(mGrownAt.plus(EMPTY_AFTER));
    }

    private boolean isComplete(final Instant now) {
        return !now.isBefore(mGrownAt.plus(SETTLED_AFTER))
                || !now.isBefore(mFirstAt.plus(COMPLETE_AFTER));
    }

    /** Counts the endpoints that were there. */
    int count() {
        return mOnDemand + mReclaimable;
    }
}
