package org.whinhead.peer;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.whinhead.api.model.VmId;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.peer.generated.PeerProto.Envelope;

/** The queue of messages to one peer and the backoff of attempts to connect to it. */
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

    /** Returns the peer's address, or empty if only the peer has connected so far. */
    Optional<DaemonAddress> address() {
        return Optional.ofNullable(mAddress);
    }

    void address(final DaemonAddress address) {
        mAddress = address;
    }

    OutboundQueue queue() {
        return mQueue;
    }

    /** Returns whether the caller must schedule a flush; false if one is scheduled already. */
    boolean tryScheduleFlush() {
        return mFlushScheduled.compareAndSet(false, true);
    }

    /** Sends queued messages while the connection is writable. */
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

    /** Returns whether the caller must connect; false during an attempt or its backoff. */
    boolean tryStartConnecting() {
        if (mConnecting) {
            return false;
        }
        mConnecting = true;
        return true;
    }

    /**
     * Resets the backoff after a message from the peer. An established connection alone does not
     * reset it, because a peer that refuses the own certificate accepts the connection and then
     * closes it.
     */
    void resetBackoff() {
        mFailures = 0;
    }

    /**
     * Returns the wait before the next attempt to connect: exponential backoff with jitter, so that
     * not all daemons connect to a peer at the same moment when it or the network recovers.
     */
    Duration nextBackoff(final RandomGenerator random) {
        final long first = mSettings.firstBackoff().toMillis();
        final long bound = first << Math.min(mFailures, MAX_BACKOFF_DOUBLINGS);
        mFailures++;
        final long bounded = Math.min(bound, mSettings.longestBackoff().toMillis());
        return Duration.ofMillis(bounded / 2 + random.nextLong(bounded / 2 + 1));
    }

    void endBackoff() {
        mConnecting = false;
    }
}
