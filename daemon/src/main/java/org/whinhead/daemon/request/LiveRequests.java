package org.whinhead.daemon.request;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.whinhead.api.request.RequestId;

/** All requests in progress of one daemon; changed on the decision thread, read on any. */
public final class LiveRequests {

    private final Map<RequestId, LiveRequest> mRequests = new ConcurrentHashMap<>();
    private final AtomicInteger mOpenResponses = new AtomicInteger();

    /**
     * Adds a request.
     *
     * @param request the request
     * @return false if one of the same identity is in progress; nothing was added then
     */
    public boolean add(final LiveRequest request) {
        return mRequests.putIfAbsent(request.spec().id(), request) == null;
    }

    /**
     * Finds a request.
     *
     * @param id its identity
     * @return the request, or empty if it has ended
     */
    public Optional<LiveRequest> find(final RequestId id) {
        return Optional.ofNullable(mRequests.get(id));
    }

    /**
     * Puts a request in the place of one of the same identity, whose connection is closed.
     *
     * @param request the request
     */
    public void replace(final LiveRequest request) {
        final LiveRequest former = mRequests.put(request.spec().id(), request);
        if (former != null) {
            former.reply().supersede();
        }
    }

    /**
     * Removes a request.
     *
     * @param id its identity
     * @return the request, or empty if it has ended before
     */
    public Optional<LiveRequest> remove(final RequestId id) {
        return Optional.ofNullable(mRequests.remove(id));
    }

    /**
     * Removes a request unless another one has taken its place.
     *
     * @param request the request
     * @return whether it was removed
     */
    public boolean remove(final LiveRequest request) {
        return mRequests.remove(request.spec().id(), request);
    }

    /** An answer is owed to a caller from now on. */
    public void responseOpened() {
        mOpenResponses.incrementAndGet();
    }

    /** An answer was written whole, or its caller left. */
    public void responseClosed() {
        mOpenResponses.decrementAndGet();
    }

    /** Tells whether no caller waits for any byte of an answer. */
    public boolean isIdle() {
        return mOpenResponses.get() == 0;
    }

    /** Returns how many are in progress. */
    public int count() {
        return mRequests.size();
    }
}
