package org.whinhead.admission;

import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.whinhead.api.model.CustomerId;

/** The queued requests of one tier: weighted fair between customers, by due time within each. */
final class TierQueue {

    private final Map<CustomerId, CustomerQueue> mCustomers = new HashMap<>();
    private double mVirtualTime;
    private int mSize;

    int size() {
        return mSize;
    }

    void add(final QueuedRequest request, final int weight) {
        final CustomerQueue queue =
                mCustomers.computeIfAbsent(request.spec().customer(), id -> new CustomerQueue());
        queue.setWeight(weight);
        queue.add(request, mVirtualTime);
        mSize++;
    }

    boolean remove(final QueuedRequest request) {
        final CustomerQueue queue = mCustomers.get(request.spec().customer());
        final boolean removed = queue != null && queue.remove(request);
        mSize -= removed ? 1 : 0;
        return removed;
    }

    /**
     * Removes and returns the next request of the customer with the least virtual time among those
     * whose first request meets a condition; null if there is none.
     */
    QueuedRequest pollNext(final Predicate<QueuedRequest> condition) {
        CustomerQueue next = null;
        for (final CustomerQueue queue : mCustomers.values()) {
            final boolean isBehind = next == null || queue.virtualTime() < next.virtualTime();
            if (queue.size() > 0 && isBehind && condition.test(queue.first())) {
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
     * Returns the number of requests of this tier to be served before a new one of a customer: all,
     * or the customer's backlog divided by its share of the weights if that is fewer.
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

    /** Returns the backlog per weight of one customer after a number of further requests. */
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

    /** Removes the request due last of the customer with the largest backlog per weight. */
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

    /** Moves the requests past their due time to a list and removes idle customers. */
    void removeOverdue(final Instant now, final List<QueuedRequest> overdue) {
        for (final Iterator<CustomerQueue> iterator = mCustomers.values().iterator();
                iterator.hasNext(); ) {
            final CustomerQueue queue = iterator.next();
            while (queue.size() > 0 && queue.first().due().isBefore(now)) {
                overdue.add(queue.removeFirst());
                mSize--;
            }
            if (queue.size() == 0 && queue.virtualTime() <= mVirtualTime) {
                iterator.remove();
            }
        }
    }
}
