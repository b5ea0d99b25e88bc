package org.whinhead.daemon.request;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.whinhead.api.request.RequestId;

/** Registry of one daemon's requests in progress; written by the decision thread, read by any. */
public final class LiveRequests {

    private final Map<RequestId, LiveRequest> mRequests = new ConcurrentHashMap<>();
    private final AtomicInteger mOpenResponses = new AtomicInteger();

    /**
     * Adds a request.
     *
     * @param request the request
     * @return whether the request was added; false if one with the same id is in progress
     */
    public boolean add(final LiveRequest request) {
        return mRequests.putIfAbsent(request.spec().id(), request) == null;
    }

    /**
     * Returns a request.
     *
     * @param id the id of the request
     * @return the request, or empty if it has ended
     */
    public Optional<LiveRequest> find(final RequestId id) {
        return Optional.ofNullable(mRequests.get(id));
    }

    /**
     * Adds a request and closes the connection of a former one with the same id.
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
     * @param id the id of the request
     * @return the request, or empty if it has already ended
     */
    public Optional<LiveRequest> remove(final RequestId id) {
        return Optional.ofNullable(mRequests.remove(id));
    }

    /**
     * Removes a request unless another one has replaced it.
     *
     * @param request the request
     * @return whether it was removed
     */
    public boolean remove(final LiveRequest request) {
        return mRequests.remove(request.spec().id(), request);
    }

    /** Counts a response that is not yet written. */
    public void responseOpened() {
        mOpenResponses.incrementAndGet();
    }

    /** Counts the end of a response: it was written whole, or its caller left. */
    public void responseClosed() {
        mOpenResponses.decrementAndGet();
    }

    /** Returns whether no response is waiting to be written. */
    public boolean isIdle() {
        return mOpenResponses.get() == 0;
    }

    /** Returns the number of requests in progress. */
    public int count() {
        return mRequests.size();
    }
}
