package org.whinhead.peer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.whinhead.api.model.VmId;
import org.whinhead.peer.generated.PeerProto.Envelope;

/** The requests that wait for their replies, by correlation number. Thread-safe. */
final class PendingReplies {

    private final AtomicLong mCorrelation = new AtomicLong();
    private final Map<Long, Pending> mPending = new ConcurrentHashMap<>();

    long add(final VmId to, final CompletableFuture<Envelope> reply) {
        final long correlation = mCorrelation.incrementAndGet();
        mPending.put(correlation, new Pending(to, reply));
        return correlation;
    }

    /**
     * Completes a request. A reply from another VM than the request's receiver is ignored, because
     * a peer could guess correlation numbers.
     */
    void complete(final VmId from, final Envelope reply) {
        final Pending pending = mPending.get(reply.getCorrelation());
        if (pending != null && pending.to().equals(from)) {
            mPending.remove(reply.getCorrelation());
            pending.reply().complete(reply);
        }
    }

    void fail(final long correlation, final String cause) {
        final Pending pending = mPending.remove(correlation);
        if (pending != null) {
            pending.reply().completeExceptionally(new PeerException(cause));
        }
    }

    void failAll(final String cause) {
        mPending.keySet().forEach(correlation -> fail(correlation, cause));
    }

    private record Pending(VmId to, CompletableFuture<Envelope> reply) {}
}
