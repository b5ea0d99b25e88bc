package org.whinhead.peer;

import java.util.ArrayDeque;
import java.util.Iterator;
import org.whinhead.peer.generated.PeerProto.Envelope;

/**
 * Messages that wait for one peer, in order; safe for any thread.
 *
 * <p>Guards against a peer that is away or does not read: without a bound its messages would fill
 * the daemon's memory. Gossip has a small bound of its own, so that an hour's worth of old
 * heartbeats does not go out when the peer is back.
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
     * Adds a message and makes room for it: the oldest gossip goes first, then the oldest command.
     *
     * @return how many messages were dropped, the new one included; or -1 if replies alone fill the
     *     queue, so that nothing may be dropped and the connection must end
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

    /** Drops the replies, which belong to a connection that has ended. */
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
        final Iterator<PendingMessage> waiting = mPending.iterator();
        while (waiting.hasNext()) {
            final PendingMessage oldest = waiting.next();
            if (oldest.messageClass() == messageClass) {
                waiting.remove();
                adjustCounts(oldest, -1);
                return true;
            }
        }
        return false;
    }

    private void adjustCounts(final PendingMessage waiting, final int sign) {
        final long bytes = (long) sign * waiting.bytes();
        mBytes += bytes;
        mBudget.add(bytes);
        if (waiting.messageClass() == MessageClass.GOSSIP) {
            mGossip += sign;
        }
    }

    private record PendingMessage(Envelope envelope, MessageClass messageClass, int bytes) {}
}
