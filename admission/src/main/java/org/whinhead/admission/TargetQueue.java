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

/** The tier queues of one model or service, with its slots and running requests. */
final class TargetQueue {

    private static final double NANOS_PER_SECOND = 1e9;

    private final NavigableMap<Integer, TierQueue> mTiers =
            new TreeMap<>(Comparator.reverseOrder());
    private final SlotThroughput mThroughput = new SlotThroughput();
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

    void add(final QueuedRequest request, final int weight) {
        final int priority = request.spec().tier().priority();
        mTiers.computeIfAbsent(priority, key -> new TierQueue()).add(request, weight);
    }

    boolean remove(final QueuedRequest request) {
        final TierQueue queue = mTiers.get(request.spec().tier().priority());
        return queue != null && queue.remove(request);
    }

    /** Removes and returns the next request, highest tier first; null if no slot is free. */
    QueuedRequest pollNext(final Predicate<QueuedRequest> condition) {
        if (mRunning >= mSlots) {
            return null;
        }
        for (final TierQueue queue : mTiers.values()) {
            final QueuedRequest request = queue.pollNext(condition);
            if (request != null) {
                mRunning++;
                return request;
            }
        }
        return null;
    }

    /** Counts a running request that did not pass through the queue. */
    void addRunning() {
        mRunning++;
    }

    void requestEnded(final long tokens, final Duration duration) {
        mRunning--;
        mThroughput.observe(tokens, duration);
    }

    /** Returns the expected time that a new request of a customer waits for a slot. */
    Duration expectedWait(final int priority, final CustomerId customer, final int weight) {
        double requestsAhead = 0;
        for (final TierQueue queue : mTiers.headMap(priority, false).values()) {
            requestsAhead += queue.size();
        }
        final TierQueue own = mTiers.get(priority);
        requestsAhead += own == null ? 0 : own.requestsAhead(customer, weight);
        final double position = requestsAhead + 1 - Math.max(0, mSlots - mRunning);
        if (position <= 0 || mSlots == 0) {
            return Duration.ZERO;
        }
        final double seconds = position * mThroughput.secondsPerRequest() / mSlots;
        return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
    }

    /**
     * Removes and returns a request to admit a new one to a full queue: one of the lowest tier, or
     * of the customer with the largest backlog if that tier is the new request's own; null if the
     * new request is to be refused.
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
            final boolean isSameTier = tier.getKey() == priority;
            final double newBacklog = queue.backlogPerWeight(customer, weight, 1);
            return isSameTier && queue.largestBacklogPerWeight() > newBacklog
                    ? queue.evict()
                    : null;
        }
        return null;
    }

    List<QueuedRequest> removeOverdue(final Instant now) {
        final List<QueuedRequest> overdue = new ArrayList<>();
        for (final TierQueue queue : mTiers.values()) {
            queue.removeOverdue(now, overdue);
        }
        return overdue;
    }
}
