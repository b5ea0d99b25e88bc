package org.whinhead.admission;

import java.util.TreeSet;

/** The waiting requests of one customer in one tier, most urgent first. */
final class CustomerQueue {

    private final TreeSet<QueuedRequest> mRequests = new TreeSet<>();
    private double mVirtualTime;
    private int mWeight = 1;

    void setWeight(final int weight) {
        mWeight = weight;
    }

    int weight() {
        return mWeight;
    }

    int size() {
        return mRequests.size();
    }

    double virtualTime() {
        return mVirtualTime;
    }

    double backlogPerWeight() {
        return (double) mRequests.size() / mWeight;
    }

    QueuedRequest first() {
        return mRequests.first();
    }

    /**
     * Adds a waiter.
     *
     * <p>Guards against a customer that saves up claims while idle and then shuts the others out:
     * on becoming busy it starts at the virtual time of those that were served meanwhile.
     */
    void add(final QueuedRequest waiter, final double tierTime) {
        if (mRequests.isEmpty()) {
            mVirtualTime = Math.max(mVirtualTime, tierTime);
        }
        mRequests.add(waiter);
    }

    QueuedRequest pollNext() {
        final QueuedRequest waiter = mRequests.pollFirst();
        mVirtualTime += waiter.workTokens() / mWeight;
        return waiter;
    }

    QueuedRequest removeFirst() {
        return mRequests.pollFirst();
    }

    QueuedRequest removeLast() {
        return mRequests.pollLast();
    }

    boolean remove(final QueuedRequest waiter) {
        return mRequests.remove(waiter);
    }
}
