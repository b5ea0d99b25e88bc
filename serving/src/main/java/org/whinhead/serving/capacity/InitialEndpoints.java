package org.whinhead.serving.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;

/**
 * The endpoints that a service's list held when its planner started.
 *
 * <p>Entries of a large service arrive one by one over seconds. An order names the total number of
 * endpoints, so an order based on the first few entries would remove the others. So nothing is
 * ordered while the list grows.
 */
final class InitialEndpoints {

    /** Endpoints write their entries 1.2 s apart: a list that didn't grow for longer is whole. */
    private static final Duration SETTLED_AFTER = Duration.ofMillis(1_400);

    /** The longest time from the first to the last entry; the store shows them up to 0.8 s late. */
    private static final Duration COMPLETE_AFTER = Duration.ofMillis(2_600);

    /** The time after which a list without any entry is complete. */
    private static final Duration EMPTY_AFTER = Duration.ofMillis(2_000);

    private final Instant mOwnOrdersFrom;
    private Instant mGrownAt;
    private Instant mFirstAt;
    private int mOnDemand;
    private int mReclaimable;
    private boolean mSettled;

    /**
     * Creates an empty list.
     *
     * @param now the current time
     * @param bootTime the time until an ordered endpoint is listed: reclaimable endpoints that are
     *     listed earlier were there before, later ones may have been ordered by this planner
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

    /** Returns whether the list has stopped growing once; later entries were ordered. */
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

    /** Returns the number of endpoints that were present. */
    int count() {
        return mOnDemand + mReclaimable;
    }
}
