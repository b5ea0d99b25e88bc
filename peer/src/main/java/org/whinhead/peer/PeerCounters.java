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

/** What a transport has done and refused; safe for any thread. */
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
     * Counts a refusal. Guards against a stranger that fills the log by calling in a loop: at most
     * one line a second is written, and the counters tell the rest.
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
     * Returns how often connections were closed for a reason.
     *
     * @param refusal the reason
     * @return the count
     */
    public long refusals(final PeerRefusal refusal) {
        return mRefusals.get(refusal).sum();
    }

    /** Returns how many messages went out. */
    public long messagesSent() {
        return mMessagesSent.sum();
    }

    /** Returns how many messages came in. */
    public long messagesReceived() {
        return mMessagesReceived.sum();
    }

    /** Returns how many bytes of frames went out, before TLS. */
    public long bytesSent() {
        return mBytesSent.sum();
    }

    /** Returns how many bytes of frames came in, after TLS. */
    public long bytesReceived() {
        return mBytesReceived.sum();
    }

    /** Returns how many messages were dropped because a peer did not take them. */
    public long messagesDropped() {
        return mDropped.sum();
    }

    /** Returns how many connections were made to peers. */
    public long connects() {
        return mConnects.sum();
    }

    /** Returns how many connections could not be made. */
    public long connectFailures() {
        return mConnectFailures.sum();
    }

    /** Returns how often replaced certificates were taken in. */
    public long reloads() {
        return mReloads.sum();
    }

    /** Returns how often replaced certificates could not be taken in. */
    public long reloadFailures() {
        return mReloadFailures.sum();
    }
}
