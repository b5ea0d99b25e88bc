package org.whinhead.peer;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.whinhead.api.model.VmId;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.peer.generated.PeerProto.Envelope;

/** What one peer has yet to be sent, and when to call it again. */
final class PeerLink {

    private static final int MAX_BACKOFF_DOUBLINGS = 20;

    private final PeerSettings mSettings;
    private final OutboundQueue mQueue;
    private final AtomicBoolean mFlushScheduled = new AtomicBoolean();
    private final VmId mVm;
    private volatile DaemonAddress mAddress;
    private boolean mConnecting;
    private int mFailures;

    PeerLink(final PeerSettings settings, final VmId vm, final QueueBudget budget) {
        mSettings = settings;
        mVm = vm;
        mQueue = new OutboundQueue(settings.queue(), budget);
    }

    VmId vm() {
        return mVm;
    }

    /** Returns where the peer listens; empty for one that only called so far. */
    Optional<DaemonAddress> address() {
        return Optional.ofNullable(mAddress);
    }

    void address(final DaemonAddress address) {
        mAddress = address;
    }

    OutboundQueue queue() {
        return mQueue;
    }

    /** Tells whether the caller must schedule a pump; false if one is due already. */
    boolean tryScheduleFlush() {
        return mFlushScheduled.compareAndSet(false, true);
    }

    /** Sends what the connection takes. */
    void flush(final PeerConnection connection) {
        mFlushScheduled.set(false);
        while (connection.isWritable()) {
            final Envelope next = mQueue.poll();
            if (next == null) {
                return;
            }
            connection.write(next);
        }
    }

    void clearScheduledFlush() {
        mFlushScheduled.set(false);
    }

    /** Tells whether to connect now; false while an attempt or the wait after one goes on. */
    boolean tryStartConnecting() {
        if (mConnecting) {
            return false;
        }
        mConnecting = true;
        return true;
    }

    /**
     * The peer spoke. Guards against a peer that takes the connection and then closes it, as one
     * does that refuses the own certificate: a mere connection does not shorten the wait.
     */
    void resetBackoff() {
        mFailures = 0;
    }

    /**
     * Returns how long to wait before the next attempt. Guards against all daemons calling a peer
     * at the same moment when it, or the network, is back: the wait is chance, and its bound grows.
     */
    Duration nextBackoff(final RandomGenerator random) {
        final long first = mSettings.firstBackoff().toMillis();
        final long bound = first << Math.min(mFailures, MAX_BACKOFF_DOUBLINGS);
        mFailures++;
        final long longest = Math.min(bound, mSettings.longestBackoff().toMillis());
        return Duration.ofMillis(longest / 2 + random.nextLong(longest / 2 + 1));
    }

    void endBackoff() {
        mConnecting = false;
    }
}
