package org.whinhead.serving.admission;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The requests of one service that wait at this daemon, in the order in which they are placed.
 *
 * <p>Ranks come first. Within a rank the customers share what is placed by what they are granted
 * (start-time fair queueing): a request starts, in virtual time, where the customer's last one
 * ended. The order does not depend on a request's own size, so that large requests wait no longer
 * than small ones, and requests of one customer keep their order over all its sessions. What a
 * customer is granted is that of the time at which the request came.
 */
final class WaitingRequests {

    private final Map<String, Waiting> mById = new HashMap<>();
    private final TreeSet<Waiting> mOrder =
            new TreeSet<>(
                    Comparator.<Waiting>comparingInt(waiting -> waiting.request().rank())
                            .thenComparingDouble(Waiting::start)
                            .thenComparingLong(Waiting::number));
    private final Map<String, Double> mCustomerEnds = new HashMap<>();
    private RankCounts mCounts = RankCounts.NONE;
    private double mVirtualTime;
    private long mLastNumber;

    /** A request, its place in the order and the time since when it waits. */
    record Waiting(AdmissionRequest request, double start, long number, Instant since) {}

    /** Returns a waiting request, which is added if it is new. */
    Waiting add(final AdmissionRequest request, final Instant now) {
        final Waiting known = mById.get(request.id());
        if (known != null) {
            return known;
        }
        final double start =
                Math.max(mVirtualTime, mCustomerEnds.getOrDefault(request.customer(), 0.0));
        final double length = Math.max(request.cost().toMillis(), 1) / request.granted();
        mCustomerEnds.put(request.customer(), start + length);
        mLastNumber++;
        final Waiting added = new Waiting(request, start, mLastNumber, now);
        mById.put(request.id(), added);
        mOrder.add(added);
        mCounts = mCounts.changed(request.rank(), 1);
        return added;
    }

    /** Removes a request that is placed: the virtual time goes on to its start. */
    void placed(final String id) {
        final Waiting waiting = remove(id);
        if (waiting != null) {
            mVirtualTime = Math.max(mVirtualTime, waiting.start());
        }
    }

    /** Removes a request that is refused or whose caller has left; null if it does not wait. */
    Waiting remove(final String id) {
        final Waiting waiting = mById.remove(id);
        if (waiting != null) {
            mOrder.remove(waiting);
            mCounts = mCounts.changed(waiting.request().rank(), -1);
        }
        if (mById.isEmpty()) {
            mCustomerEnds.clear();
            mVirtualTime = 0;
        }
        return waiting;
    }

    boolean contains(final String id) {
        return mById.containsKey(id);
    }

    /** Returns whether a request is placed before all others that wait. */
    boolean isNext(final AdmissionRequest request) {
        if (mOrder.isEmpty()) {
            return true;
        }
        final AdmissionRequest first = mOrder.first().request();
        return first.id().equals(request.id()) || first.rank() > request.rank();
    }

    RankCounts counts() {
        return mCounts;
    }

    List<AdmissionRequest> inOrder() {
        return mOrder.stream().map(Waiting::request).toList();
    }
}
