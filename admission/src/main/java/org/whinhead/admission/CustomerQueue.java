package org.whinhead.admission;

import java.util.TreeSet;

/** The queued requests of one customer in one tier, ordered by due time, for fair queuing. */
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
     * Adds a request.
     *
     * <p>An idle customer that becomes busy starts at the tier's virtual time. Otherwise it would
     * accumulate credit while idle and then starve the other customers.
     */
    void add(final QueuedRequest request, final double tierVirtualTime) {
        if (mRequests.isEmpty()) {
            mVirtualTime = Math.max(mVirtualTime, tierVirtualTime);
        }
        mRequests.add(request);
    }

    QueuedRequest pollNext() {
        final QueuedRequest request = mRequests.pollFirst();
        mVirtualTime += request.workTokens() / mWeight;
        return request;
    }

    QueuedRequest removeFirst() {
        return mRequests.pollFirst();
    }

    QueuedRequest removeLast() {
        return mRequests.pollLast();
    }

    boolean remove(final QueuedRequest request) {
        return mRequests.remove(request);
    }
}
