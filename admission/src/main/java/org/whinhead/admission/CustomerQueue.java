package org.whinhead.admission;

import java.util.TreeSet;

/** The waiting requests of one customer in one tier, most urgent first. */
final class CustomerQueue {

    private final TreeSet<Waiter> mWaiters = new TreeSet<>();
    private double mVirtualTime;
    private int mWeight = 1;

    void weigh(final int weight) {
        mWeight = weight;
    }

    int weight() {
        return mWeight;
    }

    int size() {
        return mWaiters.size();
    }

    double virtualTime() {
        return mVirtualTime;
    }

    double backlogPerWeight() {
        return (double) mWaiters.size() / mWeight;
    }

    Waiter first() {
        return mWaiters.first();
    }

    /**
     * Adds a waiter.
     *
     * <p>Guards against a customer that saves up claims while idle and then shuts the others out:
     * on becoming busy it starts at the virtual time of those that were served meanwhile.
     */
    void add(final Waiter waiter, final double tierTime) {
        if (mWaiters.isEmpty()) {
            mVirtualTime = Math.max(mVirtualTime, tierTime);
        }
        mWaiters.add(waiter);
    }

    Waiter serve() {
        final Waiter waiter = mWaiters.pollFirst();
        mVirtualTime += waiter.work() / mWeight;
        return waiter;
    }

    Waiter removeFirst() {
        return mWaiters.pollFirst();
    }

    Waiter removeLast() {
        return mWaiters.pollLast();
    }

    boolean remove(final Waiter waiter) {
        return mWaiters.remove(waiter);
    }
}
