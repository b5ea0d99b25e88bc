package org.whinhead.peer;

import java.util.ArrayDeque;
import java.util.Iterator;
import org.whinhead.peer.generated.PeerProto.Envelope;

/**
 * A bounded FIFO queue of messages to one peer. Thread-safe.
 *
 * <p>Without a bound, the messages to a peer that is unreachable or does not read would fill the
 * daemon's memory. Gossip has a smaller bound of its own, so that a peer that returns after an hour
 * does not receive an hour of old heartbeats.
 */
final class OutboundQueue {

    private final int mMaxMessages;
    private final int mMaxGossip;
    private final long mMaxBytes;
    private final QueueBudget mBudget;
    private final ArrayDeque<PendingMessage> mPending = new ArrayDeque<>();
    private long mBytes;
    private int mGossip;

    OutboundQueue(final PeerSettings.QueueBounds bounds, final QueueBudget budget) {
        mMaxMessages = bounds.messages();
        mMaxGossip = bounds.gossip();
        mMaxBytes = bounds.bytes();
        mBudget = budget;
    }

    /**
     * Adds a message and drops others until the queue is within its bounds: the oldest gossip
     * first, then the oldest commands.
     *
     * @return the number of dropped messages, which may include the new one, or -1 if replies alone
     *     exceed the bounds, so that nothing may be dropped and the connection must be closed
     */
    synchronized int add(final Envelope envelope) {
        final PendingMessage added =
                new PendingMessage(
                        envelope, MessageClass.of(envelope), envelope.getSerializedSize());
        mPending.add(added);
        adjustCounts(added, 1);
        int dropped = 0;
        while (mGossip > mMaxGossip && dropOldest(MessageClass.GOSSIP)) {
            dropped++;
        }
        while (isOverLimit()) {
            if (!dropOldest(MessageClass.GOSSIP) && !dropOldest(MessageClass.COMMAND)) {
                return -1;
            }
            dropped++;
        }
        return dropped;
    }

    synchronized Envelope poll() {
        final PendingMessage first = mPending.poll();
        if (first == null) {
            return null;
        }
        adjustCounts(first, -1);
        return first.envelope();
    }

    /** Drops all replies, whose connection has ended, and returns their number. */
    synchronized int dropReplies() {
        int dropped = 0;
        while (dropOldest(MessageClass.REPLY)) {
            dropped++;
        }
        return dropped;
    }

    synchronized void clear() {
        while (!mPending.isEmpty()) {
            poll();
        }
    }

    synchronized boolean isEmpty() {
        return mPending.isEmpty();
    }

    synchronized int size() {
        return mPending.size();
    }

    private boolean isOverLimit() {
        return mPending.size() > mMaxMessages || mBytes > mMaxBytes || mBudget.isExceeded();
    }

    private boolean dropOldest(final MessageClass messageClass) {
        final Iterator<PendingMessage> pending = mPending.iterator();
        while (pending.hasNext()) {
            final PendingMessage oldest = pending.next();
            if (oldest.messageClass() == messageClass) {
                pending.remove();
                adjustCounts(oldest, -1);
                return true;
            }
        }
        return false;
    }

    private void adjustCounts(final PendingMessage pending, final int sign) {
        final long bytes = (long) sign * pending.bytes();
        mBytes += bytes;
        mBudget.add(bytes);
        if (pending.messageClass() == MessageClass.GOSSIP) {
            mGossip += sign;
        }
    }

    private record PendingMessage(Envelope envelope, MessageClass messageClass, int bytes) {}
}
