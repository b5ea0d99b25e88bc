package org.whinhead.admission;

import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.whinhead.api.model.CustomerId;

/** The waiting requests of one tier: fair between customers by weight, by due time within one. */
final class TierQueue {

    private final Map<CustomerId, CustomerQueue> mCustomers = new HashMap<>();
    private double mVirtualTime;
    private int mSize;

    int size() {
        return mSize;
    }

    void add(final QueuedRequest waiter, final int weight) {
        final CustomerQueue queue =
                mCustomers.computeIfAbsent(waiter.spec().customer(), id -> new CustomerQueue());
        queue.setWeight(weight);
        queue.add(waiter, mVirtualTime);
        mSize++;
    }

    boolean remove(final QueuedRequest waiter) {
        final CustomerQueue queue = mCustomers.get(waiter.spec().customer());
        final boolean removed = queue != null && queue.remove(waiter);
        mSize -= removed ? 1 : 0;
        return removed;
    }

    /** Takes the next request among customers whose first one passes a gate, or null. */
    QueuedRequest pollNext(final Predicate<QueuedRequest> gate) {
        CustomerQueue next = null;
        for (final CustomerQueue queue : mCustomers.values()) {
            final boolean isEarlier = next == null || queue.virtualTime() < next.virtualTime();
            if (queue.size() > 0 && isEarlier && gate.test(queue.first())) {
                next = queue;
            }
        }
        if (next == null) {
            return null;
        }
        mVirtualTime = Math.max(mVirtualTime, next.virtualTime());
        mSize--;
        return next.pollNext();
    }

    /**
     * Returns how many of this tier go before one more request of a customer: all, or its own
     * backlog times its share's inverse if that is fewer.
     */
    double requestsAhead(final CustomerId customer, final int weight) {
        final CustomerQueue own = mCustomers.get(customer);
        double weights = own == null || own.size() == 0 ? weight : 0;
        for (final CustomerQueue queue : mCustomers.values()) {
            weights += queue.size() > 0 ? queue.weight() : 0;
        }
        final int backlog = own == null ? 0 : own.size();
        return Math.min(mSize, (backlog + 1) * weights / weight - 1);
    }

    /** Returns the backlog per weight of one customer, with so many more requests. */
    double backlogPerWeight(final CustomerId customer, final int weight, final int more) {
        final CustomerQueue queue = mCustomers.get(customer);
        return ((queue == null ? 0 : queue.size()) + (double) more) / weight;
    }

    /** Returns the largest backlog per weight of any customer. */
    double largestBacklogPerWeight() {
        return mCustomers.values().stream()
                .mapToDouble(CustomerQueue::backlogPerWeight)
                .max()
                .orElse(0);
    }

    /** Takes the least urgent request of the customer with the largest backlog per weight. */
    QueuedRequest evict() {
        CustomerQueue largest = null;
        for (final CustomerQueue queue : mCustomers.values()) {
            if (largest == null || queue.backlogPerWeight() > largest.backlogPerWeight()) {
                largest = queue;
            }
        }
        if (largest == null || largest.size() == 0) {
            return null;
        }
        mSize--;
        return largest.removeLast();
    }

    /** Takes the requests whose target can no longer be met, and forgets idle customers. */
    void removeOverdue(final Instant now, final List<QueuedRequest> into) {
        for (final Iterator<CustomerQueue> all = mCustomers.values().iterator(); all.hasNext(); ) {
            final CustomerQueue queue = all.next();
            while (queue.size() > 0 && queue.first().due().isBefore(now)) {
                into.add(queue.removeFirst());
                mSize--;
            }
            if (queue.size() == 0 && queue.virtualTime() <= mVirtualTime) {
                all.remove();
            }
        }
    }
}
