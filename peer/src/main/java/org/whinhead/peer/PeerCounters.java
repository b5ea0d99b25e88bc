package org.whinhead.peer;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counters of a transport's messages, connections and refusals. Thread-safe. */
public final class PeerCounters {

    private static final Logger LOGGER = LoggerFactory.getLogger(PeerCounters.class);
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

    private final InstantSource mClock;
    private final Map<PeerRefusal, LongAdder> mRefusals = new EnumMap<>(PeerRefusal.class);
    private final AtomicReference<Instant> mNextLog = new AtomicReference<>(Instant.MIN);
    private final LongAdder mMessagesSent = new LongAdder();
    private final LongAdder mMessagesReceived = new LongAdder();
    private final LongAdder mBytesSent = new LongAdder();
    private final LongAdder mBytesReceived = new LongAdder();
    private final LongAdder mDropped = new LongAdder();
    private final LongAdder mConnects = new LongAdder();
    private final LongAdder mConnectFailures = new LongAdder();
    private final LongAdder mReloads = new LongAdder();
    private final LongAdder mReloadFailures = new LongAdder();

    PeerCounters(final InstantSource clock) {
        mClock = clock;
        for (final PeerRefusal refusal : PeerRefusal.values()) {
            mRefusals.put(refusal, new LongAdder());
        }
    }

    /**
     * Counts a refusal. At most one refusal per second is logged, so that a client that connects in
     * a loop cannot fill the log; the counters include them all.
     */
    void countRefusal(final PeerRefusal refusal, final Object peer, final String detail) {
        mRefusals.get(refusal).increment();
        final Instant now = mClock.instant();
        final Instant next = mNextLog.get();
        if (!now.isBefore(next) && mNextLog.compareAndSet(next, now.plus(LOG_INTERVAL))) {
            LOGGER.warn("Closed the connection of {}: {}: {}", peer, refusal, detail);
        }
    }

    void countSent(final int bytes) {
        mMessagesSent.increment();
        mBytesSent.add(bytes);
    }

    void countReceived(final int bytes) {
        mMessagesReceived.increment();
        mBytesReceived.add(bytes);
    }

    void countDropped(final int messages) {
        mDropped.add(messages);
    }

    void countConnect() {
        mConnects.increment();
    }

    void countConnectFailure() {
        mConnectFailures.increment();
    }

    void countReload() {
        mReloads.increment();
    }

    void countReloadFailure() {
        mReloadFailures.increment();
    }

    /**
     * Returns the number of connections that were closed for a reason.
     *
     * @param refusal the reason
     * @return the number of connections
     */
    public long refusals(final PeerRefusal refusal) {
        return mRefusals.get(refusal).sum();
    }

    /** Returns the number of messages sent. */
    public long messagesSent() {
        return mMessagesSent.sum();
    }

    /** Returns the number of messages received. */
    public long messagesReceived() {
        return mMessagesReceived.sum();
    }

    /** Returns the number of message bytes sent, before encryption. */
    public long bytesSent() {
        return mBytesSent.sum();
    }

    /** Returns the number of message bytes received, after decryption. */
    public long bytesReceived() {
        return mBytesReceived.sum();
    }

    /** Returns the number of messages dropped from full queues or with their connection. */
    public long messagesDropped() {
        return mDropped.sum();
    }

    /** Returns the number of connections opened to peers. */
    public long connects() {
        return mConnects.sum();
    }

    /** Returns the number of failed attempts to connect. */
    public long connectFailures() {
        return mConnectFailures.sum();
    }

    /** Returns the number of times that replaced TLS files were loaded. */
    public long reloads() {
        return mReloads.sum();
    }

    /** Returns the number of times that the TLS files could not be loaded. */
    public long reloadFailures() {
        return mReloadFailures.sum();
    }
}
