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

    private final int mMostMessages;
    private final int mMostGossip;
    private final long mMostBytes;
    private final QueueBudget mBudget;
    private final ArrayDeque<Waiting> mWaiting = new ArrayDeque<>();
    private long mBytes;
    private int mGossip;

    OutboundQueue(final PeerSettings.QueueBounds bounds, final QueueBudget budget) {
        mMostMessages = bounds.messages();
        mMostGossip = bounds.gossip();
        mMostBytes = bounds.bytes();
        mBudget = budget;
    }

    /**
     * Adds a message and makes room for it: the oldest gossip goes first, then the oldest command.
     *
     * @return how many messages were dropped, the new one included; or -1 if replies alone fill the
     *     queue, so that nothing may be dropped and the connection must end
     */
    synchronized int add(final Envelope envelope) {
        final Waiting added =
                new Waiting(envelope, MessageClass.of(envelope), envelope.getSerializedSize());
        mWaiting.add(added);
        count(added, 1);
        int dropped = 0;
        while (mGossip > mMostGossip && dropOldest(MessageClass.GOSSIP)) {
            dropped++;
        }
        while (isOver()) {
            if (!dropOldest(MessageClass.GOSSIP) && !dropOldest(MessageClass.COMMAND)) {
                return -1;
            }
            dropped++;
        }
        return dropped;
    }

    synchronized Envelope poll() {
        final Waiting first = mWaiting.poll();
        if (first == null) {
            return null;
        }
        count(first, -1);
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
        while (!mWaiting.isEmpty()) {
            poll();
        }
    }

    synchronized boolean isEmpty() {
        return mWaiting.isEmpty();
    }

    synchronized int size() {
        return mWaiting.size();
    }

    private boolean isOver() {
        return mWaiting.size() > mMostMessages || mBytes > mMostBytes || mBudget.isOver();
    }

    private boolean dropOldest(final MessageClass messageClass) {
        final Iterator<Waiting> waiting = mWaiting.iterator();
        while (waiting.hasNext()) {
            final Waiting oldest = waiting.next();
            if (oldest.messageClass() == messageClass) {
                waiting.remove();
                count(oldest, -1);
                return true;
            }
        }
        return false;
    }

    private void count(final Waiting waiting, final int sign) {
        final long bytes = (long) sign * waiting.bytes();
        mBytes += bytes;
        mBudget.add(bytes);
        if (waiting.messageClass() == MessageClass.GOSSIP) {
            mGossip += sign;
        }
    }

    private record Waiting(Envelope envelope, MessageClass messageClass, int bytes) {}
}
