package org.whinhead.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.whinhead.api.model.CustomerId;

/** The queues and the capacity of one target. */
final class TargetQueue {

    private static final double NANOS_PER_SECOND = 1e9;

    private final NavigableMap<Integer, TierQueue> mTiers =
            new TreeMap<>(Comparator.reverseOrder());
    private final ServiceTimes mServiceTimes = new ServiceTimes();
    private int mSlots;
    private int mRunning;

    TargetQueue(final int slots) {
        mSlots = slots;
    }

    void resize(final int slots) {
        mSlots = slots;
    }

    int waiting() {
        int waiting = 0;
        for (final TierQueue queue : mTiers.values()) {
            waiting += queue.size();
        }
        return waiting;
    }

    void add(final QueuedRequest waiter, final int weight) {
        final int priority = waiter.spec().tier().priority();
        mTiers.computeIfAbsent(priority, key -> new TierQueue()).add(waiter, weight);
    }

    boolean remove(final QueuedRequest waiter) {
        final TierQueue queue = mTiers.get(waiter.spec().tier().priority());
        return queue != null && queue.remove(waiter);
    }

    /** Takes the next request if a slot is free; strictly by tier. */
    QueuedRequest pollNext(final Predicate<QueuedRequest> gate) {
        if (mRunning >= mSlots) {
            return null;
        }
        for (final TierQueue queue : mTiers.values()) {
            final QueuedRequest waiter = queue.pollNext(gate);
            if (waiter != null) {
                mRunning++;
                return waiter;
            }
        }
        return null;
    }

    /** Counts a request that runs without having been served from the queue. */
    void addRunning() {
        mRunning++;
    }

    void requestEnded(final long tokens, final Duration took) {
        mRunning--;
        mServiceTimes.observe(tokens, took);
    }

    /** Returns how long one more request of a customer would wait for a slot. */
    Duration expectedWait(final int priority, final CustomerId customer, final int weight) {
        double ahead = 0;
        for (final TierQueue queue : mTiers.headMap(priority, false).values()) {
            ahead += queue.size();
        }
        final TierQueue own = mTiers.get(priority);
        ahead += own == null ? 0 : own.requestsAhead(customer, weight);
        final double position = ahead + 1 - Math.max(0, mSlots - mRunning);
        if (position <= 0 || mSlots == 0) {
            return Duration.ZERO;
        }
        final double seconds = position * mServiceTimes.secondsPerRequest() / mSlots;
        return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
    }

    /**
     * Makes room for one more request: takes one of the lowest tier, or of the customer with the
     * largest backlog of the same tier; null if the newcomer itself is the one to refuse.
     */
    QueuedRequest evictFor(final int priority, final CustomerId customer, final int weight) {
        for (final var tier : mTiers.descendingMap().entrySet()) {
            final TierQueue queue = tier.getValue();
            if (queue.size() == 0) {
                continue;
            }
            if (tier.getKey() < priority) {
                return queue.evict();
            }
            final boolean isSame = tier.getKey() == priority;
            final double newcomer = queue.backlogPerWeight(customer, weight, 1);
            return isSame && queue.largestBacklogPerWeight() > newcomer ? queue.evict() : null;
        }
        return null;
    }

    List<QueuedRequest> removeOverdue(final Instant now) {
        final List<QueuedRequest> late = new ArrayList<>();
        for (final TierQueue queue : mTiers.values()) {
            queue.removeOverdue(now, late);
        }
        return late;
    }
}
